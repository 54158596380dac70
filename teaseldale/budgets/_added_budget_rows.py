"""Ledger rows of budgets that a release note adds."""

from collections.abc import Iterable

from teaseldale.budgets._ledger import LedgerRow, ReadLedgerRow, TableLedger
from teaseldale.notes import BaseBudgetRows, Budget, Rows


class AddedBudgetRows(BaseBudgetRows):
    """Inserts absent rows; a budget that is added again keeps its row."""

    def __init__(self, *, ledger: TableLedger) -> None:
        """Looks up existing rows in ``ledger``."""
        self._ledger = ledger

    async def rows_of(self, budgets: Iterable[Budget]) -> Rows:
        """Returns conditional inserts with the initial tokens."""
        checks = []
        writes = []
        for budget in budgets:
            if await self._ledger.read(budget.name) is not None:
                continue
            absent = ReadLedgerRow(
                name=budget.name,
                row=LedgerRow(topped_up_tokens=0),
                revision=0,
            )
            checks.append(absent.check())
            writes.append(
                absent.write(LedgerRow(topped_up_tokens=budget.initial_tokens)),
            )
        return Rows(checks=tuple(checks), writes=tuple(writes))
