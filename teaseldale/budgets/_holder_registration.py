"""Registration of a VM as a holder of grants."""

from teaseldale.budgets._grant_rounds import GrantRounds
from teaseldale.budgets._grant_rows import (
    GRANTS_TABLE,
    HOLDERS_TABLE,
    HolderRow,
    HolderState,
    ReadHolder,
    decode_holder,
    grant_key,
)
from teaseldale.requests import HolderDependencies
from teaseldale.tables import Committed, make_transaction


class HolderRegistration:
    """Inserts and deletes the row of this VM's holder."""

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Creates the registration without writing to the table."""
        self._parts = parts

    async def register(self, rounds: GrantRounds) -> None:
        """Inserts the holder's row and loads the set of fenced holders.

        Raises ``PlatformError``; it is safe to call again.
        """
        holder = self._parts.holder
        sent_ms = self._parts.clock.monotonic_ms()
        inserted = await self._insert(
            ReadHolder(
                key=holder.key,
                row=HolderRow(vm=holder.vm.key, address=holder.vm.address),
                revision=0,
            ),
        )
        for row in await self._parts.table.scan(table=HOLDERS_TABLE):
            read = decode_holder(row)
            if read.row.state is not HolderState.OPEN:
                self._parts.store.fence(read.key)
        rounds.adopt(inserted)
        holder.registered = True
        holder.renew(sent_ms=sent_ms)

    async def withdraw(self, rounds: GrantRounds) -> None:
        """Deletes the holder's row unless it still has grants."""
        table = self._parts.table
        prefix = grant_key(self._parts.holder.key, '')
        if await table.scan(table=GRANTS_TABLE, prefix=prefix):
            return
        row = rounds.row
        await table.commit(
            make_transaction(checks=(row.check(),), writes=(row.write(None),)),
        )

    async def _insert(self, absent: ReadHolder) -> ReadHolder:
        outcome = await self._parts.table.commit(
            make_transaction(
                checks=(absent.check(),),
                writes=(absent.write(absent.row),),
            ),
        )
        if isinstance(outcome, Committed):
            return ReadHolder(
                key=absent.key,
                row=absent.row,
                revision=outcome.revision,
            )
        return decode_holder(outcome.rows[0])
