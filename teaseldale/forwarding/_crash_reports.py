"""Service that shares crashes of runners under requests with the other VMs.

Each crash is one row in the store, which all VMs follow. Rows survive the VMs
that wrote them; a VM that cannot write keeps its crashes and writes them later.
"""

from collections.abc import Mapping

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import StoreAccess
from teaseldale.forwarding._break_examinations import (
    BreakExaminations,
    BrokenRequest,
)
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members import BaseFleetMembers, rendezvous
from teaseldale.outcomes import PlatformError
from teaseldale.tables import Row, RowWrite, TableFollower, make_transaction
from teaseldale.upstreams import CrashSuspects, ReportedCrash

_TABLE = 'request_crashes'
_SEPARATOR = '/'
_COALESCE_MS = 20  # a crash breaks many requests at the same moment
_RETRY_PAUSE_MS = 250
_FEED_WAIT_MS = 2000
_EXPIRY_CHECK_MS = 10_000
# Entries of one transaction that the store accepts.
_MAX_WRITES = 100
# Changes kept while the store takes none; the oldest are dropped.
_MAX_PENDING = 5000


@attrs.frozen(kw_only=True)
class CrashRow:
    """A crash of a runner while it ran a request."""

    crashed_store_ms: int  # by the store's clock
    running_ms: int  # from the start of the attempt to the crash


