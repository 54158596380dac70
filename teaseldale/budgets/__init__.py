"""Spending of prepaid token budgets."""

from typing import TYPE_CHECKING

from teaseldale._lazy_exports import LazyExports

if TYPE_CHECKING:
    from teaseldale.budgets._account_grants import (
        AccountGrants,
        AccountReservation,
    )
    from teaseldale.budgets._account_rounds import (
        StoreAccess,
        VmIncarnation,
    )
    from teaseldale.budgets._account_rows import HolderKey
    from teaseldale.budgets._added_budget_rows import AddedBudgetRows
    from teaseldale.budgets._granted_spending import GrantedSpending
    from teaseldale.budgets._ledger import (
        LedgerRow,
        TableLedger,
    )
    from teaseldale.budgets._spending import (
        BaseSpending,
        BudgetState,
        Reservation,
    )
    from teaseldale.budgets._transactional_spending import TransactionalSpending

__getattr__ = LazyExports(  # noqa: WPS413
    __name__,
    {
        'teaseldale.budgets._account_grants': (
            'AccountGrants',
            'AccountReservation',
        ),
        'teaseldale.budgets._account_rounds': (
            'StoreAccess',
            'VmIncarnation',
        ),
        'teaseldale.budgets._account_rows': ('HolderKey',),
        'teaseldale.budgets._added_budget_rows': ('AddedBudgetRows',),
        'teaseldale.budgets._granted_spending': ('GrantedSpending',),
        'teaseldale.budgets._ledger': (
            'LedgerRow',
            'TableLedger',
        ),
        'teaseldale.budgets._spending': (
            'BaseSpending',
            'BudgetState',
            'Reservation',
        ),
        'teaseldale.budgets._transactional_spending': (
            'TransactionalSpending',
        ),
    },
)

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
    'VmIncarnation',
)
