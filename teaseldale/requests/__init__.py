"""Request registry: each idempotency key is run once and billed once."""

from teaseldale.requests._dependencies import HolderDependencies
from teaseldale.requests._duplicates import DuplicateBill, DuplicateQueue
from teaseldale.requests._holder import (
    HOLDER_DRIFT_MS,
    HOLDER_VALIDITY_MS,
    Settlement,
    SpendingHolder,
)
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._intents import IntentTable
from teaseldale.requests._messages import FenceHolder, FenceReply
from teaseldale.requests._records import (
    HolderSpending,
    RecordState,
    RecordStore,
    RequestRecord,
)
from teaseldale.requests._registry import (
    AttachedAnswer,
    BaseRequestRegistry,
    OpenedRequest,
    RequestStatus,
    ReservedFunds,
)
from teaseldale.requests._table_registry import TableRequestRegistry
from teaseldale.requests._witnessed_registry import WitnessedRegistry

__all__ = (
    'HOLDER_DRIFT_MS',
    'HOLDER_VALIDITY_MS',
    'AttachedAnswer',
    'BaseRequestRegistry',
    'DuplicateBill',
    'DuplicateQueue',
    'FenceHolder',
    'FenceReply',
    'HolderDependencies',
    'HolderSpending',
    'IntentTable',
    'OpenedRequest',
    'RecordState',
    'RecordStore',
    'RequestIdentity',
    'RequestRecord',
    'RequestStatus',
    'ReservedFunds',
    'Settlement',
    'SpendingHolder',
    'TableRequestRegistry',
    'WitnessedRegistry',
)
