"""Straight lines through measured points, continued to the target."""

import attrs
import numpy

from benchmarks.rows import Slope


@attrs.frozen(kw_only=True)
class CapacityLine:
    """One cost at the target."""

    slope: Slope
    per_size: float  # cost for each further unit of size
    at_target: float
    factor: float  # size at the target over the largest size measured
    deviation_percent: float  # of the worst point from the line


def continue_line(slope: Slope) -> CapacityLine:
    """Fits a line by least squares and continues it to the target."""
    sizes = [point.size for point in slope.points]
    costs = [point.measured for point in slope.points]
    per_size, at_zero = (
        float(number) for number in numpy.polyfit(sizes, costs, 1)
    )
    largest = max(abs(cost) for cost in costs) or 1
    worst = max(
        abs(at_zero + per_size * size - cost)
        for size, cost in zip(sizes, costs, strict=True)
    )
    return CapacityLine(
        slope=slope,
        per_size=per_size,
        at_target=_measured_at_target(slope)
        or max(0, at_zero + per_size * slope.size_at_target),
        factor=slope.size_at_target / max(sizes),
        deviation_percent=100 * worst / largest,
    )


def _measured_at_target(slope: Slope) -> float | None:
    """Returns the measured cost where the target's size was measured."""
    for point in slope.points:
        if point.size == slope.size_at_target:
            return point.measured
    return None
