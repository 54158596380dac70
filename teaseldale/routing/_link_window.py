"""Load of a VM's link over recent windows."""

from collections import deque
from collections.abc import Callable

import attrs

from teaseldale.clock import BaseClock

_MS_PER_SECOND = 1000
# Minimum interval of readings; bounds their number in a window.
_READING_INTERVAL_MS = 50
_SHORT_WINDOW_MS = 500
_LONG_WINDOW_MS = 1000
# A window that has just begun says too little about a rate.
_SHORTEST_MS = 250
# One large body can fill the link for the short window without a lasting load,
# so that the load is at most this multiple of that of the long window.
_LONG_WINDOW_FACTOR = 1.25


@attrs.frozen(kw_only=True)
class LinkTotals:
    """Bytes that have crossed the link since the process started."""

    received_bytes: int
    sent_bytes: int


@attrs.frozen(kw_only=True)
class LinkLoad:
    """Shares of the link's rate that are in use, 1.0 for a full link."""

    received_share: float
    sent_share: float
    window_ms: int  # length of the short window; 0 if nothing is known
    age_ms: int  # time since the latest reading

    @property
    def busiest_share(self) -> float:
        """Returns the share of the direction with the higher load."""
        return max(self.received_share, self.sent_share)


_UNKNOWN_LOAD = LinkLoad(
    received_share=0,
    sent_share=0,
    window_ms=0,
    age_ms=0,
)


@attrs.frozen(kw_only=True)
class _Reading:
    at_ms: int  # monotonic
    totals: LinkTotals


class LinkWindow:
    """Reads the bytes of the link and computes its load."""

    def __init__(
        self,
        *,
        link_bytes_per_s: int,
        read_totals: Callable[[], LinkTotals],
        clock: BaseClock,
    ) -> None:
        """Computes shares of ``link_bytes_per_s``; 0 if it is not known."""
        self._link_bytes_per_s = link_bytes_per_s
        self._read_totals = read_totals
        self._clock = clock
        self._readings: deque[_Reading] = deque()

    @property
    def link_bytes_per_s(self) -> int:
        """Returns the rate of the link in each direction; 0 if unknown."""
        return self._link_bytes_per_s

    def load(self) -> LinkLoad:
        """Reads the totals if they are old and returns the current load."""
        if not self._link_bytes_per_s:
            return _UNKNOWN_LOAD
        now_ms = self._clock.monotonic_ms()
        self._read_if_due(now_ms)
        latest = self._readings[-1]
        short = self._first_within(_SHORT_WINDOW_MS)
        window_ms = latest.at_ms - short.at_ms
        if window_ms < _SHORTEST_MS:
            return _UNKNOWN_LOAD
        longer = self._first_within(_LONG_WINDOW_MS)
        return LinkLoad(
            received_share=min(
                self._received_share(short, latest),
                self._received_share(longer, latest) * _LONG_WINDOW_FACTOR,
            ),
            sent_share=min(
                self._sent_share(short, latest),
                self._sent_share(longer, latest) * _LONG_WINDOW_FACTOR,
            ),
            window_ms=window_ms,
            age_ms=now_ms - latest.at_ms,
        )

    def _read_if_due(self, now_ms: int) -> None:
        if self._readings:
            age_ms = now_ms - self._readings[-1].at_ms
            if age_ms < _READING_INTERVAL_MS:
                return
        self._readings.append(
            _Reading(at_ms=now_ms, totals=self._read_totals()),
        )
        # The oldest reading that is kept begins the long window.
        oldest_ms = now_ms - _LONG_WINDOW_MS
        while len(self._readings) > 1 and self._readings[1].at_ms <= oldest_ms:
            self._readings.popleft()

    def _first_within(self, window_ms: int) -> _Reading:
        """Returns the latest reading that is at least as old as the window.

        Returns the oldest one if there is none.
        """
        limit_ms = self._readings[-1].at_ms - window_ms
        first = self._readings[0]
        for reading in self._readings:
            if reading.at_ms > limit_ms:
                break
            first = reading
        return first

    def _received_share(self, first: _Reading, latest: _Reading) -> float:
        added_bytes = latest.totals.received_bytes - first.totals.received_bytes
        return self._share(added_bytes, latest.at_ms - first.at_ms)

    def _sent_share(self, first: _Reading, latest: _Reading) -> float:
        added_bytes = latest.totals.sent_bytes - first.totals.sent_bytes
        return self._share(added_bytes, latest.at_ms - first.at_ms)

    def _share(self, added_bytes: int, duration_ms: int) -> float:
        link_bytes = self._link_bytes_per_s * duration_ms / _MS_PER_SECOND
        return added_bytes / link_bytes
