"""Bytes and progress of one request that is being received."""

from teaseldale.memory import ByteBudget, Holding
from teaseldale.web._client_limits import ClientLimits

_MS_PER_SECOND = 1000


class RequestIntake:
    """Counts a body's bytes from their receipt to the end of the request.

    Bytes that nobody has read yet are held for the connection. Once the body
    is read, the reader's holding covers them.
    """

    def __init__(
        self,
        *,
        budget: ByteBudget,
        limits: ClientLimits,
        now_ms: float,
    ) -> None:
        """Starts at the end of the head, on the event loop's clock."""
        self._limits = limits
        self._unread = budget.hold()
        self._own = budget.hold()
        self._reserved: Holding | None = None
        self._is_covered = False  # whether the whole length is reserved
        self._received_bytes = 0
        self._mark_ms = now_ms
        self._mark_bytes = 0
        self._last_ms = now_ms  # when bytes were received last
        self._was_slow = False
        self.started_ms = now_ms

    def try_receive(self, size_bytes: int, now_ms: float) -> bool:
        """Reserves received bytes; returns whether they fit."""
        self._note_progress(size_bytes, now_ms)
        return self._is_covered or self._unread.try_grow(size_bytes)

    def try_reserve(self, declared_bytes: int, holding: Holding | None) -> bool:
        """Reserves a body of known length, 0 if it is not known, for a reader.

        Without a ``holding`` the bytes are held until the request ends.
        """
        self._reserved = holding or self._own
        if not declared_bytes:
            return True
        self._unread.release()
        self._is_covered = self._reserved.try_grow(declared_bytes)
        return self._is_covered

    def try_take(self, size_bytes: int) -> bool:
        """Passes bytes to the reader's holding; returns whether they fit."""
        if self._is_covered or self._reserved is None:
            return True
        unread_bytes = self._unread.size_bytes
        self._unread.resize(max(0, unread_bytes - size_bytes))
        return self._reserved.try_grow(size_bytes)

    def is_stalled(self, now_ms: float) -> bool:
        """Returns whether the body was silent, or too slow, lately."""
        if now_ms - self._last_ms >= self._limits.stall_ms:
            return True
        if now_ms - self._mark_ms < self._limits.stall_ms:
            return self._was_slow
        return self._is_slow(now_ms)

    def give_up(self) -> None:
        """Releases all bytes, because the request is not read any further."""
        self.release()
        if self._reserved is not None:
            self._reserved.release()

    def release(self) -> None:
        """Releases what the reader does not hold itself."""
        self._unread.release()
        self._own.release()

    def _note_progress(self, size_bytes: int, now_ms: float) -> None:
        if now_ms - self._mark_ms >= self._limits.stall_ms:
            self._was_slow = self._is_slow(now_ms)
            self._mark_ms = now_ms
            self._mark_bytes = self._received_bytes
        self._received_bytes += size_bytes
        self._last_ms = now_ms

    def _is_slow(self, now_ms: float) -> bool:
        elapsed_ms = now_ms - self._mark_ms
        progress_bytes = self._received_bytes - self._mark_bytes
        least_bytes = self._limits.stall_bytes_per_second * elapsed_ms
        return progress_bytes * _MS_PER_SECOND < least_bytes
