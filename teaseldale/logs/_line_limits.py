"""Limits on how many lines of a kind are written in a second."""

import attrs

from teaseldale.clock import BaseClock

_WINDOW_MS = 1000
# Lines of one event in a second. A VM of today's deployments ends some ten
# requests a second and refuses a few hundred at the most.
_IMPORTANT_LINES = 500
_ROUTINE_LINES = 200


@attrs.define(kw_only=True)
class LineLimits:
    """Counts lines by kind, and those that were left out."""

    clock: BaseClock
    _started_ms: int = 0  # of the running window
    _seen: dict[tuple[str, bool], int] = attrs.field(factory=dict)
    _left_out: dict[str, int] = attrs.field(factory=dict)

    def allows(self, event: str, *, is_routine: bool) -> bool:
        """Counts a line; whether it may be written."""
        kind = event, is_routine
        count = self._seen.get(kind, 0) + 1
        self._seen[kind] = count
        limit = _ROUTINE_LINES if is_routine else _IMPORTANT_LINES
        if count <= limit:
            return True
        self.leave_out(event)
        return False

    def leave_out(self, event: str) -> None:
        """Counts a line that is not written."""
        self._left_out[event] = self._left_out.get(event, 0) + 1

    def take_left_out(self, *, at_once: bool = False) -> dict[str, int]:
        """Returns lines left out by event, once in each window.

        A new window begins with it.
        """
        now_ms = self.clock.monotonic_ms()
        if now_ms - self._started_ms < _WINDOW_MS and not at_once:
            return {}
        self._started_ms = now_ms
        self._seen = {}
        left_out = self._left_out
        self._left_out = {}
        return left_out

    def restore(self, left_out: dict[str, int]) -> None:
        """Takes back counts that could not be told."""
        for event, count in left_out.items():
            self._left_out[event] = self._left_out.get(event, 0) + count
