"""Release notes and the configuration that they put in force."""

from teaseldale.notes._configuration import (
    BaseConfigurationSource,
    Configuration,
)
from teaseldale.notes._items import (
    Budget,
    ClientAccount,
    ConfigurationItem,
    ItemKind,
    Route,
    RouteKind,
    Upstream,
    VersionMove,
)
from teaseldale.notes._release_note import (
    ItemChange,
    ItemWithdrawal,
    ReleaseNote,
    read_release_note,
)
from teaseldale.notes._table_configuration import TableConfiguration

__all__ = (
    'BaseConfigurationSource',
    'Budget',
    'ClientAccount',
    'Configuration',
    'ConfigurationItem',
    'ItemChange',
    'ItemKind',
    'ItemWithdrawal',
    'ReleaseNote',
    'Route',
    'RouteKind',
    'TableConfiguration',
    'Upstream',
    'VersionMove',
    'read_release_note',
)
