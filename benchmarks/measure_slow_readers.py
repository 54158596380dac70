"""Memory and token gaps of a VM process with slow and normal readers."""

import sys

from benchmarks.rows import BenchmarkRow, BoundKind
from benchmarks.slow_readers import SlowReadersOutcome, measure

_SLOW_READERS = 2000
_QUICK_SLOW_READERS = 200
_SETTLE_SECONDS = 25
_QUICK_SETTLE_SECONDS = 5
_MEMORY_BOUND_MB = 256
_GAP_BOUND = 1.2
_MEGABYTE = 1_000_000
_NAIVE = (sys.executable, '-m', 'benchmarks.naive_answers')


def rows(quick: bool) -> list[BenchmarkRow]:
    """Measures the program, and a version that buffers whole answers."""
    count = _QUICK_SLOW_READERS if quick else _SLOW_READERS
    settle = _QUICK_SETTLE_SECONDS if quick else _SETTLE_SECONDS
    ours = measure(count, settle_seconds=settle)
    naive = None
    if not quick:
        naive = measure(count, settle_seconds=settle, program=_NAIVE)
    return [
        _row(
            f'answers.resident_memory_with_{count}_slow_readers',
            'MB',
            ours.resident_bytes / _MEGABYTE,
            naive and naive.resident_bytes / _MEGABYTE,
            _MEMORY_BOUND_MB,
        ),
        _row(
            'answers.gap_p95_of_normal_readers_to_that_without_slow_ones',
            'ratio',
            _ratio(ours),
            naive and _ratio(naive),
            _GAP_BOUND,
        ),
        BenchmarkRow(
            name='answers.slow_readers_connected_at_the_end',
            unit='readers',
            ours=ours.slow_readers,
            naive=naive and naive.slow_readers,
            naive_name='whole answers buffered',
            bound=count,
            bound_kind=BoundKind.AT_LEAST,
            deterministic=False,
        ),
    ]


def _ratio(outcome: SlowReadersOutcome) -> float:
    return outcome.gap_p95_ms / outcome.baseline_gap_p95_ms


def _row(
    name: str,
    unit: str,
    ours: float,
    naive: float | None,
    bound: float,
) -> BenchmarkRow:
    return BenchmarkRow(
        name=name,
        unit=unit,
        ours=round(ours, 2),
        naive=naive and round(naive, 2),
        naive_name='whole answers buffered',
        bound=bound,
        deterministic=False,
    )
