"""Rate limits on log lines, per event and level."""

import attrs

from teaseldale.clock import BaseClock

_WINDOW_MS = 1000
# Lines per event and second. A VM of current deployments completes about ten
# requests per second and refuses at most a few hundred.
_IMPORTANT_LINES_PER_WINDOW = 500
_ROUTINE_LINES_PER_WINDOW = 200


@attrs.define(kw_only=True)
class LineLimits:
    """Counts lines per event and level, and the dropped lines per event."""

    clock: BaseClock
    _started_ms: int = 0  # start of the current window
    _line_counts: dict[tuple[str, bool], int] = attrs.field(factory=dict)
    _dropped: dict[str, int] = attrs.field(factory=dict)

    def admit(self, event: str, *, is_routine: bool) -> bool:
        """Counts a line; returns False if it exceeds its rate limit."""
        kind = event, is_routine
        count = self._line_counts.get(kind, 0) + 1
        self._line_counts[kind] = count
        limit = (
            _ROUTINE_LINES_PER_WINDOW
            if is_routine
            else _IMPORTANT_LINES_PER_WINDOW
        )
        if count <= limit:
            return True
        self.count_dropped(event)
        return False

    def count_dropped(self, event: str) -> None:
        """Counts a dropped line."""
        self._dropped[event] = self._dropped.get(event, 0) + 1

    def pop_dropped(self, *, at_once: bool = False) -> dict[str, int]:
        """Returns the counts of dropped lines by event and resets them.

        Returns an empty mapping while the current window lasts, unless
        ``at_once`` is set; otherwise a new window starts.
        """
        now_ms = self.clock.monotonic_ms()
        if now_ms - self._started_ms < _WINDOW_MS and not at_once:
            return {}
        self._started_ms = now_ms
        self._line_counts = {}
        dropped = self._dropped
        self._dropped = {}
        return dropped

    def restore(self, dropped: dict[str, int]) -> None:
        """Adds back counts that could not be logged."""
        for event, count in dropped.items():
            self._dropped[event] = self._dropped.get(event, 0) + count
