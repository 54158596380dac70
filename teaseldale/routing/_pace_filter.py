"""Mean of the recent samples of a duration that outliers hardly move."""

import math
import statistics

import attrs

_FIRST_SAMPLES = 3  # their median is the first value
# Weight of the past after a long silence, so that one sample moves the value
# by a third of its distance at most.
_MIN_WEIGHT = 2.0
# Largest distance of a sample that counts, as a factor: Huber's function, as in
# robust exponential smoothing (Gelper, Fried and Croux 2010).
_MAX_STEP = math.log(1.5)
# Samples beyond that factor on one side for so long are a change of pace and
# not outliers, and count in full. Of the samples before only the first counts:
# the answers that a stall has held up come together.
_CHANGE_MS = 400
_CHANGE_SAMPLES = 3


@attrs.define(kw_only=True)
class PaceFilter:
    """Exponentially weighted mean of the logarithms of positive samples."""

    time_constant_ms: float
    noted_ms: int | None = None  # monotonic, of the latest sample
    filtered: float | None = None  # the mean, once there are enough samples
    _first: list[float] = attrs.field(factory=list, init=False)
    _log_value: float | None = attrs.field(default=None, init=False)
    _weight: float = attrs.field(default=0, init=False)
    _distant_count: int = attrs.field(default=0, init=False)
    _distant_since_ms: int = attrs.field(default=0, init=False)
    _is_distant_above: bool = attrs.field(default=False, init=False)

    @property
    def weight(self) -> float:
        """Returns the weight of the samples in the mean, at the latest one."""
        return self._weight

    def distance(self, sample: float) -> float:
        """Returns the absolute logarithm of sample and mean; 0 if unknown."""
        if self._log_value is None:
            return 0
        return abs(math.log(sample) - self._log_value)

    def note(self, sample: float, now_ms: int, weight: float = 1) -> None:
        """Adds a positive sample at a monotonic time."""
        log_sample = math.log(sample)
        silence_ms = 0 if self.noted_ms is None else now_ms - self.noted_ms
        self.noted_ms = now_ms
        if self._log_value is None:
            self._begin(log_sample, weight)
            return
        decayed = self._weight * math.exp(-silence_ms / self.time_constant_ms)
        self._weight = max(decayed, _MIN_WEIGHT)
        step = self._counted_step(log_sample - self._log_value, now_ms)
        if step is not None:
            self._weight += weight
            self._log_value += step * weight / self._weight
            self.filtered = math.exp(self._log_value)

    def _begin(self, log_sample: float, weight: float) -> None:
        self._first.append(log_sample)
        self._weight += weight
        if len(self._first) == _FIRST_SAMPLES:
            self._log_value = statistics.median(self._first)
            self.filtered = math.exp(self._log_value)

    def _counted_step(self, distance: float, now_ms: int) -> float | None:
        """Returns the part of a distance that counts, or None."""
        if abs(distance) <= _MAX_STEP:
            self._distant_count = 0
            return distance
        is_above = distance > 0
        if not self._distant_count or is_above != self._is_distant_above:
            self._distant_count = 1
            self._distant_since_ms = now_ms
            self._is_distant_above = is_above
            return math.copysign(_MAX_STEP, distance)
        self._distant_count += 1
        has_lasted = now_ms - self._distant_since_ms >= _CHANGE_MS
        if has_lasted and self._distant_count >= _CHANGE_SAMPLES:
            return distance
        return None
