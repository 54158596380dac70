"""Routing under overload, with prompt caches and with many runners.

Overload and caching are measured in virtual time with fixed seeds. The time
of a decision is compared with that at 10 runners and with a bound in
microseconds.
"""

import functools
import random
import statistics

from benchmarks.routing_load import Load, LoadOutcome, run_load
from benchmarks.routing_scale import (
    decision_us,
    message_bytes_per_second,
    pool_memory_bytes,
    renewal_cpu_ms_per_second,
    stream_cpu_us_per_token,
)
from benchmarks.rows import BenchmarkRow, BoundKind, Slope, SlopePoint
from teaseldale.routing import (
    LeastReportedChoice,
    PrefixHashChoice,
    RandomChoice,
    RoundRobinChoice,
)

_SEED = 1
_MS_PER_PERCENT = 10  # CPU time per second that is 1% of a core
_BYTES_PER_MB = 1_000_000
_CAPACITY = 86.0  # complete answers per second of six runners with 16 slots
_SLOT_COUNT = 16
_LOADS = (0.5, 1, 2, 3)
_FIRST_TOKEN_RATIO = 1.2
_GOODPUT_SHARE = 0.95
_FIRST_TOKEN_TARGET_MS = 330
_DECISION_BOUND_US = 100
_RUNNERS_AT_TARGET = 10_000
_VMS_AT_TARGET = 2700
_STREAMS_AT_TARGET = 200


def _random_choice(_zone, _index, _clock, seed):
    return RandomChoice(random_source=random.Random(seed))


def _round_robin(_zone, _index, _clock, _seed):
    return RoundRobinChoice()


def _least_reported(_zone, _index, _clock, _seed):
    return LeastReportedChoice()


def _prefix_hash(_zone, _index, _clock, _seed):
    return PrefixHashChoice()


