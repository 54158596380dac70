"""When callers that are refused are to return, spread over time."""

import math
import random
from collections import OrderedDict, deque

_MIN_RETURN_MS = 20
# Callers honour a Retry-After up to a third of their remaining time.
_HONOURED_SHARE = 1 / 3
# Part of the starts that is promised to returning callers; the rest is left to
# new ones, so that returns do not pile up.
_RETURN_SHARE = 0.5
_EARLY_MS = 10  # by which a caller may return before its time
_RETURN_LIFETIME_MS = 100  # by which it may return after its time
_MAX_FLOWS = 1000
_SPREAD = 1.5
_PRESSURE_MS = 500  # time constant of the rate of refusals


class ReturnSchedule:
    """Assigns return times to refused callers and recognises their return."""

    def __init__(self, *, random_source: random.Random) -> None:
        """Draws return times from ``random_source`` once all are taken."""
        self._random = random_source
        self._last_ms: float = 0  # return time assigned last
        self._refused: float = 0  # decaying count of callers without a time
        self._refused_ms: float = 0
        # Return times by account and route.
        self._expected: OrderedDict[tuple[str, str], deque[float]] = (
            OrderedDict()
        )

    def assign_ms(
        self,
        flow: tuple[str, str],
        *,
        now_ms: float,
        left_ms: float,
        useful_ms: float,
        interval_ms: float,
    ) -> float:
        """Returns the time from now at which a caller is to return.

        ``interval_ms`` is the time in which a slot is free. A caller for which
        one is expected within ``useful_ms`` is expected then, and precedes new
        ones. The others return when the requests that were refused lately would
        have been served, at random around that time, and count as new ones.
        Callers that would have to wait longer than they honour do not return,
        so they do not take the slots of callers that are still in time.
        """
        earliest_ms = now_ms + _MIN_RETURN_MS
        at_ms = max(earliest_ms, self._last_ms + interval_ms / _RETURN_SHARE)
        honoured_ms = left_ms * _HONOURED_SHARE
        if at_ms - now_ms > min(useful_ms, honoured_ms):
            return self._late_return_ms(now_ms, useful_ms, interval_ms)
        self._last_ms = at_ms
        self._expected.setdefault(flow, deque()).append(at_ms)
        self._expected.move_to_end(flow)
        while len(self._expected) > _MAX_FLOWS:
            self._expected.popitem(last=False)
        return at_ms - now_ms

    def take_return(self, flow: tuple[str, str], now_ms: float) -> bool:
        """Returns whether a caller of the account and route was expected."""
        times = self._expected.get(flow)
        while times and times[0] < now_ms - _RETURN_LIFETIME_MS:
            times.popleft()
        if not times:
            self._expected.pop(flow, None)
            return False
        if times[0] > now_ms + _EARLY_MS:
            return False
        times.popleft()
        return True

    def _late_return_ms(
        self,
        now_ms: float,
        useful_ms: float,
        interval_ms: float,
    ) -> float:
        kept_share = math.exp((self._refused_ms - now_ms) / _PRESSURE_MS)
        self._refused = self._refused * kept_share + 1
        self._refused_ms = now_ms
        backlog_ms = max(useful_ms, _MIN_RETURN_MS)
        backlog_ms += self._refused * interval_ms
        return backlog_ms * self._random.uniform(1, _SPREAD)
