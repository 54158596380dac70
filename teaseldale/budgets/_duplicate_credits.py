"""Credits for requests that were executed and billed more than once."""

import attrs
import msgspec

from teaseldale.budgets._ledger import TableLedger
from teaseldale.outcomes import PlatformError
from teaseldale.requests import (
    DuplicateBill,
    HolderDependencies,
    RequestRecord,
    Settlement,
)
from teaseldale.tables import (
    Committed,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

DUPLICATES_TABLE = 'duplicates'
_INTERVAL_MS = 2000


@attrs.frozen(kw_only=True)
class _DuplicateRow:
    kept: str  # key of the VM whose run stays billed
    credited: tuple[str, ...]  # keys of VMs whose runs were credited


class DuplicateCredits:
    """Credits all runs of a request but one, each exactly once."""

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Processes the duplicates queue of ``parts``."""
        self._parts = parts
        self._ledger = TableLedger(table=parts.table)

    async def run(self) -> None:
        """Credits queued duplicates until cancelled."""
        while True:
            await self._parts.clock.sleep_ms(_INTERVAL_MS)
            for duplicate in self._parts.duplicates.pending():
                await self._try_credit(duplicate)

    async def _try_credit(self, duplicate: DuplicateBill) -> None:
        try:
            done = await self._credit(duplicate)
        except PlatformError:
            return
        if done:
            self._parts.duplicates.remove(duplicate)

    async def _credit(self, duplicate: DuplicateBill) -> bool:
        """Credits at most one run; returns whether none is left to credit."""
        key = duplicate.first.request.text
        stored_row = await self._parts.table.read(
            table=DUPLICATES_TABLE, key=key
        )
        row = _decode(stored_row, duplicate)
        for run in (duplicate.first, duplicate.second):
            if run.runner not in (row.kept, *row.credited):
                return await self._write(key, stored_row, row, run)
        return True

    async def _write(
        self,
        key: str,
        stored_row: Row | None,
        row: _DuplicateRow,
        run: RequestRecord,
    ) -> bool:
        credited = attrs.evolve(row, credited=(*row.credited, run.runner))
        checks = [
            RowCheck(
                table=DUPLICATES_TABLE,
                key=key,
                revision=stored_row.revision if stored_row else 0,
            ),
        ]
        writes = [
            RowWrite(
                table=DUPLICATES_TABLE,
                key=key,
                value=msgspec.msgpack.encode(credited),
            ),
        ]
        settlement = _settlement_of(run)
        for budget in settlement.budgets:
            read = await self._ledger.read(budget)
            if read is None:
                continue
            billed_tokens = read.row.billed_tokens - settlement.used_tokens
            checks.append(read.check())
            writes.append(
                read.write(attrs.evolve(read.row, billed_tokens=billed_tokens))
            )
        outcome = await self._parts.table.commit(
            make_transaction(checks=checks, writes=writes),
        )
        if not isinstance(outcome, Committed):
            return False
        self._parts.metrics.increment('duplicates_credited')
        return True


def _decode(stored_row: Row | None, duplicate: DuplicateBill) -> _DuplicateRow:
    if stored_row is not None and stored_row.value is not None:
        return msgspec.msgpack.decode(stored_row.value, type=_DuplicateRow)
    kept = min(duplicate.first.runner, duplicate.second.runner)
    return _DuplicateRow(kept=kept, credited=())


def _settlement_of(run: RequestRecord) -> Settlement:
    if run.settlement is None:
        raise ValueError('Only settled runs are credited.')
    return run.settlement
