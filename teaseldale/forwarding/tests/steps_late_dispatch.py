"""Steps for requests that wait between their admission and their dispatch."""

import anyio
import attrs
from behave import given, then, when

from teaseldale.fakes import (
    VirtualClock,
    keep_loop_busy,
    run_in_virtual_time,
)
from teaseldale.forwarding.tests.entry_world import (
    EntryOptions,
    make_configuration,
    make_entry,
    make_runner,
)
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import ScriptedAnswer
from teaseldale.platform.tests.wire_names import (
    LEAVING,
    deadline_ms_of,
    request_id_of,
    unbilled_headers,
)
from teaseldale.routing import LimitPermit

_RUNNER_COUNT = 3
_OPENING = 'a connection is opened'
_READING = 'the body is read'


@attrs.define
class Delays:
    """Where a VM waits, or keeps its loop busy, between two decisions."""

    busy_step: str = ''
    busy_ms: int = 0
    wait_step: str = ''
    wait_ms: int = 0
    start_ms: int = 0  # from the receipt of a request to its task

    async def pass_step(self, step):
        if step == self.busy_step:
            keep_loop_busy(self.busy_ms)
        if step == self.wait_step:
            await anyio.sleep(self.wait_ms / 1000)


class SlowConnections:
    """Connections that take time until a request can be written."""

    def __init__(self, delays):
        self._delays = delays
        self.selected = []  # runners, one per attempt
        self.written = []  # runners and messages
        self.on_select = lambda runner: None

    def pool_for(self, runner):
        self.selected.append(runner)
        self.on_select(runner)
        return SlowPool(self, runner, self._delays)

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


@attrs.define
class SlowPool:
    """Connections to one runner."""

    connections: SlowConnections
    runner: object
    delays: Delays

    async def send(self, prepare, *, belongs, timeout_ms):
        await self.delays.pass_step(_OPENING)
        message = prepare()
        self.connections.written.append((self.runner, message))
        return ScriptedAnswer(
            status=200,
            parts=[b'the ', b'body'],
            headers=((b'x-request-id', request_id_of(message)),),
        )


class SlowCaller(ScriptedCaller):
    """A caller whose body takes time to be read."""

    delays = Delays()

    async def _receive(self):
        if not self._has_sent:
            await self.delays.pass_step(_READING)
        return await super()._receive()


@given('one VM whose loop is busy for {busy_ms:d} ms while {step}')
def busy_vm(context, busy_ms, step):
    context.delays = Delays(busy_step=step, busy_ms=busy_ms)


@given(
    'one VM that starts the task of a request {start_ms:d} ms after its receipt'
)
def late_task(context, start_ms):
    context.delays = Delays(start_ms=start_ms)


@given('one VM that waits for {wait_ms:d} ms while {step}')
def waiting_vm(context, wait_ms, step):
    context.delays = Delays(wait_step=step, wait_ms=wait_ms)


def ask(context, kind, deadline_ms, on_select=None):
    """Sends one request; ``on_select`` is called with the first runner."""
    runners = tuple(
        attrs.evolve(make_runner(number), availability_zone=f'z-{number}')
        for number in range(_RUNNER_COUNT)
    )
    context.connections = SlowConnections(context.delays)
    context.caller = SlowCaller(
        headers=unbilled_headers(b'r-1', deadline_ms),
    )
    context.caller.delays = context.delays

    async def run():
        entry, parts = make_entry(
            EntryOptions(
                connections=context.connections,
                clock=VirtualClock(),
                configuration=make_configuration(kind, 2),
                runners=runners,
            ),
        )
        async with anyio.create_task_group() as tasks:
            context.changed = None

            def change_first(runner):
                if context.changed is None and on_select is not None:
                    context.changed = runner
                    tasks.start_soon(on_select, parts, runner)

            if context.delays.wait_step == 'a permit is awaited':
                wait_for_permits(context, parts, change_first)
            else:
                context.connections.on_select = change_first
            context.caller.note_received()
            await anyio.sleep(context.delays.start_ms / 1000)
            await entry._respond(context.caller.exchange())
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


def wait_for_permits(context, parts, on_wait):
    """Makes all runners limited, so that each start waits for a permit."""

    async def take(incarnation, *, max_wait_ms):
        on_wait(parts.directory.find_incarnation(incarnation))
        return LimitPermit(is_granted=True, wait_ms=context.delays.wait_ms)

    parts.limits.may_start = lambda incarnation: False
    parts.limits.take = take


@when('a caller sends a "{kind}" request with a deadline of {deadline_ms:d} ms')
def ask_with_deadline(context, kind, deadline_ms):
    ask(context, kind, deadline_ms)


async def change_runner(parts, runner, change):
    await anyio.sleep(0.01)
    changed = {
        'leaves by its entry': attrs.evolve(runner, is_leaving=True),
        'is removed': None,
        'is replaced': attrs.evolve(
            runner,
            started_wall_ms=runner.started_wall_ms + 1,
        ),
    }
    if change == 'leaves by an answer':
        reply = parts.wire.read_reply(200, (LEAVING,))
        parts.announcements.note_answer(runner, reply.announcement)
    elif change == 'is in an evacuated zone':
        parts.directory.evacuate_only({runner.availability_zone})
    else:
        parts.directory.apply_changes({runner.runner_id: changed[change]})


@when(
    'a caller sends a "{kind}" request and the selected runner {change} '
    'meanwhile'
)
def ask_while_changing(context, kind, change):
    async def on_select(parts, runner):
        await change_runner(parts, runner, change)

    ask(context, kind, 1000, on_select)


@then('no runner receives the request')
def nothing_received(context):
    assert not context.connections.written, context.connections.written


@then('the caller gets 504, and that the request has not run')
def timed_out(context):
    assert context.caller.status == 504, context.caller.status
    assert b'"not_run":true' in context.caller.body, context.caller.body


@then('the runner that {change} receives nothing')
def changed_receives_nothing(context, change):
    assert context.changed is not None
    received = [runner for runner, _ in context.connections.written]
    assert context.changed not in received, received


@then('the caller is answered by another runner')
def answered(context):
    assert context.caller.status == 200, context.caller.body
    assert len(context.connections.written) == 1


@then('the runner that receives it gets at most {limit_ms:d} ms')
def time_left(context, limit_ms):
    ((_, message),) = context.connections.written
    assert deadline_ms_of(message) <= limit_ms, deadline_ms_of(message)
