"""Usual times of the old version of an order, by route."""

from collections.abc import Iterable, Mapping

import attrs

# A time counts as slow if it exceeds this multiple of the average: versions
# that are rolled back for their slowness take several times as long.
_SLOW_FACTOR = 2.5
_MAX_COUNT = 20  # the latest times outweigh earlier ones after so many


@attrs.frozen(kw_only=True)
class AverageTime:
    """Mean of a number of times; a moving average after many."""

    mean_ms: float
    count: int

    def plus(self, latest_ms: float) -> 'AverageTime':
        """Returns the average with another time."""
        count = min(self.count + 1, _MAX_COUNT)
        mean_ms = self.mean_ms + (latest_ms - self.mean_ms) / count
        return AverageTime(mean_ms=mean_ms, count=count)


class ReferenceTimes:
    """Averages of this VM and of the others.

    A VM with few requests of a route has too few times of its own to tell what
    is usual.
    """

    def __init__(self, *, least_slow_ms: int) -> None:
        """Times of up to ``least_slow_ms`` never count as slow."""
        self._least_slow_ms = least_slow_ms
        self._own: dict[str, AverageTime] = {}
        self._others: dict[str, list[AverageTime]] = {}

    @property
    def own(self) -> Mapping[str, AverageTime]:
        """Returns the averages of this VM by route."""
        return self._own

    def add(self, route: str, latest_ms: float) -> None:
        """Adds a time of the old version."""
        known = self._own.get(route, AverageTime(mean_ms=0, count=0))
        self._own[route] = known.plus(latest_ms)

    def replace_others(
        self,
        averages: Iterable[Mapping[str, AverageTime]],
    ) -> None:
        """Replaces the averages of the other VMs."""
        self._others = {}
        for by_route in averages:
            for route, average in by_route.items():
                self._others.setdefault(route, []).append(average)

    def is_slow(self, route: str, time_ms: float) -> bool:
        """Returns whether a time is unusual; False if none is known."""
        known = list(self._others.get(route, ()))
        own = self._own.get(route)
        if own is not None:
            known.append(own)
        count = sum(average.count for average in known)
        if not count:
            return False
        total_ms = sum(average.mean_ms * average.count for average in known)
        limit_ms = total_ms / count * _SLOW_FACTOR
        return time_ms > max(limit_ms, self._least_slow_ms)
