"""Timeout that follows the observed round trips of this VM's datagrams.

The smoothed round-trip time and its deviation are those of Jacobson and
Karels (1988) and RFC 6298.
"""

# Timeout before the first round trip is known. Longer ones leave too few
# keepers within the time that a request waits.
_INITIAL_TIMEOUT_MS = 200
_MIN_TIMEOUT_MS = 100  # a busy VM may take this long to answer
_MAX_TIMEOUT_MS = 300  # two more keepers can be asked while a request waits
_MEAN_GAIN = 0.125
_DEVIATION_GAIN = 0.25
_DEVIATIONS = 4


class RoundTrips:
    """Estimates how long an answer may take."""

    def __init__(self) -> None:
        """Starts without any observed round trip."""
        self._mean_ms: float | None = None
        self._deviation_ms = float(0)

    @property
    def timeout_ms(self) -> int:
        """Time after which an answer is considered late."""
        if self._mean_ms is None:
            return _INITIAL_TIMEOUT_MS
        timeout_ms = self._mean_ms + _DEVIATIONS * self._deviation_ms
        return int(min(max(timeout_ms, _MIN_TIMEOUT_MS), _MAX_TIMEOUT_MS))

    def add(self, duration_ms: int) -> None:
        """Adds a round trip of a datagram that was sent only once."""
        if self._mean_ms is None:
            self._mean_ms = duration_ms
            self._deviation_ms = duration_ms / 2
            return
        error_ms = duration_ms - self._mean_ms
        self._deviation_ms += _DEVIATION_GAIN * (
            abs(error_ms) - self._deviation_ms
        )
        self._mean_ms += _MEAN_GAIN * error_ms
