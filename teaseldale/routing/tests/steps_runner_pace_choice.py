"""Steps of the choice of modelled runners that differ in pace."""

import heapq
import itertools
import random
import statistics

import anyio
import attrs
from behave import given, then, when

from teaseldale.clock import BaseClock
from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.routing import BacklogChoice, PlannedWork, RunnerPaces
from teaseldale.routing.tests.modelled_engine import (
    PacedRunner,
    steady_arrivals,
)

_SLOTS = 32
_EVEN_PACES = (30, 30, 30, 30, 30, 30)
_UNEVEN_PACES = (15, 15, 30, 30, 60, 60)
_PER_SECOND = 35
_WARM_UP_MS = 5000  # within which the estimates must have converged
_SEEDS = 5
_CHANGE_MS = (12_000, 20_000)  # the paces change, and change back
_SETTLE_MS = 5000
_MIN_TOKENS = 300


@attrs.define(kw_only=True)
class _ManualClock(BaseClock):
    now_ms: int = 0

    def monotonic_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms


class _NoPaces(RunnerPaces):
    """Learns nothing, as the choice did before."""

    def note_first_event(self, *_):
        """Ignores the sample."""


class _Placement:
    """Places prompts on modelled runners by one of the compared rules."""

    def __init__(self, kind, paces, seed):
        self.kind = kind
        self.clock = _ManualClock()
        learned = _NoPaces if kind == 'without' else RunnerPaces
        self.choice = BacklogChoice(
            clock=self.clock,
            random_source=random.Random(seed),
            paces=learned(clock=self.clock),
        )
        self.runners = {
            f'i-{number}': PacedRunner(
                tokens_per_ms=pace,
                slots=_SLOTS,
                knee=_SLOTS / 2,
            )
            for number, pace in enumerate(paces)
        }
        self.backlogs = tuple(
            self.choice.backlog(name, _SLOTS) for name in self.runners
        )
        self.pending = []  # heap of callbacks with their times
        self.order = itertools.count()

    def advance(self, now_ms):
        """Calls what is due until a time."""
        while self.pending and self.pending[0][0] <= now_ms:
            due_ms, _, callback = heapq.heappop(self.pending)
            self.clock.now_ms = int(due_ms)
            callback()
        self.clock.now_ms = int(now_ms)

    def place(self, now_ms, tokens):
        """Places a prompt and returns the time to its first event."""
        self.advance(now_ms)
        work = PlannedWork(prompt_tokens=tokens)
        name = self.select(now_ms, tokens, work)
        runner = self.runners[name]
        backlog = self.choice.find_backlog(name)
        placed = self.choice.place(work, backlog)
        in_work = backlog.load_count(int(now_ms))
        first_ms = runner.add(now_ms, tokens)
        unread_tokens = backlog.unread_tokens

        def note_first():
            self.choice.mark_prefilled(placed)
            self.choice.paces.note_first_event(
                name,
                unread_tokens,
                first_ms - now_ms,
                in_work,
            )

        self.call_at(first_ms, note_first)
        self.call_at(
            runner.ends_ms[-1],
            lambda: self.choice.mark_completed(placed),
        )
        return first_ms - now_ms

    def call_at(self, due_ms, callback):
        """Schedules a callback."""
        heapq.heappush(self.pending, (due_ms, next(self.order), callback))

    def select(self, now_ms, tokens, work):
        """Returns the name of a runner."""
        if self.kind == 'true':
            return min(
                self.runners,
                key=lambda name: self.runners[name].first_event_at(
                    now_ms,
                    tokens,
                ),
            )
        if self.kind == 'least in flight':
            return min(
                self.runners,
                key=lambda name: self.runners[name].in_work(now_ms),
            )
        return self.choice.choose(work, self.backlogs).runner


def pace_factor(now_ms):
    """Returns the factor of the changing paces, a ramp of one second."""
    begin_ms, back_ms = _CHANGE_MS
    up = min(1, max(0, (now_ms - begin_ms) / 1000))
    down = min(1, max(0, (now_ms - back_ms) / 1000))
    return 3 ** (up - down)


def is_settled(now_ms, *, changes):
    """Returns whether the paces had 5 s to converge."""
    starts = (0, *_CHANGE_MS) if changes else (0,)
    return not any(
        start_ms <= now_ms < start_ms + _SETTLE_MS for start_ms in starts
    )


