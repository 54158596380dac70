"""Suspension of repeatedly failing runners, with exponential backoff."""

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.routing._pool import FAILURES_TO_SUSPEND, Runner

_MIN_SUSPENSION_MS = 250
_MAX_SUSPENSION_MS = 8000


class Suspensions:
    """Circuit breaker: suspends failing runners, then allows one request."""

    def __init__(self, *, clock: BaseClock, metrics: Metrics) -> None:
        """Creates a circuit breaker without suspended runners."""
        self._clock = clock
        self._metrics = metrics
        self._suspended: dict[str, Runner] = {}

    def note_outcome(self, runner: Runner, *, failed: bool) -> None:
        """Records a request's outcome; suspends after repeated failures."""
        if not failed:
            runner.failure_count = 0
        elif not runner.suspended_until_ms:
            runner.failure_count += 1
            if runner.failure_count >= FAILURES_TO_SUSPEND:
                self._suspend(runner)

    def end_expired(self) -> list[Runner]:
        """Ends expired suspensions and returns their runners."""
        now_ms = self._clock.monotonic_ms()
        expired = [
            runner
            for runner in self._suspended.values()
            if now_ms >= runner.suspended_until_ms
        ]
        for runner in expired:
            self._suspended.pop(runner.name)
            runner.suspended_until_ms = 0
        return expired

    def _suspend(self, runner: Runner) -> None:
        repeat_count = runner.failure_count - FAILURES_TO_SUSPEND
        duration_ms = min(
            _MIN_SUSPENSION_MS * 2**repeat_count, _MAX_SUSPENSION_MS
        )
        runner.suspended_until_ms = self._clock.monotonic_ms() + duration_ms
        self._suspended[runner.name] = runner
        self._metrics.increment('upstream_suspensions', runner.name)
