"""Linear fits through measured points, extrapolated to the target size."""

import attrs
import numpy

from benchmarks.rows import Slope


@attrs.frozen(kw_only=True)
class CapacityLine:
    """One cost, extrapolated to the target size."""

    slope: Slope
    per_size: float  # cost of each additional unit of size
    at_target: float
    factor: float  # target size over the largest measured size
    deviation_percent: float  # largest residual over the largest cost


def extrapolate(slope: Slope) -> CapacityLine:
    """Fits a line by least squares and extrapolates it to the target size.

    A cost that was measured at the target size takes precedence.
    """
    sizes = [point.size for point in slope.points]
    costs = [point.measured for point in slope.points]
    per_size, intercept = (
        float(number) for number in numpy.polyfit(sizes, costs, 1)
    )
    largest_cost = max(abs(cost) for cost in costs) or 1
    largest_residual = max(
        abs(intercept + per_size * size - cost)
        for size, cost in zip(sizes, costs, strict=True)
    )
    return CapacityLine(
        slope=slope,
        per_size=per_size,
        at_target=_measured_at_target(slope)
        or max(0, intercept + per_size * slope.size_at_target),
        factor=slope.size_at_target / max(sizes),
        deviation_percent=100 * largest_residual / largest_cost,
    )


def _measured_at_target(slope: Slope) -> float | None:
    """Returns the cost measured at the target size, if there is one."""
    for point in slope.points:
        if point.size == slope.size_at_target:
            return point.measured
    return None
