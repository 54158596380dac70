"""Clients of the platform's table service and membership list.

Also defines their interfaces, leases, a table follower and an in-memory table.
"""

from teaseldale.tables._http_client import (
    BaseHttpExchange,
    HttpReply,
    PlatformHttpClient,
)
from teaseldale.tables._http_membership import HttpMembershipList
from teaseldale.tables._http_table import HttpTableService
from teaseldale.tables._in_memory_table import InMemoryTable, TableCopy
from teaseldale.tables._lease import LeaseRecord, TableLease
from teaseldale.tables._membership import (
    BaseMembershipList,
    MemberState,
    VmMember,
)
from teaseldale.tables._retrying_table import RetryingTableService
from teaseldale.tables._row_feed import (
    BaseRowFeed,
    HistoryLostError,
    RowChanges,
)
from teaseldale.tables._store_eras import NO_ERA, EraChangedError, StoreEras
from teaseldale.tables._table import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    RowWrite,
    Transaction,
    make_transaction,
)
from teaseldale.tables._table_follower import TableFollower

__all__ = (
    'BaseHttpExchange',
    'BaseRowFeed',
    'BaseMembershipList',
    'BaseTableService',
    'Committed',
    'Conflicted',
    'EraChangedError',
    'HistoryLostError',
    'HttpMembershipList',
    'HttpReply',
    'HttpTableService',
    'InMemoryTable',
    'LeaseRecord',
    'MemberState',
    'NO_ERA',
    'PlatformHttpClient',
    'RetryingTableService',
    'Row',
    'RowChanges',
    'RowCheck',
    'RowWrite',
    'StoreEras',
    'TableCopy',
    'TableFollower',
    'TableLease',
    'Transaction',
    'VmMember',
    'make_transaction',
)
