"""Release notes and the configuration that they put in force."""

from teaseldale.notes._configuration import (
    BaseConfigurationSource,
    Configuration,
)
from teaseldale.notes._endpoints import ReleaseNoteEndpoints
from teaseldale.notes._fleet_configuration import (
    FleetConfiguration,
    NotesParts,
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
from teaseldale.notes._note_book import (
    BaseBudgetRows,
    NoteBook,
    ReadHead,
    ReadNote,
    Rows,
)
from teaseldale.notes._progress import NoteStatus
from teaseldale.notes._records import (
    Head,
    MovePhase,
    MoveStep,
    NoteRecord,
    NoteState,
)
from teaseldale.notes._release_note import (
    ItemChange,
    ItemLists,
    ItemWithdrawal,
    ReleaseNote,
    read_release_note,
)

__all__ = (
    'BaseBudgetRows',
    'BaseConfigurationSource',
    'Budget',
    'ClientAccount',
    'Configuration',
    'ConfigurationItem',
    'FleetConfiguration',
    'Head',
    'ItemChange',
    'ItemKind',
    'ItemLists',
    'ItemWithdrawal',
    'MovePhase',
    'MoveStep',
    'NoteBook',
    'NoteRecord',
    'NoteState',
    'NoteStatus',
    'NotesParts',
    'ReadHead',
    'ReadNote',
    'ReleaseNote',
    'ReleaseNoteEndpoints',
    'Route',
    'RouteKind',
    'Rows',
    'Upstream',
    'VersionMove',
    'read_release_note',
)
