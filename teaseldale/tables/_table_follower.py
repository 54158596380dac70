"""Keeps a local view of a table up to date across store outages."""

from collections.abc import Callable

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError, Step
from teaseldale.tables._row_feed import (
    BaseRowFeed,
    HistoryLostError,
    RowChanges,
)
from teaseldale.tables._store_eras import NO_ERA, EraChangedError
from teaseldale.tables._table import Row

# Maximum wait of one feed request. It bounds how long a dead connection goes
# unnoticed.
_WAIT_MS = 1000
_FIRST_PAUSE_MS = 50
# Upper bound of the back-off, and so of the delay until the end of an outage is
# noticed.
_LONGEST_PAUSE_MS = 400

RowsCallback = Callable[[tuple[Row, ...]], None]


class TableFollower:
    """Reads a whole table, then follows its changes.

    The two callbacks must not block. When the store has lost the history of
    changes, the whole table is read again.
    """

    def __init__(
        self,
        *,
        feed: BaseRowFeed,
        table: str,
        clock: BaseClock,
        metrics: Metrics,
        on_snapshot: RowsCallback,
        on_changes: RowsCallback,
        wait_ms: int = _WAIT_MS,
        skips_replaced: bool = False,
    ) -> None:
        """Passes whole tables to ``on_snapshot``, changes to ``on_changes``.

        ``wait_ms`` is the maximum wait of one feed request. A feed sends every
        version of a row, and large ones saturate a slow link. To skip versions
        that were replaced meanwhile, ``skips_replaced`` reads the whole table
        again after a failed request or several versions of a row in one answer.
        """
        self._skips_replaced = skips_replaced
        self._wait_ms = wait_ms
        self._feed = feed
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._revision: int | None = None
        self._era = NO_ERA  # that the revision belongs to
        self._pause_ms = _FIRST_PAUSE_MS
        self._last_answer_ms = clock.monotonic_ms()
        self._failing_since_ms: int | None = None
        self._requested_ms = self._last_answer_ms
        self._store_offset_ms: int | None = None  # store's clock to own one
        self._log = StateLog(channel='store')

    @property
    def age_ms(self) -> int:
        """Milliseconds since the store last confirmed the view."""
        return self._clock.monotonic_ms() - self._last_answer_ms

    @property
    def outage_ms(self) -> int:
        """Milliseconds since the feed began to fail; 0 while it answers."""
        if self._failing_since_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._failing_since_ms

    @property
    def store_ms(self) -> int | None:
        """Estimated time of the store's clock; None before its first answer."""
        if self._store_offset_ms is None:
            return None
        return self._clock.monotonic_ms() + self._store_offset_ms

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            try:
                await self._step()
            except (HistoryLostError, EraChangedError) as error:
                self._metrics.increment('feeds_read_again', self._table)
                self._log.changed(
                    'feed_history_lost',
                    table=self._table,
                    reason=error.reason,
                )
                self._revision = None
            except PlatformError as error:
                await self._handle_failure(error)

    async def _step(self) -> None:
        self._requested_ms = self._clock.monotonic_ms()
        if self._revision is None:
            self._handle_answer(
                await self._feed.read_all(self._table), self._apply_all
            )
            return
        changes = await self._feed.wait_for_changes(
            self._table,
            after_revision=self._revision,
            # A store that answers again may have begun a new era.
            wait_ms=self._wait_ms if self._failing_since_ms is None else 0,
        )
        if changes.era != self._era:
            # The store may have assigned the revisions up to the last one
            # anew, and omits those changes.
            raise EraChangedError(
                step=Step.TABLE_READ,
                peer='store',
                reason=f'era {changes.era} instead of {self._era}',
            )
        self._handle_answer(changes, self._on_changes)

    def _apply_all(self, rows: tuple[Row, ...]) -> None:
        self._on_snapshot(rows)

    def _handle_answer(
        self, changes: RowChanges, callback: RowsCallback
    ) -> None:
        self._last_answer_ms = self._clock.monotonic_ms()
        self._store_offset_ms = changes.store_ms - self._last_answer_ms
        self._pause_ms = _FIRST_PAUSE_MS
        if self._failing_since_ms is not None:
            self._log.changed(
                'feed_regained',
                table=self._table,
                outage_ms=self._last_answer_ms - self._failing_since_ms,
            )
            self._failing_since_ms = None
        is_whole = self._revision is None
        if is_whole or changes.rows:
            callback(changes.rows)
            self._log_answer(changes, is_whole=is_whole)
        self._revision = max(self._revision or 0, changes.revision)
        self._era = changes.era
        if self._skips_replaced and _has_replaced_versions(changes.rows):
            self._revision = None

    def _log_answer(self, changes: RowChanges, *, is_whole: bool) -> None:
        self._log.routine(
            'feed_answer',
            table=self._table,
            is_whole=is_whole,
            rows=len(changes.rows),
            received_bytes=changes.received_bytes,
            duration_ms=self._last_answer_ms - self._requested_ms,
            taken_ms=self._clock.monotonic_ms() - self._last_answer_ms,
            revision=changes.revision,
        )

    async def _handle_failure(self, error: PlatformError) -> None:
        if self._skips_replaced:
            self._revision = None
        self._metrics.increment('feed_failures', error.reason)
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.monotonic_ms()
            self._log.changed(
                'feed_lost',
                table=self._table,
                reason=error.reason,
                age_ms=self.age_ms,
            )
        await self._clock.sleep_ms(self._pause_ms)
        self._pause_ms = min(self._pause_ms * 2, _LONGEST_PAUSE_MS)


def _has_replaced_versions(rows: tuple[Row, ...]) -> bool:
    """Whether ``rows`` contain several versions of the same row."""
    return len({row.key for row in rows}) < len(rows)
