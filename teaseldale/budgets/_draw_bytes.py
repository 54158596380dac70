"""Limit of the bytes that draws of one account and their answers take."""

from collections import deque

from teaseldale.clock import BaseClock

_MS_PER_SECOND = 1000
# Bytes in any second, by the time of sending. An answer arrives in a later
# second than its draw over a slow link, and returns come on top, so that this
# is below the 2,000 bytes that a busy account may take.
_MAX_BYTES_PER_S = 1900
# A draw with its answer for names of usual length.
_EXCHANGE_BYTES = 400
# Draws sent at once after a pause; later ones are spaced, so that no request
# waits for bytes longer than half a second.
_BURST_BYTES = 2 * _EXCHANGE_BYTES
_MIN_SPACING_MS = 150


class DrawBytes:
    """Counts bytes of the last second."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts with all bytes of a second free."""
        self._clock = clock
        self._sent: deque[tuple[int, int]] = deque()  # time and bytes
        self._sent_bytes = 0

    def wait_ms(self) -> int:
        """Returns the time until another draw may be sent.

        Draws after a burst are spread over the second, so that it does not
        stop all draws for the rest of the second.
        """
        now_ms = self._clock.monotonic_ms()
        while self._sent and self._sent[0][0] <= now_ms - _MS_PER_SECOND:
            self._sent_bytes -= self._sent.popleft()[1]
        if self._sent_bytes + _EXCHANGE_BYTES <= _BURST_BYTES:
            return 0
        spaced_ms = self._sent[-1][0] + _MIN_SPACING_MS
        excess_bytes = self._sent_bytes + _EXCHANGE_BYTES - _MAX_BYTES_PER_S
        for sent_ms, sent_bytes in self._sent:
            if excess_bytes <= 0:
                break
            excess_bytes -= sent_bytes
            spaced_ms = max(spaced_ms, sent_ms + _MS_PER_SECOND)
        return max(0, spaced_ms - now_ms)

    def count(self, sent_bytes: int) -> None:
        """Counts bytes that are sent or received now."""
        self._sent.append((self._clock.monotonic_ms(), sent_bytes))
        self._sent_bytes += sent_bytes
