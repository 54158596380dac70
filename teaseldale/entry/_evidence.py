"""Latency and failure samples of a version, taken during a run."""

import anyio

from teaseldale.clock import BaseClock
from teaseldale.moves import BaseVersionAssignment, EvidenceSample

OVERDUE_MS = 2000


class RunEvidence:
    """Records one sample for each run; two if an overdue run fails."""

    def __init__(
        self,
        *,
        versions: BaseVersionAssignment,
        clock: BaseClock,
        route: str,
        version: str,
    ) -> None:
        """Starts the measurement of a run."""
        self._versions = versions
        self._clock = clock
        self._route = route
        self._version = version
        self._running = versions.begin(route, version)
        self._last_ms = clock.monotonic_ms()
        self._first_token_ms: int | None = None
        self._largest_gap_ms: int | None = None
        self.first_token = anyio.Event()
        self._paused = False
        self._was_overdue = False

    def note_token(self) -> None:
        """Records the arrival time of tokens."""
        now_ms = self._clock.monotonic_ms()
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if self._first_token_ms is None:
            self._first_token_ms = gap_ms
            self.first_token.set()
        elif self._largest_gap_ms is None or gap_ms > self._largest_gap_ms:
            self._largest_gap_ms = gap_ms

    def pause(self) -> None:
        """Suspends the measurement while the caller is too slow."""
        self._paused = True

    def resume(self) -> None:
        """Resumes the measurement; the pause does not count as a gap."""
        self._paused = False
        self._last_ms = self._clock.monotonic_ms()

    async def watch(self) -> None:
        """Records a sample once tokens are overdue; never returns."""
        while True:
            silent_ms = self._clock.monotonic_ms() - self._last_ms
            overdue = silent_ms >= OVERDUE_MS and not self._paused
            if overdue and not self._was_overdue:
                self._was_overdue = True
                self._record_overdue(silent_ms)
            await self._clock.sleep_ms(max(OVERDUE_MS - silent_ms, OVERDUE_MS))

    def end(self, *, failed: bool) -> None:
        """Records the run, unless an overdue sample already counts it."""
        self._versions.finish(self._running)
        if failed or not self._was_overdue:
            self._record(
                failed=failed,
                first_token_ms=self._first_token_ms,
                largest_gap_ms=self._largest_gap_ms,
            )

    def _record_overdue(self, silent_ms: int) -> None:
        if self._first_token_ms is None:
            self._record(first_token_ms=silent_ms, largest_gap_ms=None)
        else:
            self._record(
                first_token_ms=self._first_token_ms,
                largest_gap_ms=silent_ms,
            )

    def _record(
        self,
        *,
        first_token_ms: int | None,
        largest_gap_ms: int | None,
        failed: bool = False,
    ) -> None:
        self._versions.record(
            EvidenceSample(
                route=self._route,
                version=self._version,
                failed=failed,
                first_token_ms=first_token_ms,
                largest_gap_ms=largest_gap_ms,
            ),
        )