class CrashReports(BaseService):
    """Requests that crash runners, as known to all VMs."""

    def __init__(
        self,
        *,
        vm_name: str,
        members: BaseFleetMembers,
        directory: RunnerDirectory,
        connections: RunnerConnectionPools,
        store: StoreAccess,
    ) -> None:
        """Follows the crashes of all VMs after ``start``."""
        self._vm_name = vm_name
        self._members = members
        self._directory = directory
        self._table = store.table
        self._clock = store.clock
        self._metrics = store.metrics
        self._suspects = CrashSuspects(clock=self._clock, metrics=self._metrics)
        self._examinations = BreakExaminations(
            directory=directory,
            connections=connections,
            clock=self._clock,
            metrics=self._metrics,
            on_crash=self._report,
        )
        self._stored_keys: set[str] = set()
        # Rows to be written, by key; None removes the row.
        self._pending: dict[str, ReportedCrash | None] = {}
        self._pending_since_ms: dict[str, int] = {}
        self._has_pending = anyio.Event()
        self._log = StateLog(channel='crashes')
        self._follower = TableFollower(
            feed=store.feed,
            table=_TABLE,
            clock=self._clock,
            metrics=self._metrics,
            on_snapshot=self._apply_all,
            on_changes=self._apply_rows,
            wait_ms=_FEED_WAIT_MS,
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'crash_reports'

    @property
    def has_suspects(self) -> bool:
        """Returns whether a runner has crashed under any request."""
        return not self._suspects.is_empty

    async def start(self, tasks: TaskGroup) -> None:
        """Starts following and writing the rows."""
        self._examinations.start(tasks)
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._write_pending)
        tasks.start_soon(self._remove_expired)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether the request may not be sent to a runner."""
        return self._suspects.is_quarantined(fingerprint)

    def expires_in_ms(self, fingerprint: str) -> int:
        """Returns the time until the request may be sent again."""
        return self._suspects.expires_in_ms(fingerprint)

    async def examine_break(
        self,
        fingerprint: str,
        runner: ForwardingRunner,
        *,
        running_ms: int,
    ) -> None:
        """Records a crash if the runner has ended without an announcement.

        Call it when the connection of a request is lost. It returns after a
        short time, even if it is still examined what became of the runner.
        """
        known = self._directory.find(runner.runner_id)
        if known is None or known.is_leaving:
            return
        await self._examinations.examine(
            runner,
            BrokenRequest(
                fingerprint=fingerprint,
                running_ms=running_ms,
                broken_ms=self._clock.monotonic_ms(),
            ),
        )

    def clear(self, fingerprint: str) -> None:
        """Clears a request that has run to a good end."""
        upstreams = self._suspects.forget(fingerprint)
        if not upstreams:
            return
        self._metrics.increment('quarantine_releases', 'ran_through')
        for upstream in upstreams:
            self._queue(_row_key(fingerprint, upstream), None)

    def _report(self, runner: ForwardingRunner, request: BrokenRequest) -> None:
        fingerprint = request.fingerprint
        if self._suspects.is_full:
            self._drop_suspect(self._suspects.oldest())
        upstream = runner.incarnation_name
        crash = ReportedCrash(
            upstream=upstream,
            running_ms=request.running_ms,
            age_ms=self._clock.monotonic_ms() - request.broken_ms,
        )
        self._suspects.record(fingerprint, crash)
        self._log.changed(
            'runner_ended_under_request',
            fingerprint=fingerprint,
            runner=upstream,
            running_ms=request.running_ms,
            quarantined=self._suspects.is_quarantined(fingerprint),
        )
        self._queue(_row_key(fingerprint, upstream), crash)

    def _queue(self, key: str, crash: ReportedCrash | None) -> None:
        self._pending.pop(key, None)
        if len(self._pending) >= _MAX_PENDING:
            dropped = next(iter(self._pending))
            self._pending.pop(dropped)
            self._pending_since_ms.pop(dropped)
            self._metrics.increment('crash_reports_dropped')
        self._pending[key] = crash
        age_ms = 0 if crash is None else crash.age_ms
        self._pending_since_ms[key] = self._clock.monotonic_ms() - age_ms
        self._has_pending.set()

    async def _write_pending(self) -> None:
        while True:
            await self._has_pending.wait()
            await self._clock.sleep_ms(_COALESCE_MS)
            store_ms = self._follower.store_ms
            if store_ms is None or not await self._write(store_ms):
                await self._clock.sleep_ms(_RETRY_PAUSE_MS)

    async def _write(self, store_ms: int) -> bool:
        """Writes the oldest changes; returns whether the store took them."""
        batch = dict(tuple(self._pending.items())[:_MAX_WRITES])
        writes = tuple(
            RowWrite(
                table=_TABLE,
                key=key,
                value=self._encode(key, crash, store_ms),
            )
            for key, crash in batch.items()
        )
        try:
            await self._table.commit(make_transaction(checks=(), writes=writes))
        except PlatformError as error:
            self._metrics.increment('crash_reports_not_written', error.reason)
            self._log.changed(
                'crashes_not_written',
                count=len(self._pending),
                reason=error.reason,
            )
            return False
        self._discard_written(batch)
        return True

    def _encode(
        self,
        key: str,
        crash: ReportedCrash | None,
        store_ms: int,
    ) -> bytes | None:
        if crash is None:
            return None
        age_ms = self._clock.monotonic_ms() - self._pending_since_ms[key]
        row = CrashRow(
            crashed_store_ms=store_ms - age_ms,
            running_ms=crash.running_ms,
        )
        return msgspec.msgpack.encode(row)

    def _discard_written(
        self,
        batch: Mapping[str, ReportedCrash | None],
    ) -> None:
        for key, crash in batch.items():
            # A key that changed during the commit is written again.
            if key in self._pending and self._pending[key] is crash:
                self._pending.pop(key)
                self._pending_since_ms.pop(key)
        if not self._pending:
            self._has_pending = anyio.Event()

    def _apply_all(self, rows: tuple[Row, ...]) -> None:
        """Applies a full read, which lacks the rows removed before it."""
        for key in self._stored_keys.difference(row.key for row in rows):
            self._forget_row(key)
        self._apply_rows(rows)

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.value is None:
                self._forget_row(row.key)
            else:
                self._apply_row(row.key, row.value)

    def _apply_row(self, key: str, encoded: bytes) -> None:
        fingerprint, _, upstream = key.partition(_SEPARATOR)
        try:
            stored = msgspec.msgpack.decode(encoded, type=CrashRow)
        except msgspec.DecodeError as error:
            self._metrics.increment('rows_unreadable', _TABLE)
            self._log.changed(
                'row_unreadable',
                table=_TABLE,
                key=key,
                reason=str(error),
            )
            return
        self._stored_keys.add(key)
        store_ms = self._follower.store_ms or stored.crashed_store_ms
        crash = ReportedCrash(
            upstream=upstream,
            running_ms=stored.running_ms,
            age_ms=max(0, store_ms - stored.crashed_store_ms),
        )
        self._suspects.record(fingerprint, crash)

    def _forget_row(self, key: str) -> None:
        self._stored_keys.discard(key)
        fingerprint, _, upstream = key.partition(_SEPARATOR)
        self._suspects.forget_crash(fingerprint, upstream)

    async def _remove_expired(self) -> None:
        """Removes expired suspects; one VM for each also removes its rows."""
        while True:
            await self._clock.sleep_ms(_EXPIRY_CHECK_MS)
            for fingerprint in self._suspects.expired():
                owner = rendezvous(fingerprint, self._members.entries())
                if owner == self._vm_name:
                    self._drop_suspect(fingerprint)
                else:
                    self._suspects.forget(fingerprint)

    def _drop_suspect(self, fingerprint: str) -> None:
        for upstream in self._suspects.forget(fingerprint):
            self._queue(_row_key(fingerprint, upstream), None)


def _row_key(fingerprint: str, upstream: str) -> str:
    return f'{fingerprint}{_SEPARATOR}{upstream}'
