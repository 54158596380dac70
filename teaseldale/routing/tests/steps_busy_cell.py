"""Steps for a VM with more prompts than the runners of its cell can read."""

import heapq
import itertools
import random

import attrs
from behave import given, then, when

from teaseldale.routing import BacklogChoice, CellChoice, PlannedWork
from teaseldale.routing.tests.modelled_engine import (
    ModelledRunner,
    steady_arrivals,
)

_SLOTS = 32
_RUNNERS = 45
_CELL_RUNNERS = 6
_REPORT_LAG_MS = 100


@attrs.define(kw_only=True)
class _ManualClock:
    now_ms: int = 10_000

    def monotonic_ms(self):
        return self.now_ms


class _Run:
    """Places the prompts of one VM; those of others go to other runners."""

    def __init__(self, *, per_second, own_share, beyond_cell):
        self.per_second = per_second
        self.own_share = own_share
        self.beyond_cell = beyond_cell
        self.clock = _ManualClock()
        self.random = random.Random(3)
        self.choice = BacklogChoice(
            clock=self.clock,
            random_source=random.Random(4),
        )
        self.cell_choice = CellChoice(
            choice=self.choice,
            clock=self.clock,
            random_source=random.Random(4),
        )
        self.names = [f'i-{number}' for number in range(_RUNNERS)]
        self.cell = frozenset(self.names[:_CELL_RUNNERS])
        self.runners = {name: ModelledRunner() for name in self.names}
        self.backlogs = tuple(
            self.choice.backlog(name, _SLOTS) for name in self.names
        )
        self.counts = dict.fromkeys(self.names, 0)
        self.left_count = 0
        self.own_count = 0
        self.own_streams = []
        self.events = []  # time, number, function
        self.numbers = itertools.count()

    def play(self, duration_ms):
        for at_ms, tokens in steady_arrivals(duration_ms, 7, self.per_second):
            self._advance(at_ms)
            if self.random.random() < self.own_share:
                self._place_own(tokens)
            else:
                self._place_other(tokens)

    def _advance(self, at_ms):
        now_ms = 10_000 + int(at_ms)
        while self.events and self.events[0][0] <= now_ms:
            event_ms, _, apply = heapq.heappop(self.events)
            self.clock.now_ms = int(event_ms)
            apply()
        self.clock.now_ms = now_ms

    def _at(self, at_ms, apply):
        heapq.heappush(self.events, (at_ms, next(self.numbers), apply))

    def _place_other(self, tokens):
        # VMs of the other cells know the load of their runners.
        names = self.names[_CELL_RUNNERS:]
        name = min(names, key=lambda item: self.runners[item].free_ms)
        self.counts[name] += 1
        self.runners[name].add(self.clock.now_ms, tokens)

    def _place_own(self, tokens):
        work = PlannedWork(prompt_tokens=tokens)
        if self.beyond_cell:
            backlog = self.cell_choice.choose(work, self.cell, self.backlogs)
        else:
            inside = self.choice.prefer_cell(self.cell, self.backlogs)
            backlog = self.choice.choose(work, inside)
        name = backlog.runner
        self.own_count += 1
        if name not in self.cell:
            self.left_count += 1
        placed = self.choice.place(work, backlog)
        runner = self.runners[name]
        self.counts[name] += 1
        first_ms = runner.add(self.clock.now_ms, tokens)
        stream = runner.streams[-1]
        self.own_streams.append(stream)
        self._at(first_ms, lambda: self._begin(placed, backlog, runner))
        self._at(stream['ends_ms'], lambda: self.choice.mark_completed(placed))

    def _begin(self, placed, backlog, runner):
        """The head of an answer carries the runner's report."""
        self.choice.mark_prefilled(placed)
        self.choice.note_report(
            backlog.runner,
            request_count=runner.running(self.clock.now_ms - _REPORT_LAG_MS),
            slot_count=_SLOTS,
        )

    @property
    def stalled_share(self):
        stalled = sum(stream['is_stalled'] for stream in self.own_streams)
        return stalled / len(self.own_streams)


@given(
    '45 runners in 7 cells, and a VM with {share} of {rate:d} prompts per '
    'second'
)
def fleet(context, share, rate):
    context.per_second = rate
    context.own_share = {'half': 0.5, 'a tenth': 0.1}[share]


@when(
    'its prompts are placed for {seconds:d} s, in its cell only and beyond it'
)
def place_prompts(context, seconds):
    context.runs = {}
    for beyond_cell in (False, True):
        run = _Run(
            per_second=context.per_second,
            own_share=context.own_share,
            beyond_cell=beyond_cell,
        )
        run.play(seconds * 1000)
        context.runs[beyond_cell] = run


@then('beyond its cell at most half as many streams pause as in its cell only')
def fewer_pause(context):
    inside, beyond = context.runs[False], context.runs[True]
    assert beyond.stalled_share <= inside.stalled_share / 2, (
        inside.stalled_share,
        beyond.stalled_share,
    )


@then('the busiest runner gets at most {limit:f} times the mean')
def busiest(context, limit):
    counts = context.runs[True].counts.values()
    assert max(counts) <= limit * sum(counts) / _RUNNERS, sorted(counts)


@then('at most 1 in 100 of its prompts leave its cell')
def few_leave(context):
    run = context.runs[True]
    assert run.left_count * 100 <= run.own_count, run.left_count
