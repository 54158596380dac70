"""Step definitions for the limits on log lines."""

import os
import threading
import time

import attrs
import msgspec
from behave import given, then, when

from teaseldale.logs import LogFormat, StateLog, make_log_handler

# A log call that waits for the reader never returns, so any time-out detects
# it.
_HANG_SECONDS = 30


@attrs.define(kw_only=True)
class _ManualClock:
    now_ms: float = 10_000

    def monotonic_ms(self):
        return int(self.now_ms)


class GatedStream:
    """Stream whose writes block until the gate is open."""

    def __init__(self, *, is_open):
        self.gate = threading.Event()
        self.received = []
        if is_open:
            self.gate.set()

    def write(self, received):
        self.gate.wait()
        self.received.append(received)

    def flush(self):
        self.gate.wait()

    def lines(self):
        whole = b''.join(self.received)
        return [msgspec.json.decode(line) for line in whole.splitlines()]


def parse_number(text):
    return int(text.replace(',', ''))


def open_log(context, stream):
    context.clock = _ManualClock()
    context.stream = stream
    context.handler = make_log_handler(
        LogFormat.JSON,
        'vm-1',
        stream=stream,
        clock=context.clock,
    )
    context.log = StateLog(channel='test')


@given('a log with a stalled reader')
def stalled_reader(context):
    open_log(context, GatedStream(is_open=False))


@given('a log with a fast reader')
def fast_reader(context):
    open_log(context, GatedStream(is_open=True))


@given('a log on a pipe that is never read')
def unread_pipe(context):
    reading, writing = os.pipe()
    context.add_cleanup(os.close, reading)
    open_log(context, os.fdopen(writing, 'wb'))


def write(context, write_lines):
    """Calls a function with the log in a thread; asserts that it returns."""

    def run():
        with context.handler.applicationbound():
            write_lines()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(_HANG_SECONDS)
    context.has_blocked = thread.is_alive()
    assert not context.has_blocked


@when(
    '{routine} routine and {important} important lines are written over '
    '{seconds:d} s'
)
def write_both(context, routine, important, seconds):
    counts = parse_number(routine), parse_number(important)
    step_ms = seconds * 1000 / max(counts)

    def write_lines():
        for index in range(max(counts)):
            context.clock.now_ms += step_ms
            if index < counts[0]:
                context.log.routine('served', index=index)
            if index >= max(counts) - counts[1]:
                context.log.changed('refused', index=index)

    write(context, write_lines)


@when('{count} important lines are written over {seconds:d} s')
def write_important(context, count, seconds):
    write_both(context, '0', count, seconds)


@then('no log call blocked')
def not_blocked(context):
    assert not context.has_blocked


@then('at most {limit} bytes are queued for the reader')
def bounded(context, limit):
    queued_bytes = context.handler._writer.queued_bytes
    assert 0 < queued_bytes <= parse_number(limit), queued_bytes


@when('the reader resumes')
def resume_reader(context):
    context.stream.gate.set()
    wait_until(lambda: not context.handler._writer.queued_bytes)


def wait_until(condition):
    deadline = time.monotonic() + _HANG_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@when('one more line is written')
def write_one(context):
    context.clock.now_ms += 2000
    write(context, lambda: context.log.changed('last'))
    # Nothing may have been written yet: the writer has a thread of its own.
    wait_until(
        lambda: (
            [line['event'] for line in context.stream.lines()][-1:] == ['last']
        )
    )


@when('a second passes and one more line is written')
def write_one_later(context):
    write_one(context)


@then(
    'the written lines and the lines reported as dropped add up to {expected}'
)
def all_accounted(context, expected):
    lines = context.stream.lines()
    dropped_lines = [
        line for line in lines if line['event'] == 'lines_left_out'
    ]
    dropped = sum(sum(line['counts'].values()) for line in dropped_lines)
    assert dropped > 0
    assert len(lines) - len(dropped_lines) + dropped == parse_number(
        expected
    ), dropped


@then('all {count:d} important lines are written')
def important_read(context, count):
    events = [line['event'] for line in context.stream.lines()]
    assert events.count('refused') == count, events.count('refused')


@when(
    '5,000 important lines of one event and 5 of another are written within '
    'a second'
)
def write_frequent_event(context):
    def write_lines():
        for index in range(5000):
            context.log.changed('refused', index=index)
            if index >= 4995:
                context.log.changed('store_lost', index=index)

    write(context, write_lines)


@then('500 lines of the first event and 5 of the other are written')
def rate_limited(context):
    events = [line['event'] for line in context.stream.lines()]
    assert events.count('refused') == 500, events.count('refused')
    assert events.count('store_lost') == 5


@then('4,500 lines of the first event are reported as dropped')
def dropped_reported(context):
    lines = context.stream.lines()
    dropped_lines = [
        line for line in lines if line['event'] == 'lines_left_out'
    ]
    assert [line['counts'] for line in dropped_lines] == [{'refused': 4500}], (
        dropped_lines
    )


@when('{count:d} important lines are written and the log is closed')
def write_and_close(context, count):
    def write_lines():
        for index in range(count):
            context.log.changed('refused', index=index)
        context.handler.close()

    write(context, write_lines)