def run(kind, paces, seconds, seed, *, changes):
    """Returns the times to the first event and the requests by runner."""
    placement = _Placement(kind, paces, seed)
    durations_ms = []
    for now_ms, tokens in steady_arrivals(seconds * 1000, seed, _PER_SECOND):
        if changes:
            # A fast runner becomes slow and a slow one fast.
            factor = pace_factor(now_ms)
            placement.runners['i-5'].tokens_per_ms = paces[5] / factor
            placement.runners['i-0'].tokens_per_ms = paces[0] * factor
        duration_ms = placement.place(now_ms, max(tokens, _MIN_TOKENS))
        if is_settled(now_ms, changes=changes):
            durations_ms.append(duration_ms)
    counts = [runner.request_count for runner in placement.runners.values()]
    return durations_ms, counts


def compare(context, paces, seconds, *, changes=False):
    """Measures the 95th percentile of all rules with the same arrivals."""
    context.p95_ms = {}
    for kind in ('learned', 'true', 'least in flight', 'without'):
        durations_ms = []
        for seed in range(_SEEDS):
            found_ms, counts = run(kind, paces, seconds, seed, changes=changes)
            durations_ms += found_ms
            if kind == 'learned':
                context.counts = counts
        context.p95_ms[kind] = statistics.quantiles(durations_ms, n=20)[-1]
    print(context.scenario.name, context.p95_ms, context.counts)


@when('{seconds:d} s of prompts are placed on 6 runners of equal pace')
def equal_paces(context, seconds):
    compare(context, _EVEN_PACES, seconds)


@when('{seconds:d} s of prompts are placed on 6 runners of paces 1:2:4')
def uneven_paces(context, seconds):
    compare(context, _UNEVEN_PACES, seconds)


@when(
    '{seconds:d} s of prompts are placed on 6 runners of paces 1:2:4 that '
    'change',
)
def changing_paces(context, seconds):
    compare(context, _UNEVEN_PACES, seconds, changes=True)


@then(
    'the 95th percentile with learned paces is at most {factor:g} times that '
    'with the true ones',
)
def near_true(context, factor):
    p95_ms = context.p95_ms
    assert p95_ms['learned'] <= factor * p95_ms['true'], p95_ms


@then(
    'the 95th percentile with learned paces is at most {factor:g} times that '
    'of the choice without',
)
def near_without(context, factor):
    p95_ms = context.p95_ms
    assert p95_ms['learned'] <= factor * p95_ms['without'], p95_ms


@then('no runner is starved')
def none_starved(context):
    assert min(context.counts) >= sum(context.counts) / 50, context.counts


@given(
    'a runner that takes {fast_ms:d} ms up to {knee:d} requests and one that '
    'takes {slow_ms:d} ms',
)
def two_plain_runners(context, fast_ms, knee, slow_ms):
    clock = _ManualClock()
    context.choice = BacklogChoice(clock=clock, random_source=random.Random(1))
    context.backlogs = tuple(
        context.choice.backlog(name, 6) for name in ('fast', 'slow')
    )
    for number in range(100):
        clock.now_ms += 20
        in_work = number % 6 + 1
        stretch = max(1, in_work / knee)
        for name, plain_ms in (('fast', fast_ms), ('slow', slow_ms)):
            context.choice.paces.note_plain_answer(
                name,
                plain_ms * stretch,
                in_work,
            )


@when('{count:d} plain requests are placed and keep running')
def place_plain(context, count):
    work = PlannedWork()
    context.names = []
    for _ in range(count):
        backlog = context.choice.choose(work, context.backlogs)
        context.choice.place(work, backlog)
        context.names.append(backlog.runner)


@then('the faster runner has all of them')
def faster_has_all(context):
    assert set(context.names) == {'fast'}, context.names


@given(
    'a choice that needs reports, and runners of which one is measured as slow'
)
def choice_with_reports(context):
    context.paces = RunnerPaces(clock=VirtualClock(), needs_reports=True)
    context.measured_ms = {'i-0': 20, 'i-1': 20, 'i-2': 200}


@when('{count} of the runners reports how long work takes')
def report_slowdowns(context, count):
    async def measure():
        for _ in range(20):
            for runner, elapsed_ms in context.measured_ms.items():
                context.paces.note_plain_answer(runner, elapsed_ms, 1)
            await anyio.sleep(0.1)
        if count == 'one':
            context.paces.note_slowdown('i-0', 1)
        context.durations = context.paces.relative_durations(
            context.measured_ms,
            has_prompt=False,
        )

    run_in_virtual_time(measure)


@then('the paces of the runners {effect}')
def paces_count(context, effect):
    is_slower = context.durations['i-2'] > 1
    assert is_slower is (effect == 'count'), context.durations
