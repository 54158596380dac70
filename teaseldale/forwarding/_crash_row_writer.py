"""Writes rows of crashes, later if the store takes none now."""

from collections.abc import Mapping

import anyio
import attrs

from teaseldale.budgets import StoreAccess
from teaseldale.forwarding._crash_rows import CRASH_TABLE, encode_crash
from teaseldale.logs import StateLog
from teaseldale.outcomes import PlatformError
from teaseldale.tables import RowWrite, TableFollower, make_transaction
from teaseldale.upstreams import ReportedCrash

_COALESCE_MS = 20  # a crash breaks many requests at the same moment
_RETRY_PAUSE_MS = 250
# Entries of one transaction that the store accepts.
_MAX_WRITES = 100
# Changes kept while the store takes none; the oldest are dropped.
_MAX_PENDING = 5000


class CrashRowWriter:
    """Changes of rows that the store has not taken yet."""

    def __init__(
        self,
        *,
        store: StoreAccess,
        follower: TableFollower,
        log: StateLog,
    ) -> None:
        """Takes the store's time from ``follower``."""
        self._table = store.table
        self._clock = store.clock
        self._metrics = store.metrics
        self._follower = follower
        self._log = log
        # Rows to be written, by key; None removes the row.
        self._pending: dict[str, ReportedCrash | None] = {}
        self._pending_since_ms: dict[str, int] = {}
        self._has_pending = anyio.Event()

    def queue(self, key: str, crash: ReportedCrash | None) -> None:
        """Writes a row soon; None removes it."""
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

    async def run(self) -> None:
        """Writes queued rows until cancelled."""
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
                table=CRASH_TABLE,
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
        return encode_crash(attrs.evolve(crash, age_ms=age_ms), store_ms)

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
