"""Baseline spending with two table transactions per request."""

import attrs

from teaseldale.budgets._ledger import LedgerRow, ReadLedgerRow, TableLedger
from teaseldale.budgets._spending import BaseSpending, Reservation
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step
from teaseldale.requests import RequestIdentity, Settlement
from teaseldale.tables import (
    BaseTableService,
    Committed,
    make_transaction,
)

_ATTEMPTS = 20
_RETRY_AFTER_MS = 1000


class TransactionalSpending(BaseSpending):
    """Keeps no state on the VM; every step is a table transaction."""

    def __init__(self, *, table: BaseTableService) -> None:
        """Creates a spender over ``table``."""
        self._table = table
        self._ledger = TableLedger(table=table)

    async def reserve(
        self,
        *,
        request: RequestIdentity,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> Reservation | Refusal:
        """Reserves tokens in the ledger rows of all budgets."""
        for _ in range(_ATTEMPTS):
            try:
                outcome = await self._try_reserve(budgets, tokens)
            except PlatformError as error:
                return _unavailable(error)
            if isinstance(outcome, Refusal):
                return outcome
            if outcome:
                return Reservation(
                    request=request,
                    budgets=budgets,
                    tokens=tokens,
                )
        return _contention_refusal()

    async def settle(
        self,
        reservation: Reservation,
        *,
        used_tokens: int,
    ) -> Settlement:
        """Bills the use; retries until the transaction is committed."""
        settled = False
        while not settled:
            rows = await self._read_all(reservation.budgets)
            settled = await self._replace(
                rows,
                open_change=-reservation.tokens,
                billed_change=min(used_tokens, reservation.tokens),
            )
        return Settlement(
            holder='',
            sequence=0,
            budgets=reservation.budgets,
            used_tokens=min(used_tokens, reservation.tokens),
        )

    async def _try_reserve(
        self,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> bool | Refusal:
        rows = await self._read_all(budgets)
        for read_row in rows:
            if read_row.row.free_tokens < tokens:
                return _exhausted(read_row.name)
        return await self._replace(rows, open_change=tokens, billed_change=0)

    async def _read_all(
        self,
        budgets: tuple[str, ...],
    ) -> list[ReadLedgerRow]:
        rows = []
        for name in budgets:
            read_row = await self._ledger.read(name)
            rows.append(
                read_row
                or ReadLedgerRow(
                    name=name,
                    row=LedgerRow(topped_up_tokens=0),
                    revision=0,
                ),
            )
        return rows

    async def _replace(
        self,
        rows: list[ReadLedgerRow],
        *,
        open_change: int,
        billed_change: int,
    ) -> bool:
        writes = [
            read_row.write(
                attrs.evolve(
                    read_row.row,
                    open_tokens=read_row.row.open_tokens + open_change,
                    billed_tokens=read_row.row.billed_tokens + billed_change,
                ),
            )
            for read_row in rows
        ]
        checks = [read_row.check() for read_row in rows]
        outcome = await self._table.commit(
            make_transaction(checks=checks, writes=writes),
        )
        return isinstance(outcome, Committed)


def _exhausted(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_EXHAUSTED,
        message=f'Budget {name!r} cannot cover the request; top it up.',
        not_run=True,
        step=Step.RESERVE,
    )


def _unavailable(error: PlatformError) -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_UNAVAILABLE,
        message='The budget cannot be read now; ask again later.',
        not_run=True,
        step=error.step,
        peer=error.peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _contention_refusal() -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_UNAVAILABLE,
        message='Too many requests change the budget at once; ask again.',
        not_run=True,
        step=Step.RESERVE,
        retry_after_ms=_RETRY_AFTER_MS,
    )
