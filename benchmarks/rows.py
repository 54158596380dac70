"""Results of a measurement: rows with bounds, and slopes.

Each module ``benchmarks/measure_<name>.py`` defines a function
``rows(quick: bool) -> list[BenchmarkRow]`` and optionally a function
``slopes(quick: bool) -> list[Slope]``.
"""

import enum

import attrs


@enum.unique
class BoundKind(enum.StrEnum):
    """Direction in which a figure is compared with its bound."""

    AT_MOST = 'at_most'
    AT_LEAST = 'at_least'


@attrs.frozen(kw_only=True)
class BenchmarkRow:
    """One measured figure, with that of the naive version."""

    name: str  # such as "spending.false_refusals"
    unit: str
    ours: float
    naive: float | None  # None where there is no naive version
    naive_name: str = ''
    bound: float  # from the stated target
    bound_kind: BoundKind = BoundKind.AT_MOST
    deterministic: bool  # identical on every run, so CI checks it
    seed: int | None = None

    @property
    def held(self) -> bool:
        """Whether the figure meets its bound."""
        if self.bound_kind is BoundKind.AT_MOST:
            return self.ours <= self.bound
        return self.ours >= self.bound


@attrs.frozen(kw_only=True)
class SlopePoint:
    """Cost measured at one size."""

    size: float
    measured: float


@attrs.frozen(kw_only=True)
class Slope:
    """Growth of a cost with a size, measured at three or more points."""

    name: str  # such as "spending.table_writes_per_second"
    role: str  # entry VM, group holder, steering VM, table reader
    size_name: str  # such as "budgets"
    size_at_target: float
    unit: str  # of the measured cost
    points: tuple[SlopePoint, ...]