_NAIVE = {
    'random': _random_choice,
    'round robin': _round_robin,
    'least by report': _least_reported,
}
_QUICK_NAIVE = ('round robin',)


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the rows on overload, prompt caches and decision time."""
    return [*_overload_rows(quick), *_affinity_rows(quick), *_decision_rows()]


def slopes(quick: bool) -> list[Slope]:
    """Returns the costs by the number of runners, VMs and streams."""
    runner_counts = (10, 1000, 10_000)
    vm_counts = (4, 8, 16)
    stream_counts = (50, 100, 200)
    return [
        _slope(
            'routing.decision',
            'runners',
            _RUNNERS_AT_TARGET,
            'us',
            [(count, decision_us(count)) for count in runner_counts],
        ),
        _slope(
            'routing.renewal_cpu',
            'runners',
            _RUNNERS_AT_TARGET,
            '% of a core',
            [
                (count, renewal_cpu_ms_per_second(count) / _MS_PER_PERCENT)
                for count in (10, 1000, 10_000)
            ],
        ),
        _slope(
            'routing.memory',
            'runners',
            _RUNNERS_AT_TARGET,
            'MB',
            [
                (count, pool_memory_bytes(count) / _BYTES_PER_MB)
                for count in runner_counts
            ],
        ),
        _slope(
            'routing.messages',
            'VMs',
            _VMS_AT_TARGET,
            'B/s',
            [(count, message_bytes_per_second(count)) for count in vm_counts],
        ),
        _slope(
            'answers.cpu',
            'streams',
            _STREAMS_AT_TARGET,
            'us/token',
            [
                (count, stream_cpu_us_per_token(count))
                for count in stream_counts
            ],
        ),
    ]


@functools.cache
def _overload(load_factor: float, duration_ms: int, choice: str) -> LoadOutcome:
    load = Load(
        requests_per_second=_CAPACITY * load_factor,
        duration_ms=duration_ms,
        seed=_SEED,
    )
    if not choice:
        return run_load(load)
    return run_load(load, choice=_NAIVE[choice], naive_slots=True)


def _overload_rows(quick: bool) -> list[BenchmarkRow]:
    duration_ms = 5000 if quick else 20_000
    ours = [_overload(factor, duration_ms, '') for factor in _LOADS]
    best = max(outcome.goodput for outcome in ours)
    unloaded = _overload(0.25, duration_ms, '')
    naive = {
        name: [
            _overload(factor, duration_ms, name)
            for factor in ((_LOADS[0], _LOADS[-1]) if quick else _LOADS)
        ]
        for name in (_QUICK_NAIVE if quick else _NAIVE)
    }
    best_naive = max(
        naive, key=lambda name: max(o.goodput for o in naive[name])
    )
    naive_outcomes = naive[best_naive]
    naive_share = naive_outcomes[-1].goodput / max(
        o.goodput for o in naive_outcomes
    )
    first_ms = ours[-1].first_token_p95_ms(0)
    ratio = first_ms / unloaded.first_token_p95_ms(0)
    return [
        _row(
            'routing.goodput_at_3x_share_of_best',
            'ratio',
            ours[-1].goodput / best,
            naive_share,
            best_naive,
            _GOODPUT_SHARE,
            BoundKind.AT_LEAST,
        ),
        _row(
            'routing.largest_running_at_a_runner',
            'requests',
            max(outcome.largest_running for outcome in ours),
            max(outcome.largest_running for outcome in naive_outcomes),
            best_naive,
            _SLOT_COUNT,
        ),
        _row(
            'routing.runner_crashes_at_3x',
            'crashes',
            ours[-1].crash_count,
            naive_outcomes[-1].crash_count,
            best_naive,
            0,
        ),
        _row(
            'routing.high_priority_first_token_p95_at_3x_to_unloaded',
            'ratio',
            ratio,
            naive_outcomes[-1].first_token_p95_ms(0)
            / naive_outcomes[0].first_token_p95_ms(0),
            best_naive,
            _FIRST_TOKEN_RATIO,
        ),
        _row(
            'routing.high_priority_refused_at_3x',
            'share',
            ours[-1].refused_share(0),
            naive_outcomes[-1].refused_share(0),
            best_naive,
            0,
        ),
    ]


def shared_prefixes(count: int, blocks: int, seed: int = 7) -> tuple[str, ...]:
    """Returns shared prompt prefixes; popular ones occur more often."""
    rng = random.Random(seed)
    prefixes = []
    for rank in range(count):
        prefix = ' '.join(
            f'{rng.getrandbits(28):07x}' for _ in range(8 * blocks)
        )
        prefixes += [prefix] * max(1, round(60 / (rank + 1) ** 0.8))
    return tuple(prefixes)


@functools.cache
def _run_cached_load(choice: str, duration_ms: int) -> LoadOutcome:
    load = Load(
        requests_per_second=40,
        duration_ms=duration_ms,
        prompts=shared_prefixes(36, 40),
        seed=_SEED,
    )
    options = {'runner_options': {'cache_blocks': 440}}
    choices = {'least': _least_reported, 'hash': _prefix_hash}
    if choice:
        options['choice'] = choices[choice]
    return run_load(load, **options)


def _affinity_rows(quick: bool) -> list[BenchmarkRow]:
    duration_ms = 12_000 if quick else 60_000
    ours, least, hashing = (
        _run_cached_load(choice, duration_ms)
        for choice in ('', 'least', 'hash')
    )
    return [
        _row(
            'routing.cached_prompt_share_to_least_loaded',
            'ratio',
            ours.cached_share / least.cached_share,
            1,
            'least by report',
            1,
            BoundKind.AT_LEAST,
        ),
        _row(
            'routing.cached_prompt_share',
            'share',
            ours.cached_share,
            hashing.cached_share,
            'pure hashing',
            least.cached_share,
            BoundKind.AT_LEAST,
        ),
        _row(
            'routing.first_token_p95_with_caches_to_least_loaded',
            'ratio',
            ours.first_token_p95_ms() / least.first_token_p95_ms(),
            1,
            'least by report',
            1,
        ),
        _row(
            'routing.first_token_p95_with_caches_to_hashing',
            'ratio',
            ours.first_token_p95_ms() / hashing.first_token_p95_ms(),
            1,
            'pure hashing',
            1,
        ),
    ]


def _decision_rows() -> list[BenchmarkRow]:
    many = statistics.median(decision_us(10_000) for _ in range(3))
    few = statistics.median(decision_us(10) for _ in range(3))
    naive = decision_us(10_000, LeastReportedChoice())
    return [
        _row(
            'routing.decision_at_10000_runners_median',
            'us',
            many,
            naive,
            'least by report, by a scan',
            _DECISION_BOUND_US,
            deterministic=False,
        ),
        _row(
            'routing.decision_at_10000_to_10_runners',
            'ratio',
            many / few,
            naive / few,
            'least by report, by a scan',
            2,
            deterministic=False,
        ),
    ]


def _row(
    name: str,
    unit: str,
    ours: float,
    naive: float,
    naive_name: str,
    bound: float,
    bound_kind: BoundKind = BoundKind.AT_MOST,
    *,
    deterministic: bool = True,
) -> BenchmarkRow:
    return BenchmarkRow(
        name=name,
        unit=unit,
        ours=round(ours, 3),
        naive=round(naive, 3),
        naive_name=naive_name,
        bound=bound,
        bound_kind=bound_kind,
        deterministic=deterministic,
        seed=_SEED,
    )


def _slope(name, size_name, size_at_target, unit, points) -> Slope:
    return Slope(
        name=name,
        role='entry VM',
        size_name=size_name,
        size_at_target=size_at_target,
        unit=unit,
        points=tuple(
            SlopePoint(size=size, measured=round(measured, 3))
            for size, measured in points
        ),
    )
