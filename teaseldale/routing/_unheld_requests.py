"""Requests at a brittle runner that hold no permit."""

from collections import deque

from teaseldale.routing._room_messages import ReportedLoad

# Requests of an ended process that no load has shown have ended by then.
_ABANDONED_MS = 3000
# A load that was made before the process ended does not count.
_MIN_LATER_MS = 100
_LOAD_VALID_MS = 1000
_MAX_LOAD_AGE_MS = 50  # of a load when its VM reports it
# Loads and reports overtake each other, so only a lasting excess counts.
_LOAD_COUNT = 3


class UnheldRequests:
    """Counts requests of ended processes, older builds and probes."""

    def __init__(self) -> None:
        """Starts without any."""
        self._abandoned_count = 0
        self._abandoned_ms = 0  # monotonic; latest end of a process
        self._excesses: deque[int] = deque(maxlen=_LOAD_COUNT)
        self._loaded_ms = 0  # monotonic

    def note_abandoned(self, count: int, now_ms: int) -> None:
        """Records the requests of a process that has ended."""
        self._abandoned_count = self._abandoned(now_ms) + count
        self._abandoned_ms = now_ms

    def note_load(
        self,
        load: ReportedLoad | None,
        held_count: int,
        now_ms: int,
    ) -> None:
        """Records what the runner reports beside the permits held there.

        Permits may have ended since an older load, which says nothing.
        """
        if load is None or load.age_ms >= _MAX_LOAD_AGE_MS:
            return
        request_count = load.running_count + load.waiting_count
        excess_count = max(0, request_count - held_count)
        self._excesses.append(excess_count)
        self._loaded_ms = now_ms
        if now_ms - self._abandoned_ms >= _MIN_LATER_MS:
            self._abandoned_count = min(self._abandoned_count, excess_count)

    def count(self, now_ms: int) -> int:
        """Returns how many requests hold no permit."""
        excess_count = 0
        if self._excesses and now_ms - self._loaded_ms < _LOAD_VALID_MS:
            excess_count = min(self._excesses)
        return max(excess_count, self._abandoned(now_ms))

    def _abandoned(self, now_ms: int) -> int:
        if now_ms - self._abandoned_ms >= _ABANDONED_MS:
            return 0
        return self._abandoned_count
