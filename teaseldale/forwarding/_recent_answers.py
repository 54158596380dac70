"""Requests and parts of prompts that runners have answered lately."""

from teaseldale.clock import BaseClock

_LIMIT = 20_000  # about 3 MB
_RECENT_MS = 10_000


class RecentAnswers:
    """Bounded record of the last answer under each suspect at this VM."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts empty."""
        self._clock = clock
        self._answered_ms: dict[str, int] = {}  # monotonic, by suspect

    def note(self, key: str, answered_ms: int) -> None:
        """Records an answer at a monotonic time."""
        self._answered_ms.pop(key, None)
        self._answered_ms[key] = answered_ms
        if len(self._answered_ms) > _LIMIT:
            self._answered_ms.pop(next(iter(self._answered_ms)))

    def has_since(self, key: str, time_ms: int) -> bool:
        """Returns whether there was an answer after a monotonic time."""
        answered_ms = self._answered_ms.get(key)
        return answered_ms is not None and answered_ms > time_ms

    def is_recent(self, key: str) -> bool:
        """Returns whether there was an answer within the last 10 s."""
        return self.has_since(key, self._clock.monotonic_ms() - _RECENT_MS)
