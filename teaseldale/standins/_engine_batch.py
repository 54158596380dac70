"""Batch of the engine stand-in, which limits the runs that make progress."""

import heapq
import itertools

import anyio


class PriorityBatch:
    """Admits waiting runs in order of priority, then of arrival."""

    def __init__(self, *, size: int) -> None:
        """Creates a batch with ``size`` places."""
        self._free_places = size
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []

    @property
    def waiting_count(self) -> int:
        """Number of runs that wait for a place."""
        return len(self._waiting)

    async def enter(self, priority: int) -> None:
        """Waits for a free place; priority 0 is the highest."""
        if self._free_places:
            self._free_places -= 1
            return
        entry = (priority, next(self._arrivals), anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._leave_queue(entry)
            raise

    def leave(self) -> None:
        """Passes the place to the waiting run of the highest priority."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free_places += 1

    def _leave_queue(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry[2].is_set():
            self.leave()
            return
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)
