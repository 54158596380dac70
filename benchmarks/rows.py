"""What a measurement gives: rows with bounds, and slopes.

Each module ``benchmarks/measure_<name>.py`` has a function
``rows(quick: bool) -> list[BenchmarkRow]`` and may have a function
``slopes(quick: bool) -> list[Slope]``.
"""

import enum

import attrs


@enum.unique
class BoundKind(enum.StrEnum):
    """How a figure is compared with its bound."""

    AT_MOST = 'at_most'
    AT_LEAST = 'at_least'


@attrs.frozen(kw_only=True)
class BenchmarkRow:
    """One measure, ours beside the naive version."""

    name: str  # such as "spending.false_refusals"
    unit: str
    ours: float
    naive: float | None  # None where there is no naive version
    naive_name: str = ''
    bound: float  # from the stated target
    bound_kind: BoundKind = BoundKind.AT_MOST
    deterministic: bool  # the same on every run, so that CI checks it
    seed: int | None = None

    @property
    def held(self) -> bool:
        """Whether our figure keeps the bound."""
        if self.bound_kind is BoundKind.AT_MOST:
            return self.ours <= self.bound
        return self.ours >= self.bound


@attrs.frozen(kw_only=True)
class SlopePoint:
    """One measured point."""

    size: float
    measured: float


@attrs.frozen(kw_only=True)
class Slope:
    """How a cost grows with a size; at least three points."""

    name: str  # such as "spending.table_writes_per_second"
    role: str  # entry VM, group holder, steering VM, table reader
    size_name: str  # such as "budgets"
    size_at_target: float
    unit: str  # of the measured cost
    points: tuple[SlopePoint, ...]
