"""Release notes and the configuration that they apply."""

from typing import TYPE_CHECKING

from teaseldale._lazy_exports import LazyExports

if TYPE_CHECKING:
    from teaseldale.notes._configuration import (
        BaseConfigurationSource,
        Configuration,
    )
    from teaseldale.notes._endpoints import ReleaseNoteEndpoints
    from teaseldale.notes._file_check import (
        FileCheck,
        Finding,
        FindingKind,
        MissingBaseError,
        check_file,
    )
    from teaseldale.notes._fleet_configuration import (
        FleetConfiguration,
        NotesDependencies,
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
    from teaseldale.notes._note_store import (
        BaseBudgetRows,
        NoteStore,
        Rows,
        StoredHead,
        StoredNote,
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

__getattr__ = LazyExports(  # noqa: WPS413
    __name__,
    {
        'teaseldale.notes._configuration': (
            'BaseConfigurationSource',
            'Configuration',
        ),
        'teaseldale.notes._endpoints': ('ReleaseNoteEndpoints',),
        'teaseldale.notes._file_check': (
            'FileCheck',
            'Finding',
            'FindingKind',
            'MissingBaseError',
            'check_file',
        ),
        'teaseldale.notes._fleet_configuration': (
            'FleetConfiguration',
            'NotesDependencies',
        ),
        'teaseldale.notes._items': (
            'Budget',
            'ClientAccount',
            'ConfigurationItem',
            'ItemKind',
            'Route',
            'RouteKind',
            'Upstream',
            'VersionMove',
        ),
        'teaseldale.notes._note_store': (
            'BaseBudgetRows',
            'NoteStore',
            'StoredHead',
            'StoredNote',
            'Rows',
        ),
        'teaseldale.notes._progress': ('NoteStatus',),
        'teaseldale.notes._records': (
            'Head',
            'MovePhase',
            'MoveStep',
            'NoteRecord',
            'NoteState',
        ),
        'teaseldale.notes._release_note': (
            'ItemChange',
            'ItemLists',
            'ItemWithdrawal',
            'ReleaseNote',
            'read_release_note',
        ),
    },
)

__all__ = (
    'BaseBudgetRows',
    'BaseConfigurationSource',
    'Budget',
    'ClientAccount',
    'Configuration',
    'ConfigurationItem',
    'FileCheck',
    'Finding',
    'FindingKind',
    'FleetConfiguration',
    'Head',
    'ItemChange',
    'ItemKind',
    'ItemLists',
    'ItemWithdrawal',
    'MissingBaseError',
    'MovePhase',
    'MoveStep',
    'NoteStore',
    'NoteRecord',
    'NoteState',
    'NoteStatus',
    'NotesDependencies',
    'StoredHead',
    'StoredNote',
    'ReleaseNote',
    'ReleaseNoteEndpoints',
    'Route',
    'RouteKind',
    'Rows',
    'Upstream',
    'VersionMove',
    'check_file',
    'read_release_note',
)
