"""Settlements of this VM's former holders that recovery may have missed."""

from teaseldale.budgets._grant_book import GrantBook
from teaseldale.budgets._grant_rows import (
    HOLDERS_TABLE,
    HolderRow,
    HolderState,
    decode_holder,
)
from teaseldale.budgets._spending import BaseSpending, Reservation
from teaseldale.outcomes import PlatformError
from teaseldale.requests import HolderDependencies, RequestIdentity, Settlement

_INTERVAL_MS = 2000
_UNDECIDED = frozenset((HolderState.OPEN, HolderState.CLOSING))


class LateSettlements:
    """Waits for the recovery to finish, then bills missed settlements."""

    def __init__(self, *, parts: HolderDependencies, book: GrantBook) -> None:
        """Bills into the grants of ``book``."""
        self._parts = parts
        self._book = book

    async def run(self, spending: BaseSpending) -> None:
        """Processes late settlements until cancelled."""
        late = self._parts.holder.late_settlements
        while True:
            await self._parts.clock.sleep_ms(_INTERVAL_MS)
            self._parts.metrics.set_gauge('settlements_late', len(late))
            for settlement in tuple(late.values()):
                await self._resolve(spending, settlement)

    async def _resolve(
        self,
        spending: BaseSpending,
        settlement: Settlement,
    ) -> None:
        try:
            holder_row = await self._parts.table.read(
                table=HOLDERS_TABLE,
                key=settlement.holder,
            )
        except PlatformError:
            return
        if holder_row is None:
            return
        row = decode_holder(holder_row).row
        if row.state in _UNDECIDED:
            return
        if _is_billed(row, settlement) or await self._bill(
            spending,
            settlement,
        ):
            self._parts.holder.late_settlements.pop(
                (settlement.holder, settlement.sequence),
            )

    async def _bill(
        self,
        spending: BaseSpending,
        settlement: Settlement,
    ) -> bool:
        reserved = await spending.reserve(
            request=RequestIdentity(client_account='', key=settlement.holder),
            budgets=settlement.budgets,
            tokens=settlement.used_tokens,
        )
        if not isinstance(reserved, Reservation):
            self._parts.metrics.increment('late_settlements_refused')
            return False
        billed = self._book.settle(
            reserved.budgets,
            reserved_tokens=reserved.tokens,
            used_tokens=reserved.tokens,
            request=settlement.request,
        )
        self._parts.holder.note_witnessed(billed)
        return True


def _is_billed(row: HolderRow, settlement: Settlement) -> bool:
    return settlement.sequence <= row.settled_through or any(
        settlement.sequence == recovered.sequence
        or (not recovered.sequence and recovered.request == settlement.request)
        for recovered in row.recovered
    )
