"""Batch of the engine stand-in: which runs make progress at once."""

import heapq
import itertools

import anyio


class PriorityBatch:
    """Admits waiting runs by priority, then by arrival."""

    def __init__(self, *, size: int) -> None:
        """Lets ``size`` runs make progress at once."""
        self._free = size
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []

    @property
    def waiting_count(self) -> int:
        """Runs that wait for a place."""
        return len(self._waiting)

    async def enter(self, priority: int) -> None:
        """Waits for a place; 0 is the highest priority."""
        if self._free:
            self._free -= 1
            return
        entry = (priority, next(self._order), anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._give_back(entry)
            raise

    def leave(self) -> None:
        """Hands the place to the waiting run of the highest priority."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._free += 1

    def _give_back(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry[2].is_set():
            self.leave()
            return
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)
