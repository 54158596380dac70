"""Steps of the samples that attempts take of their runners' pace."""

import random

import attrs
from behave import given, then, when

from teaseldale.clock import BaseClock
from teaseldale.forwarding import Address, ForwardingRunner
from teaseldale.forwarding._pace_reports import PaceReports
from teaseldale.forwarding._pace_sample import PaceSample
from teaseldale.metrics import Metrics
from teaseldale.platform import PlatformWireFormat
from teaseldale.platform.tests.wire_names import load_text_header
from teaseldale.routing import BacklogChoice, PlannedWork

_RUNNER = ForwardingRunner(
    runner_id='i-0',
    started_wall_ms=1000,
    service='model',
    address=Address(ip='127.0.0.1', port=1),
    availability_zone='a',
    version='1',
    slot_count=8,
)
_INTERVAL_MS = 100


@attrs.define(kw_only=True)
class _ManualClock(BaseClock):
    now_ms: int = 10_000

    def monotonic_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms


class _World:
    def __init__(self):
        self.clock = _ManualClock()
        self.choice = BacklogChoice(
            clock=self.clock,
            random_source=random.Random(1),
        )
        self.reports = PaceReports()
        self.metrics = Metrics()

    def attempt(
        self,
        elapsed_ms,
        *,
        tokens=0,
        status=200,
        load=None,
        is_resumed=False,
    ):
        """Plays an attempt from the placement to the first output."""
        sample = PaceSample(
            runner=_RUNNER,
            choice=self.choice,
            reports=self.reports,
            metrics=self.metrics,
        )
        work = PlannedWork(prompt_tokens=tokens)
        backlog = self.choice.backlog(_RUNNER.runner_id, 8)
        placed = self.choice.place(work, backlog)
        sample.note_placed(work, placed, backlog, self.clock.now_ms)
        sample.note_sent(self.clock.now_ms, is_resumed=is_resumed)
        self.clock.now_ms += elapsed_ms
        headers = ()
        if load is not None:
            headers = (load_text_header(load),)
        reply = PlatformWireFormat().read_reply(status, headers)
        sample.note_reply(reply, self.clock.now_ms)
        if tokens:
            sample.note_first_event(self.clock.now_ms)
            sample.note_first_event(self.clock.now_ms + 1000)
        else:
            sample.note_plain_answer(self.clock.now_ms)
        self.choice.mark_prefilled(placed)
        self.choice.mark_completed(placed)
        self.clock.now_ms += _INTERVAL_MS

    @property
    def pace(self):
        """Returns what has been learned."""
        return self.choice.paces.pace(_RUNNER.runner_id)


def attempts(context, count, elapsed_ms, **options):
    """Plays attempts in sequence."""
    if not hasattr(context, 'pace_world'):
        context.pace_world = _World()
    for _ in range(count):
        context.pace_world.attempt(elapsed_ms, **options)


@given('a later incarnation of the runner has answered')
def later_incarnation(context):
    attempts(context, 0, 0)
    paces = context.pace_world.choice.paces
    assert paces.note_incarnation(_RUNNER.runner_id, 2000)


@when(
    '{count:d} streams of 6,000 prompt tokens have their first event after '
    '{elapsed_ms:d} ms',
)
def streams(context, count, elapsed_ms):
    attempts(context, count, elapsed_ms, tokens=6000)


@when(
    '{count:d} resumed streams of 6,000 prompt tokens have their first event '
    'after {elapsed_ms:d} ms',
)
def resumed_streams(context, count, elapsed_ms):
    attempts(context, count, elapsed_ms, tokens=6000, is_resumed=True)


@when(
    '{count:d} plain requests are answered after {elapsed_ms:d} ms with '
    'status {status:d}',
)
def plain_requests(context, count, elapsed_ms, status):
    attempts(context, count, elapsed_ms, status=status)


@when('{count:d} plain requests are answered with the load "{load}"')
def plain_requests_with_load(context, count, load):
    attempts(context, count, 20, load=load)


@when(
    'plain answers take {first_ms:d} and {second_ms:d} ms in turns of 2 s for '
    '20 s',
)
def changing_pace(context, first_ms, second_ms):
    for _ in range(5):
        for elapsed_ms in (first_ms, second_ms):
            count = 2000 // (elapsed_ms + _INTERVAL_MS)
            attempts(context, count, elapsed_ms)


@then('the learned prefill pace is {pace:d} tokens/ms')
def learned_prefill(context, pace):
    found = context.pace_world.pace
    assert abs(found.prefill_tokens_per_ms / pace - 1) < 0.01, found


@then('the learned plain time is {plain_ms:d} ms')
def learned_plain(context, plain_ms):
    found = context.pace_world.pace
    assert abs(found.plain_ms / plain_ms - 1) < 0.01, found


@then('the learned slowdown is {slowdown:d}')
def learned_slowdown(context, slowdown):
    found = context.pace_world.pace
    assert abs(found.slowdown / slowdown - 1) < 0.01, found


@then('nothing has been learned')
def nothing_learned(context):
    paces = context.pace_world.choice.paces
    for tokens in (0, 1000):
        found_ms = paces.first_event_ms(_RUNNER.runner_id, 0, tokens, 1)
        assert found_ms is None, found_ms


@then('{count:d} unreadable load report is counted')
def unreadable_counted(context, count):
    metrics = context.pace_world.metrics
    found = metrics.counter_value('load_reports_unreadable')
    assert found == count, found


@then('between {least:d} and {most:d} changes of the pace are logged')
def changes_logged(context, least, most):
    metrics = context.pace_world.metrics
    found = metrics.counter_value('runner_pace_changes')
    assert least <= found <= most, found
