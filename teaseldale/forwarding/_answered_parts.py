"""Parts of prompts that runners have answered lately."""

from teaseldale.clock import BaseClock

_LIMIT = 20_000  # about 3 MB
_RECENT_MS = 10_000


class AnsweredParts:
    """Bounded record of the last answer to prompts with each part."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts empty."""
        self._clock = clock
        self._began_ms: dict[str, int] = {}  # monotonic, by key of the part

    def note(self, key: str, began_ms: int) -> None:
        """Records an answer that began at a monotonic time."""
        self._began_ms.pop(key, None)
        self._began_ms[key] = began_ms
        if len(self._began_ms) > _LIMIT:
            self._began_ms.pop(next(iter(self._began_ms)))

    def is_recent(self, key: str) -> bool:
        """Returns whether an answer began within the last 10 s."""
        began_ms = self._began_ms.get(key)
        if began_ms is None:
            return False
        return self._clock.monotonic_ms() - began_ms <= _RECENT_MS
