"""Budget of the bytes that are held for others."""

from collections.abc import Callable
from types import TracebackType
from typing import Self

import anyio

from teaseldale.metrics import Metrics

# Memory of a process that holds nothing for others, with its tables, and a
# margin for bytes that arrive before reading stops.
_OWN_BYTES = 100_000_000
# Part of the memory beyond that if a process may use little.
_SMALLEST_SHARE = 0.1
# Large bodies leave the rest of the budget to small ones.
_LARGE_SHARE = 0.6
# Bodies up to this size go on while the budget is tight.
SMALL_BYTES = 65_536


def budget_bytes_of(memory_bytes: int) -> int:
    """Returns the budget of a process that may use ``memory_bytes``."""
    return max(
        memory_bytes - _OWN_BYTES,
        int(memory_bytes * _SMALLEST_SHARE),
    )


def _share_of(size_bytes: int) -> float:
    return 1.0 if size_bytes <= SMALL_BYTES else _LARGE_SHARE


class Holding:
    """Bytes that are held until they are released."""

    def __init__(self, *, budget: 'ByteBudget', size_bytes: int) -> None:
        """Is made by the budget."""
        self._budget = budget
        self.size_bytes = size_bytes

    def __enter__(self) -> Self:
        """Returns the holding."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Releases the bytes."""
        self.release()

    def resize(self, size_bytes: int) -> None:
        """Changes the number of held bytes, also beyond the budget."""
        self._budget.add(size_bytes - self.size_bytes)
        self.size_bytes = size_bytes

    def try_grow(self, added_bytes: int) -> bool:
        """Holds more bytes if they fit; returns whether they do."""
        size_bytes = self.size_bytes + added_bytes
        if not self._budget.make_room(added_bytes, size_bytes=size_bytes):
            return False
        self.resize(size_bytes)
        return True

    def release(self) -> None:
        """Releases the bytes; idempotent."""
        self.resize(0)


class ByteBudget:
    """Counts the bytes that a process holds for others.

    What has been received must be held, so holdings may exceed the budget.
    Whoever reads on for a slow peer waits for room, and what is about to come
    is refused if it does not fit.
    """

    def __init__(
        self,
        *,
        limit_bytes: int,
        metrics: Metrics,
        gauge: str = 'held_bytes',
    ) -> None:
        """Reports the held bytes as ``gauge``."""
        self._gauge = gauge
        self._reclaimers: list[Callable[[int], None]] = []
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._has_room = anyio.Event()
        self._waiting_count = 0
        self.held_bytes = 0

    @property
    def is_tight(self) -> bool:
        """Returns whether only small bodies should be read."""
        return self.held_bytes >= self._limit_bytes * _LARGE_SHARE

    @property
    def is_exhausted(self) -> bool:
        """Returns whether nothing more should be admitted."""
        return self.held_bytes >= self._limit_bytes

    def has_room(self, added_bytes: int, *, size_bytes: int) -> bool:
        """Returns whether a body of ``size_bytes`` may grow so far."""
        most_bytes = self._limit_bytes * _share_of(size_bytes)
        return self.held_bytes + added_bytes <= most_bytes

    def make_room(self, added_bytes: int, *, size_bytes: int) -> bool:
        """Returns whether a body may grow, after others were evicted for it."""
        for reclaim in self._reclaimers:
            if self.has_room(added_bytes, size_bytes=size_bytes):
                return True
            share = _share_of(size_bytes)
            most_bytes = int(self._limit_bytes * share)
            reclaim(self.held_bytes + added_bytes - most_bytes)
        return self.has_room(added_bytes, size_bytes=size_bytes)

    def add_reclaimer(self, reclaim: Callable[[int], None]) -> None:
        """Calls ``reclaim`` with the number of bytes to be freed.

        It releases holdings of others before it returns, if it can.
        """
        self._reclaimers.append(reclaim)

    def hold(self, size_bytes: int = 0) -> Holding:
        """Holds bytes that have been received, also beyond the budget."""
        self.add(size_bytes)
        return Holding(budget=self, size_bytes=size_bytes)

    def add(self, added_bytes: int) -> None:
        """Counts bytes; negative ones are released."""
        self.held_bytes += added_bytes
        self._metrics.set_gauge(self._gauge, self.held_bytes)
        if added_bytes < 0 and self._waiting_count and not self.is_tight:
            self._has_room.set()
            self._has_room = anyio.Event()

    async def wait_for_room(self) -> None:
        """Returns once the budget is not tight."""
        if not self.is_tight:
            return
        self._metrics.increment('reads_paused')
        self._waiting_count += 1
        try:
            while self.is_tight:
                await self._has_room.wait()
        finally:
            self._waiting_count -= 1
