"""Which kinds of request have precedence at the runners of one service.

A kind is a route at one rank. VMs do not know what waits at other VMs, so ranks
alone do not order the requests of different VMs. The runners are what all VMs
see: as in trunk reservation, a less urgent kind leaves a part of them to the
more urgent ones. A kind that is served far less often than all is exempt, so
that it is delayed but not excluded.
"""

import math

import attrs

from teaseldale.routing._overload_request import OverloadRequest

_TIME_CONSTANT_MS = 5000
# A kind without requests for this time reserves nothing.
_ACTIVE_MS = 2000
# A kind has precedence below this part of the share of requests that start. A
# quarter is guaranteed; the rest allows for the error of a VM's small sample.
_BEHIND_SHARE = 0.45
_MIN_OFFERED = 2.0  # decaying count below which a share is not meaningful

_KindKey = tuple[int, str]  # rank and route


@attrs.define(kw_only=True)
class _Counts:
    offered: float = 0
    started: float = 0
    goal_ms: float = 0
    noted_ms: float = 0

    def decay(self, now_ms: float) -> None:
        kept = math.exp((self.noted_ms - now_ms) / _TIME_CONSTANT_MS)
        self.offered *= kept
        self.started *= kept
        self.noted_ms = now_ms

    @property
    def started_share(self) -> float:
        return self.started / max(self.offered, 1)


class KindShares:
    """Offered and started requests of each kind, as seen by one VM."""

    def __init__(self) -> None:
        """Starts without kinds."""
        self._kinds: dict[_KindKey, _Counts] = {}
        self._offered_ms: dict[_KindKey, float] = {}

    def note_offered(self, request: OverloadRequest, now_ms: float) -> None:
        """Counts a request that arrives."""
        key = _kind_of(request)
        counts = self._kinds.setdefault(key, _Counts(noted_ms=now_ms))
        counts.decay(now_ms)
        counts.offered += 1
        counts.goal_ms = request.goal_ms
        self._offered_ms[key] = now_ms
        self._remove_idle(now_ms)

    def note_started(self, request: OverloadRequest, now_ms: float) -> None:
        """Counts a request that starts."""
        counts = self._kinds.get(_kind_of(request))
        if counts is not None:
            counts.decay(now_ms)
            counts.started += 1

    def is_behind(self, request: OverloadRequest, now_ms: float) -> bool:
        """Returns whether a kind is served far less often than all."""
        own = self._kinds.get(_kind_of(request))
        if own is None or len(self._kinds) < 2:
            return False
        for known in self._kinds.values():
            known.decay(now_ms)
        if own.offered < _MIN_OFFERED:
            return False
        offered = sum(counts.offered for counts in self._kinds.values())
        started = sum(counts.started for counts in self._kinds.values())
        return own.started_share < _BEHIND_SHARE * started / offered

    def urgency(self, rank: int) -> float:
        """Returns 1 for the most urgent rank, and less for each further one."""
        ranks = sorted({other for other, _ in self._kinds} | {rank})
        return 1 - ranks.index(rank) / len(ranks)

    def shortest_goal_ms(self, request: OverloadRequest) -> float:
        """Returns the shortest goal of the kinds."""
        goals_ms = [counts.goal_ms for counts in self._kinds.values()]
        return min([request.goal_ms, *goals_ms])

    def _remove_idle(self, now_ms: float) -> None:
        for key, offered_ms in tuple(self._offered_ms.items()):
            if now_ms - offered_ms > _ACTIVE_MS:
                self._offered_ms.pop(key)
                self._kinds.pop(key)


def _kind_of(request: OverloadRequest) -> _KindKey:
    return request.rank, request.route
