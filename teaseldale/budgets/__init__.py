"""Spending of prepaid token budgets."""

from teaseldale.budgets._account_grants import (
    AccountGrants,
    AccountReservation,
)
from teaseldale.budgets._account_rounds import StoreAccess
from teaseldale.budgets._account_rows import HolderKey, VmRow
from teaseldale.budgets._added_budget_rows import AddedBudgetRows
from teaseldale.budgets._granted_spending import GrantedSpending
from teaseldale.budgets._ledger import LedgerRow, TableLedger
from teaseldale.budgets._spending import (
    BaseSpending,
    BudgetState,
    Reservation,
)
from teaseldale.budgets._token_loans import LOAN, LOAN_REQUEST
from teaseldale.budgets._transactional_spending import TransactionalSpending

__all__ = (
    'LOAN',
    'LOAN_REQUEST',
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
    'VmRow',
)
