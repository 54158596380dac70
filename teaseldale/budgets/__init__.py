"""Spending of prepaid token budgets."""

from teaseldale.budgets._account_grants import (
    AccountGrants,
    AccountReservation,
)
from teaseldale.budgets._account_rounds import StoreAccess, VmStart
from teaseldale.budgets._account_rows import HolderKey
from teaseldale.budgets._added_budget_rows import AddedBudgetRows
from teaseldale.budgets._granted_spending import GrantedSpending
from teaseldale.budgets._ledger import LedgerRow, TableLedger
from teaseldale.budgets._spending import (
    BaseSpending,
    BudgetState,
    Reservation,
)
from teaseldale.budgets._transactional_spending import TransactionalSpending

__all__ = (
    'AccountGrants',
    'AccountReservation',
    'AddedBudgetRows',
    'BaseSpending',
    'BudgetState',
    'GrantedSpending',
    'HolderKey',
    'LedgerRow',
    'Reservation',
    'StoreAccess',
    'TableLedger',
    'TransactionalSpending',
    'VmStart',
)
