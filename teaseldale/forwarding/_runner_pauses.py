"""Pauses that runners ask of this VM."""

from collections.abc import Collection

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog

# Bounds what one malformed answer can do; a runner that still rejects requests
# then asks for the next pause.
_MAX_PAUSE_MS = 3_600_000


class RunnerPauses:
    """Ends of the pauses, by incarnation of a runner."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts without pauses."""
        self._clock = clock
        self._ends_ms: dict[str, float] = {}  # monotonic
        self._log = StateLog(channel='pauses')

    def note(self, runner: str, pause_ms: float) -> None:
        """Records a pause; it prolongs an earlier one, but never ends it."""
        now_ms = self._clock.monotonic_ms()
        end_ms = now_ms + min(pause_ms, _MAX_PAUSE_MS)
        earlier_ms = self._ends_ms.get(runner, now_ms)
        if end_ms <= earlier_ms:
            return
        self._ends_ms[runner] = end_ms
        self._log.changed(
            'runner_paused',
            runner=runner,
            pause_ms=pause_ms,
            left_ms=max(0, earlier_ms - now_ms),
        )

    def left_ms(self, runner: str) -> float:
        """Returns the rest of a runner's pause; 0 if there is none."""
        end_ms = self._ends_ms.get(runner)
        if end_ms is None:
            return 0
        left_ms = end_ms - self._clock.monotonic_ms()
        if left_ms <= 0:
            self._ends_ms.pop(runner)
        return max(0, left_ms)

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops the pauses of incarnations that have ended."""
        for ended in self._ends_ms.keys() - runners:
            self._ends_ms.pop(ended)
