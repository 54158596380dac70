"""In-memory table service with faults that are set as attributes."""

import asyncio
import random

import anyio
import attrs

from teaseldale.fakes._pause import PauseGate
from teaseldale.fakes._virtual_time import VirtualClock
from teaseldale.outcomes import PlatformError, Step
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    HistoryLostError,
    InMemoryTable,
    Row,
    RowChanges,
    StoreEras,
    Transaction,
)

_MS_PER_SECOND = 1000


class FakeTableService(BaseTableService, BaseRowFeed):
    """One VM's client of a shared in-memory table service and feed."""

    def __init__(
        self,
        *,
        state: InMemoryTable,
        random_source: random.Random,
        latency_ms: int = 2,
        timeout_ms: int = 500,
        gate: PauseGate | None = None,
    ) -> None:
        """Creates a client; several clients may share one ``state``."""
        self.state = state
        self.down = False  # all calls time out
        self.lose_answers = False  # commits are applied, answers lost
        self.late_commits = False  # commits are applied after their time-out
        self.late_commit_ms = timeout_ms * 2  # delay of late commits
        self.history_lost = False  # the next wait for changes loses history
        self.answer_loss_rate: float = (
            0  # fraction of commits whose answer is lost
        )
        self.latency_ms = latency_ms
        self.commit_count = 0
        self.read_count = 0
        self.read_bytes = 0  # keys and values of returned rows
        self.written_bytes = 0
        self._random = random_source
        self._timeout_ms = timeout_ms
        self._gate = gate or PauseGate()
        self.eras = StoreEras(clock=VirtualClock(gate=self._gate))

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Applies the transaction, subject to the faults that are set."""
        self.commit_count += 1
        self.written_bytes += sum(
            len(write.value or b'') for write in transaction.writes
        )
        await self._delay(Step.TABLE_COMMIT)
        if self.late_commits:
            _apply_later(self.state, transaction, self.late_commit_ms)
            await anyio.sleep(self._timeout_ms / _MS_PER_SECOND)
            raise _platform_error(Step.TABLE_COMMIT, 'time-out')
        outcome = self.state.commit(transaction)
        era = self.state.era
        await self._gate.wait_while_paused()
        answer_lost = self._random.random() < self.answer_loss_rate
        if self.lose_answers or answer_lost:
            await anyio.sleep(self._timeout_ms / _MS_PER_SECOND)
            raise _platform_error(Step.TABLE_COMMIT, 'answer lost')
        self._observe_era(era, Step.TABLE_COMMIT)
        if isinstance(outcome, Conflicted):
            return attrs.evolve(outcome, era=era)
        return attrs.evolve(outcome, store_ms=_store_ms(), era=era)

    async def read_all(self, table: str, *, part: str = '') -> RowChanges:
        """Returns a snapshot of all rows of a table's part."""
        self.read_count += 1
        await self._delay(Step.TABLE_READ)
        rows = self.state.scan(
            table=table,
            prefix='',
            after_revision=0,
            part=part,
        )
        self.read_bytes += _size_of(rows)
        self._observe_era(self.state.era, Step.TABLE_READ)
        return RowChanges(
            rows=rows,
            revision=self.state.revision,
            store_ms=_store_ms(),
            era=self.state.era,
        )

    async def wait_for_changes(
        self,
        table: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> RowChanges:
        """Returns changes as soon as there are any, or after ``wait_ms``."""
        self.read_count += 1
        deadline_ms = _store_ms() + wait_ms
        while True:
            await self._delay(Step.TABLE_READ)
            self._observe_era(self.state.era, Step.TABLE_READ)
            if self.history_lost or after_revision > self.state.revision:
                self.history_lost = False
                raise HistoryLostError(
                    step=Step.TABLE_READ,
                    peer='table',
                    reason='history lost',
                )
            rows = self.state.changes(
                table=table,
                after_revision=after_revision,
            )
            if rows or _store_ms() >= deadline_ms:
                self.read_bytes += _size_of(rows)
                return RowChanges(
                    rows=rows,
                    revision=self.state.revision,
                    store_ms=_store_ms(),
                    era=self.state.era,
                )

    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""
        self.read_count += 1
        await self._delay(Step.TABLE_READ)
        return self.state.read(table=table, key=key)

    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns the rows changed after a revision, oldest first."""
        self.read_count += 1
        await self._delay(Step.TABLE_READ)
        return self.state.scan(
            table=table,
            prefix=prefix,
            after_revision=after_revision,
        )

    def _observe_era(self, era: int, step: Step) -> None:
        self.eras.observe(era)
        self.eras.require_current(era, step)

    async def _delay(self, step: Step) -> None:
        if self.down or self.state.is_away:
            await anyio.sleep(self._timeout_ms / _MS_PER_SECOND)
            await self._gate.wait_while_paused()
            raise _platform_error(step, 'time-out')
        await anyio.sleep(self.latency_ms / _MS_PER_SECOND)
        await self._gate.wait_while_paused()


def _store_ms() -> int:
    return round(asyncio.get_running_loop().time() * _MS_PER_SECOND)


def _size_of(rows: tuple[Row, ...]) -> int:
    return sum(len(row.key) + len(row.value or b'') for row in rows)


def _apply_later(
    state: InMemoryTable,
    transaction: Transaction,
    delay_ms: int,
) -> None:

    loop = asyncio.get_running_loop()
    loop.call_later(delay_ms / _MS_PER_SECOND, state.commit, transaction)


def _platform_error(step: Step, reason: str) -> PlatformError:
    return PlatformError(step=step, peer='fake-table', reason=reason)
