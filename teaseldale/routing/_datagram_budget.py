"""Limit of the bytes that a VM sends in datagrams."""

from collections import deque

from teaseldale.clock import BaseClock

_WINDOW_MS = 1000


class DatagramBudget:
    """Bounds the bytes in any window of one second."""

    def __init__(self, *, bytes_per_s: int, clock: BaseClock) -> None:
        """Allows ``bytes_per_s`` in each second."""
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._spent: deque[tuple[int, int]] = deque()  # time and bytes
        self._spent_bytes = 0

    @property
    def free_bytes(self) -> int:
        """Returns the bytes that may be sent now."""
        oldest_ms = self._clock.monotonic_ms() - _WINDOW_MS
        while self._spent and self._spent[0][0] <= oldest_ms:
            self._spent_bytes -= self._spent.popleft()[1]
        return self._bytes_per_s - self._spent_bytes

    @property
    def is_half_spent(self) -> bool:
        """Returns whether at most half of the bytes of a second are left."""
        return self.free_bytes * 2 <= self._bytes_per_s

    def spend(self, sent_bytes: int) -> None:
        """Counts bytes that are sent now."""
        self._spent.append((self._clock.monotonic_ms(), sent_bytes))
        self._spent_bytes += sent_bytes
