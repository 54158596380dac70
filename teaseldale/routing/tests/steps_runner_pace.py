"""Steps of the learned pace of runners."""

import math
import random

import attrs
from behave import given, then, when

from teaseldale.clock import BaseClock
from teaseldale.routing import RunnerPaces

_TOKENS = 3000
_SAMPLE_INTERVAL_MS = 100


@attrs.define(kw_only=True)
class _ManualClock(BaseClock):
    now_ms: int = 10_000

    def monotonic_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms


def before(context):
    """Creates the paces of a scenario once."""
    if not hasattr(context, 'paces'):
        context.clock = _ManualClock()
        context.paces = RunnerPaces(clock=context.clock)
        context.rng = random.Random(1)
        context.knee = math.inf


def read_prompts(context, runners, seconds, report=None, noise=0):
    """Adds samples of runners with a pace each, ten per second."""
    before(context)
    for _ in range(int(seconds * 1000) // _SAMPLE_INTERVAL_MS):
        context.clock.now_ms += _SAMPLE_INTERVAL_MS
        for runner, pace in runners.items():
            slowdown = 1
            if report is not None:
                slowdown, reported = report()
                for _ in range(5):
                    context.paces.note_slowdown(runner, reported)
            elapsed_ms = _TOKENS / pace * slowdown
            elapsed_ms *= math.exp(context.rng.gauss(0, noise))
            context.paces.note_first_event(runner, _TOKENS, elapsed_ms, 2)


@when(
    'runner "{runner}" reads prompts at {pace:g} tokens/ms for {seconds:d} s',
)
def reads(context, runner, pace, seconds):
    read_prompts(context, {runner: pace}, seconds)


@when(
    'runners "{first}" and "{second}" read prompts at {pace:g} tokens/ms for '
    '{seconds:d} s with {noise:g} noise',
)
def both_read(context, first, second, pace, seconds, noise):
    read_prompts(context, {first: pace, second: pace}, seconds, noise=noise)


@when(
    'runners "{first}" and "{second}" read prompts at {slow:g} and {fast:g} '
    'tokens/ms for {seconds:d} s',
)
def differently_read(context, first, second, slow, fast, seconds):
    read_prompts(context, {first: slow, second: fast}, seconds)


@when(
    'runner "{runner}" reads prompts at {pace:g} tokens/ms for {seconds:d} s '
    'with random reports',
)
def reads_with_false_reports(context, runner, pace, seconds):
    before(context)
    read_prompts(
        context,
        {runner: pace},
        seconds,
        report=lambda: (1, context.rng.choice((0.2, 1, 5))),
    )


@when(
    'runner "{runner}" reads prompts at {pace:g} tokens/ms for {seconds:d} s '
    'with true reports',
)
def reads_with_true_reports(context, runner, pace, seconds):
    before(context)
    started_ms = context.clock.now_ms

    def report():
        is_slow = (context.clock.now_ms - started_ms) // 2000 % 2
        slowdown = 3 if is_slow else 1
        return slowdown, slowdown

    read_prompts(context, {runner: pace}, seconds, report=report)


@when(
    'runner "{runner}" reports a slowdown of {slowdown:g} for {seconds:d} s '
    'without an answer',
)
def reports(context, runner, slowdown, seconds):
    for _ in range(seconds * 20):
        context.clock.now_ms += 50
        context.paces.note_slowdown(runner, slowdown)


@when('an outlier of {factor:d} times happens at runner "{runner}"')
def outlier(context, factor, runner):
    context.clock.now_ms += _SAMPLE_INTERVAL_MS
    elapsed_ms = _TOKENS / 60 * factor
    context.paces.note_first_event(runner, _TOKENS, elapsed_ms, 2)


@when(
    'a stall of {seconds:d} s for {count:d} requests happens at runner '
    '"{runner}"',
)
def stall(context, seconds, count, runner):
    context.clock.now_ms += seconds * 1000
    for number in range(count):
        context.clock.now_ms += 5
        elapsed_ms = seconds * 1000 - number * 50
        context.paces.note_first_event(runner, _TOKENS, elapsed_ms, 10)


@when('a false report of a slowdown happens at runner "{runner}"')
def false_report(context, runner):
    context.paces.note_slowdown(runner, 10)
    read_prompts(context, {runner: 60}, 1, report=lambda: (1, 1))


@when('an impossible report happens at runner "{runner}"')
def impossible_report(context, runner):
    for slowdown in (0, -1, math.inf, math.nan):
        context.paces.note_slowdown(runner, slowdown)


@given('incarnation {started_ms:d} of runner "{runner}"')
@when('incarnation {started_ms:d} of runner "{runner}" starts')
def starts(context, started_ms, runner):
    before(context)
    assert context.paces.note_incarnation(runner, started_ms)


@then(
    'figures of incarnation {started_ms:d} of runner "{runner}" are not current'
)
def not_current(context, started_ms, runner):
    assert not context.paces.note_incarnation(runner, started_ms)


@when('only runner "{runner}" is kept')
def only_kept(context, runner):
    context.paces.keep_only(frozenset((runner,)))


@when(
    'runner "{runner}" gets {count:d} prompts of {tokens:d} tokens that take '
    '{elapsed_ms:d} ms',
)
def short_prompts(context, runner, count, tokens, elapsed_ms):
    before(context)
    for _ in range(count):
        context.clock.now_ms += _SAMPLE_INTERVAL_MS
        context.paces.note_first_event(runner, tokens, elapsed_ms, 1)


def plain_requests(context, seconds, plain_ms):
    """Adds plain answers of a runner whose load rises and falls."""
    for number in range(seconds * 50):
        context.clock.now_ms += 20
        in_work = round(8.5 + 7.5 * math.sin(number / 50))
        elapsed_ms = plain_ms * max(1, in_work / context.knee)
        elapsed_ms *= math.exp(context.rng.gauss(0, 0.15))
        context.paces.note_plain_answer('i-0', elapsed_ms, in_work)


@when(
    'runner "i-0" of knee {knee:d} has 1 to 16 plain requests in work for '
    '{seconds:d} s',
)
def loads(context, knee, seconds):
    before(context)
    context.knee = knee
    plain_requests(context, seconds, 20)


@when('its plain requests take {plain_ms:d} ms for {seconds:d} s')
def slower(context, plain_ms, seconds):
    plain_requests(context, seconds, plain_ms)


@when('{seconds:d} s pass')
def pass_time(context, seconds):
    context.clock.now_ms += seconds * 1000


def assert_within(found, share, expected):
    """Checks a relative deviation."""
    assert abs(found / expected - 1) <= share, (found, expected)


@then('its prefill pace is within {share:g} of {pace:g} tokens/ms')
def has_pace(context, share, pace):
    found = context.paces.pace('i-0').prefill_tokens_per_ms
    assert_within(found, share, pace)


@then('its knee is within {share:g} of {knee:g}')
def has_knee(context, share, knee):
    assert_within(context.paces.pace('i-0').knee, share, knee)


@then('its knee is infinite')
def has_no_knee(context):
    assert math.isinf(context.paces.pace('i-0').knee), context.paces.pace('i-0')


@then('its plain answers take {plain_ms:g} ms within {share:g}')
def has_plain_ms(context, plain_ms, share):
    assert_within(context.paces.pace('i-0').plain_ms, share, plain_ms)


@then(
    'the first event after {queued} queued and {own} own tokens is expected '
    'after {expected_ms:d} ms',
)
def expects(context, queued, own, expected_ms):
    found_ms = context.paces.first_event_ms(
        'i-0',
        int(queued.replace(',', '')),
        int(own.replace(',', '')),
        1,
    )
    assert_within(found_ms, 0.05, expected_ms)


@then('nothing is known of runner "{runner}"')
def unknown(context, runner):
    before(context)
    assert context.paces.first_event_ms(runner, 100, 100, 1) is None
    pace = context.paces.pace(runner)
    assert pace.prefill_tokens_per_ms > 0, pace
    assert pace.plain_ms > 0, pace
    assert math.isinf(pace.knee), pace
    assert pace.slowdown == 1, pace


def relative(context):
    """Returns the relative durations of two runners."""
    return context.paces.relative_durations(('i-0', 'i-1'), has_prompt=True)


@then('the relative durations of both are 1')
def both_equal(context):
    assert set(relative(context).values()) == {1}, relative(context)


@then('the relative duration of "{runner}" is over {least:g}')
def relative_over(context, runner, least):
    assert relative(context)[runner] > least, relative(context)


@then('the relative duration of "{runner}" is below {most:g}')
def relative_below(context, runner, most):
    assert relative(context)[runner] < most, relative(context)
