"""Closing of a holder whose spending is known."""

from collections import Counter

import attrs

from teaseldale.budgets._grant_rows import (
    GRANTS_TABLE,
    GrantRow,
    HolderState,
    ReadGrant,
    ReadHolder,
    decode_grant,
)
from teaseldale.budgets._ledger import ReadLedgerRow, TableLedger
from teaseldale.requests import HolderDependencies
from teaseldale.tables import Committed, make_transaction

_ATTEMPTS = 8


class HolderClose:
    """Bills a holder's last settlements and releases its unused grants."""

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Writes to the table of ``parts``."""
        self._parts = parts
        self._ledger = TableLedger(table=parts.table)

    async def close(self, holder: ReadHolder) -> bool:
        """Closes grant by grant; can be retried after any failure.

        Returns whether the holder is closed. Raises ``PlatformError``.
        """
        used: Counter[str] = Counter()
        for settlement in holder.row.recovered:
            for budget in settlement.budgets:
                used[budget] += settlement.used_tokens
        rows = await self._parts.table.scan(
            table=GRANTS_TABLE,
            prefix=f'{holder.key}/',
        )
        for row in rows:
            grant = decode_grant(row)
            if not await self._close_grant(holder, grant, used[grant.budget]):
                return False
        closed = attrs.evolve(holder.row, state=HolderState.CLOSED)
        outcome = await self._parts.table.commit(
            make_transaction(
                checks=(holder.check(),),
                writes=(holder.write(closed),),
            ),
        )
        return isinstance(outcome, Committed)

    async def _close_grant(
        self,
        holder: ReadHolder,
        grant: ReadGrant,
        used_tokens: int,
    ) -> bool:
        for _ in range(_ATTEMPTS):
            ledger = await self._ledger.read(grant.budget)
            if ledger is None:
                return False
            if used_tokens > grant.row.open_tokens:
                self._parts.metrics.increment('recovery_over_grant')
            if await self._commit(holder, grant, ledger, used_tokens):
                return True
        return False

    async def _commit(
        self,
        holder: ReadHolder,
        grant: ReadGrant,
        ledger: ReadLedgerRow,
        used_tokens: int,
    ) -> bool:
        granted = grant.row.open_tokens + grant.row.billed_tokens
        billed = grant.row.billed_tokens + used_tokens
        row = attrs.evolve(
            ledger.row,
            open_tokens=ledger.row.open_tokens - granted,
            billed_tokens=ledger.row.billed_tokens + billed,
        )
        outcome = await self._parts.table.commit(
            make_transaction(
                checks=(holder.check(), grant.check(), ledger.check()),
                writes=(
                    grant.write(GrantRow()),
                    ledger.write(row),
                ),
            ),
        )
        return isinstance(outcome, Committed)
