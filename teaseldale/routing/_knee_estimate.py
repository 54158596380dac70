"""Number of requests in work beyond which a runner's latency grows.

The gradient of concurrency limits, ``limit * unloaded time / loaded time``
(Netflix concurrency-limits, 2018), follows from Little's law: beyond the knee
the throughput is constant, so the time grows with the requests in work.
"""

import math

import attrs

from teaseldale.routing._pace_filter import PaceFilter

# Time constant of the mean number in work that divides samples into those of
# light and of heavy load.
_SPLIT_TIME_CONSTANT_MS = 5000
_SIDE_TIME_CONSTANT_MS = 1500
_KNEE_TIME_CONSTANT_MS = 1000
_SIDE_VALID_MS = 3000  # both sides must have samples as recent as this
# Smaller differences of the loads or times of both sides say nothing.
_MIN_LOAD_RATIO = 1.3
_TOLERANCE = 1.25
# Latency that grows this much faster than the load is a stall, not a knee.
_MAX_EXCESS = 1.5
# An estimate without further evidence is given up with this time constant.
_FORGET_MS = 30_000
_GROWTH = 1.1  # of the heavy load, if it is no slower than the light one


@attrs.define(kw_only=True)
class _Side:
    """Samples on one side of the mean number in work."""

    duration: PaceFilter = attrs.field(
        factory=lambda: PaceFilter(time_constant_ms=_SIDE_TIME_CONSTANT_MS),
    )
    load: PaceFilter = attrs.field(
        factory=lambda: PaceFilter(time_constant_ms=_SIDE_TIME_CONSTANT_MS),
    )

    def note(self, duration: float, in_work: int, now_ms: int) -> None:
        self.duration.note(duration, now_ms)
        self.load.note(in_work, now_ms)

    def recent(self, now_ms: int) -> tuple[float, float] | None:
        """Returns duration and requests in work, or None."""
        noted_ms = self.duration.noted_ms
        duration = self.duration.filtered
        load = self.load.filtered
        if noted_ms is None or duration is None or load is None:
            return None
        if now_ms - noted_ms > _SIDE_VALID_MS:
            return None
        return duration, load


@attrs.define(kw_only=True)
class KneeEstimate:
    """Estimate of one runner's knee; infinite until latency has grown."""

    knee: float = math.inf
    _light: _Side = attrs.field(factory=_Side, init=False)
    _heavy: _Side = attrs.field(factory=_Side, init=False)
    _mean_load: float = attrs.field(default=0, init=False)
    _noted_ms: int | None = attrs.field(default=None, init=False)

    def stretch(self, in_work: float) -> float:
        """Returns by which factor work takes longer than below the knee."""
        return max(1, in_work / self.knee)

    def note(self, duration: float, in_work: int, now_ms: int) -> None:
        """Adds a duration with the requests in work, its own included."""
        silence_ms = 0
        if self._noted_ms is None:
            self._mean_load = in_work
        else:
            silence_ms = now_ms - self._noted_ms
        self._noted_ms = now_ms
        gain = _gain(silence_ms, _SPLIT_TIME_CONSTANT_MS)
        self._mean_load += gain * (in_work - self._mean_load)
        side = self._heavy if in_work > self._mean_load else self._light
        side.note(duration, in_work, now_ms)
        target = self._find_target(now_ms)
        if target is None:
            self.knee *= math.exp(min(silence_ms / _FORGET_MS, 1))
        else:
            self._approach(target, _gain(silence_ms, _KNEE_TIME_CONSTANT_MS))

    def _find_target(self, now_ms: int) -> float | None:
        """Returns the knee that the recent samples show, or None."""
        light = self._light.recent(now_ms)
        heavy = self._heavy.recent(now_ms)
        if light is None or heavy is None:
            return None
        light_duration, light_load = light
        heavy_duration, heavy_load = heavy
        load_ratio = heavy_load / light_load
        duration_ratio = heavy_duration / light_duration
        if load_ratio < _MIN_LOAD_RATIO:
            return None
        if duration_ratio > load_ratio * _MAX_EXCESS:
            return None
        if duration_ratio < _TOLERANCE:
            # The knee is not below the heavy load.
            return max(self.knee, heavy_load * _GROWTH)
        return max(1, heavy_load / duration_ratio)

    def _approach(self, target: float, gain: float) -> None:
        if math.isinf(target) or math.isinf(self.knee):
            self.knee = target
            return
        self.knee *= (target / self.knee) ** gain


def _gain(silence_ms: int, time_constant_ms: float) -> float:
    return 1 - math.exp(-silence_ms / time_constant_ms)
