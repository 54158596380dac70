"""Version moves on a seeded workload, compared with two naive policies."""

import statistics
from collections.abc import Callable

from benchmarks.move_workload import (
    Case,
    Result,
    exposures,
    make_cases,
    run_case,
    run_naive,
)
from benchmarks.rows import BenchmarkRow, BoundKind, Slope, SlopePoint
from teaseldale.moves import (
    BaseMovePolicy,
    FixedThresholdPolicy,
    MoveAction,
    SequentialPolicy,
    TimedRampPolicy,
)

_SEED = 1
_CASES = 200
_NAIVE_CASES_QUICK = 50
_LOW_TRAFFIC_CASES = 40
_LARGEST_SHARE_PERCENT = 5
_Run = Callable[[Case, Callable[[], BaseMovePolicy]], Result]


def rows(quick: bool) -> list[BenchmarkRow]:
    """Measures 200 moves; if quick, naive policies run on a subset."""
    cases = make_cases(_CASES, _SEED, low_traffic=False)
    naive_cases = cases[:_NAIVE_CASES_QUICK] if quick else cases
    ours = [run_case(case, SequentialPolicy) for case in cases]
    ramp = [run_naive(case, TimedRampPolicy) for case in naive_cases]
    fixed = [run_naive(case, FixedThresholdPolicy) for case in naive_cases]
    return [
        *_compare('timed ramp', ours, ramp),
        *_compare('fixed threshold', ours, fixed),
        *_low_traffic(),
    ]


def slopes(quick: bool) -> list[Slope]:
    """Returns the duration of a move by the request rate of its route."""
    points = []
    for rate in (10, 20, 40):
        cases = make_cases(20, _SEED, low_traffic=False, rate=rate)
        good = [case for case in cases if not case.bad and not case.cut_zone]
        results = [run_case(case, SequentialPolicy) for case in good]
        ended = [result.ended_second for result in results]
        points.append(
            SlopePoint(size=rate, measured=statistics.median(ended)),
        )
    return [
        Slope(
            name='moves.seconds_to_move',
            role='steering VM',
            size_name='requests a second on the route',
            size_at_target=110_000 / 4,
            unit='s',
            points=tuple(points),
        ),
    ]


def percent_with_outcome(
    results: list[Result], action: MoveAction, *, bad: bool
) -> float:
    """Returns the percentage of good or bad moves that ended in ``action``."""
    chosen = [result for result in results if result.case.bad is bad]
    ended = sum(result.outcome is action for result in chosen)
    return 100 * ended / len(chosen)


def _compare(
    naive_name: str,
    ours: list[Result],
    naive: list[Result],
) -> list[BenchmarkRow]:
    finish, take_back = MoveAction.FINISH, MoveAction.TAKE_BACK
    at_least = BoundKind.AT_LEAST
    measures = (
        (
            'good_moved',
            99,
            at_least,
            lambda r: percent_with_outcome(r, finish, bad=False),
        ),
        (
            'bad_taken_back',
            99,
            at_least,
            lambda r: percent_with_outcome(r, take_back, bad=True),
        ),
        (
            'good_taken_back',
            1,
            BoundKind.AT_MOST,
            lambda r: percent_with_outcome(r, take_back, bad=False),
        ),
        (
            'bad_reached_median',
            1,
            BoundKind.AT_MOST,
            lambda r: statistics.median(exposures(r)),
        ),
        (
            'bad_reached_largest',
            _LARGEST_SHARE_PERCENT,
            BoundKind.AT_MOST,
            lambda r: max(exposures(r)),
        ),
        (
            'requests_later_than_5_s',
            0,
            BoundKind.AT_MOST,
            lambda r: sum(result.late_after_take_back for result in r),
        ),
    )
    suffix = naive_name.replace(' ', '_')
    return [
        BenchmarkRow(
            name=f'moves.{name}.against_{suffix}',
            unit='requests' if name.endswith('_s') else '%',
            ours=measure(ours),
            naive=measure(naive),
            naive_name=naive_name,
            bound=bound,
            bound_kind=kind,
            deterministic=True,
            seed=_SEED,
        )
        for name, bound, kind, measure in measures
    ]


def _low_traffic() -> list[BenchmarkRow]:
    cases = make_cases(_LOW_TRAFFIC_CASES, _SEED, low_traffic=True)
    results = [run_case(case, SequentialPolicy) for case in cases]
    finished = percent_with_outcome(results, MoveAction.FINISH, bad=True)
    return [
        BenchmarkRow(
            name='moves.low_traffic.bad_finished',
            unit='%',
            ours=finished,
            naive=None,
            bound=1,
            deterministic=True,
            seed=_SEED,
        ),
        BenchmarkRow(
            name='moves.low_traffic.bad_reached_largest',
            unit='%',
            ours=max(exposures(results)),
            naive=None,
            bound=_LARGEST_SHARE_PERCENT,
            deterministic=True,
            seed=_SEED,
        ),
    ]
