"""The platform's services: table service, membership list, object store."""

from teaseldale.platform._http_membership import HttpMembershipList
from teaseldale.platform._http_table import HttpTableService
from teaseldale.platform._in_memory_table import InMemoryTable
from teaseldale.platform._lease import LeaseRecord, TableLease
from teaseldale.platform._membership import (
    BaseMembershipList,
    MemberState,
    VmMember,
)
from teaseldale.platform._retrying_table import RetryingTableService
from teaseldale.platform._table import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    RowWrite,
    Transaction,
    make_transaction,
)

__all__ = (
    'BaseMembershipList',
    'BaseTableService',
    'Committed',
    'Conflicted',
    'HttpMembershipList',
    'HttpTableService',
    'InMemoryTable',
    'LeaseRecord',
    'MemberState',
    'RetryingTableService',
    'Row',
    'RowCheck',
    'RowWrite',
    'TableLease',
    'Transaction',
    'VmMember',
    'make_transaction',
)
