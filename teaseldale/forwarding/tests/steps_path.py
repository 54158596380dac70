"""Steps for request forwarding, in virtual time and without a network."""

import anyio
import attrs
import logbook
from behave import given, then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.forwarding import EntryLimits
from teaseldale.forwarding.tests import entry_world
from teaseldale.forwarding.tests.entry_world import (
    BODY_LIMIT_BYTES,
    EntryOptions,
    make_configuration,
    make_runner,
)
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import (
    ScriptedConnections,
    events,
    span,
)
from teaseldale.members import FixedMembers
from teaseldale.platform.tests.wire_names import CALLER_HEADERS, STAMP
from teaseldale.routing import RetryWindow
from teaseldale.web import HeadLimits


@given('{count:d} runners and a "{kind}" route limited to {limit:d} runners')
def runners_for(context, count, kind, limit):
    context.unproven_runner = None
    context.runner_count = count
    context.configuration = make_configuration(kind, limit)


@given('{count:d} runners and a "{kind}" route')
def runners_and_route(context, count, kind):
    runners_for(context, count, kind, 2)


def make_entry(context, connections, clock):
    return entry_world.make_entry(
        EntryOptions(
            connections=connections,
            clock=clock,
            configuration=context.configuration,
            runners=tuple(map(make_runner, range(context.runner_count))),
        ),
    )


def run_request(context, script, caller):
    context.connections = ScriptedConnections(script)
    context.caller = caller

    async def run():
        clock = VirtualClock()
        entry, parts = make_entry(context, context.connections, clock)
        context.parts = parts
        async with anyio.create_task_group() as tasks:
            parts.grants.update_prepaid_accounts({'a': 1_000_000})
            if context.unproven_runner is not None:
                parts.directory.apply_changes(
                    {'i-trial': context.unproven_runner}
                )
                parts.moves.select_unproven = lambda service: (
                    context.unproven_runner,
                )
            await parts.grants.start(tasks)
            await anyio.sleep(1)
            context.start_ms = clock.monotonic_ms()
            await entry._respond(caller.exchange())
            held = parts.grants._shards['a'].held
            context.spent_tokens = held.spent_tokens
            assert held.reserved_tokens == 0, held
            tasks.cancel_scope.cancel()

    with logbook.TestHandler() as context.lines:
        run_in_virtual_time(run)


@then('the log line of the request has the cut reason "{cut}"')
def log_line_has_cut(context, cut):
    cut_reasons = [
        record.extra['cut']
        for record in context.lines.records
        if record.message == 'request_ended'
    ]
    assert cut_reasons == [cut], cut_reasons


@then('the log line of the request is {kept}')
def log_line_is_kept(context, kept):
    levels = [
        record.level_name
        for record in context.lines.records
        if record.message == 'request_ended'
    ]
    expected = {'kept': 'INFO', 'dropped first': 'DEBUG'}[kept]
    assert levels == [expected], levels


@given('an unproven version is selected for the first attempt')
def unproven_runner(context):
    context.unproven_runner = attrs.evolve(
        make_runner(9),
        runner_id='i-trial',
        version='v2',
    )


@then('the unproven version received the first attempt and no other')
def unproven_first(context):
    asked = [runner.version for runner in context.connections.asked]
    assert asked == ['v2', 'v1'], asked


@when('the runners answer: {answers}')
def answers_are(context, answers):
    context.script = answers.split(', ')
    if 'disconnects' not in ''.join(
        step.name for step in context.scenario.steps
    ):
        run_request(
            context,
            context.script,
            ScriptedCaller(headers=CALLER_HEADERS),
        )


@when('the caller disconnects after {delay:d} ms')
def caller_leaves(context, delay):
    caller = ScriptedCaller(headers=CALLER_HEADERS, disconnects_after_ms=delay)
    run_request(context, context.script, caller)


@when('a request arrives whose body never ends')
def body_never_ends(context):
    caller = ScriptedCaller(
        headers=CALLER_HEADERS,
        body=b'x',
        never_ends=True,
    )
    run_request(context, ['whole 200'], caller)


@when(
    'the configuration allows heads of 2,000 bytes in 500 ms and an idle time '
    'of 9 s'
)
def allow_heads(context):
    context.configuration = attrs.evolve(
        context.configuration,
        limits=EntryLimits(
            header_bytes=2000,
            header_timeout_ms=500,
            idle_timeout_ms=9000,
        ),
    )


@then("these limits apply to callers' connections")
def have_bounds(context):
    clock = VirtualClock()

    async def run():
        entry, _ = make_entry(context, ScriptedConnections([]), clock)
        assert entry._callers.limits() == HeadLimits(
            head_bytes=2000,
            head_timeout_ms=500,
            idle_timeout_ms=9000,
        )

    run_in_virtual_time(run)


@when('a request arrives that {case}')
def request_arrives(context, case):
    headers = dict(CALLER_HEADERS)
    body, path = b'', '/a/b'
    if case == 'has no route':
        path = '/elsewhere'
    elif case == 'has an unknown key':
        headers[b'authorization'] = b'Bearer other'
    elif case == 'has no id':
        headers.pop(b'x-request-id')
    elif case == 'has a body beyond the limit':
        body = b'x' * (BODY_LIMIT_BYTES + 1)
    else:
        context.configuration = None
    caller = ScriptedCaller(
        headers=tuple(headers.items()),
        body=body,
        path=path,
    )
    run_request(context, ['whole 200'], caller)


@then("the caller gets {status:d} with the runner's body")
def gets_body(context, status):
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert caller.body == b'the body', caller.body
    assert caller.is_whole
    assert caller.headers[STAMP[0]] == STAMP[1]


@then("the caller gets {status:d} of the VM's own")
def gets_own(context, status):
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert caller.is_whole
    assert STAMP[0] not in caller.headers


@then("the caller gets {status:d} of the VM's own, to come back")
def gets_own_later(context, status):
    gets_own(context, status)
    assert float(context.caller.headers[b'retry-after']) > 0


@then("the caller gets {status:d} of the VM's own after {delay} ms")
def gets_own_after(context, status, delay):
    gets_own(context, status)
    waited_ms = context.caller.answered_ms - context.start_ms
    expected_ms = int(delay.replace(',', ''))
    assert expected_ms <= waited_ms <= expected_ms + 50, waited_ms


@then('the caller gets {status:d} with events {numbers}')
def gets_events(context, status, numbers):
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert caller.body == events(*span(numbers)), caller.body
    assert caller.is_whole


@then('the caller gets a closed connection after {numbers}')
def gets_closed(context, numbers):
    caller = context.caller
    assert caller.body == events(*span(numbers)), caller.body
    assert not caller.is_whole
    assert caller.is_closed


@then('{count:d} runners received the request')
def runners_saw(context, count):
    assert len(context.connections.seen) == count, context.connections.seen


@then('{count:d} attempts are counted as failed')
def attempts_failed(context, count):
    failed = context.parts.metrics.counter_value('attempts_failed')
    assert failed == count, failed


@then('1 runner received the request')
def one_runner_saw(context):
    runners_saw(context, 1)


@then(
    '{prompt} prompt tokens and {count:d} events of {size:d} tokens are billed'
)
def billed(context, prompt, count, size):
    expected = int(prompt.replace(',', '')) + count * size
    assert context.spent_tokens == expected, context.spent_tokens


@then('nothing is billed')
def not_billed(context):
    assert context.spent_tokens == 0, context.spent_tokens


@then("the runner's connection is closed after {delay:d} ms")
def connection_closed(context, delay):
    closed_ms = context.connections.closed_ms - context.start_ms
    assert delay <= closed_ms <= delay + 20, closed_ms


@given(
    'a retry window with a share of {share:g} and {extra:d} extra retries for '
    '{count:d} VMs'
)
def retry_window(context, share, extra, count):
    context.now_ms = 0
    context.window = RetryWindow(
        clock=_ManualClock(context=context),
        share=share,
        extra_count=extra,
        window_ms=10_000,
        vm_count=lambda: count,
    )


@when('one retry is requested for each of {count:d} requests')
def ask_for_retries(context, count):
    for _ in range(count):
        context.window.note_request('s')
    context.allowed = sum(context.window.take_retry('s') for _ in range(count))


@then('{count:d} of these retries are allowed')
def allowed(context, count):
    assert context.allowed == count, context.allowed


@when('the window of 10 s has passed without requests')
def time_passed(context):
    context.now_ms += 11_000


@then('{count:d} of {asked:d} retries without new requests are allowed')
def allowed_later(context, count, asked):
    allowed_count = sum(context.window.take_retry('s') for _ in range(asked))
    assert allowed_count == count, allowed_count


@attrs.define(kw_only=True)
class _ManualClock:
    """Clock whose time is set by the scenario."""

    context: object

    def monotonic_ms(self):
        return self.context.now_ms


@then("the caller's connection is closed without an answer")
def closed_without_answer(context):
    assert context.caller.status is None, context.caller.status
    assert context.caller.is_closed


@when('the VM starts to drain while a request runs')
def drains(context):
    context.script = ['silent', 'whole 200']
    # The time-out lets the first request outlast the drain.
    route = attrs.evolve(context.configuration.routes[0], timeout_ms=20_000)
    context.configuration = attrs.evolve(
        context.configuration,
        routes=(route,),
    )


@when('another request arrives {delay} ms later')
def comes_later(context, delay):
    context.connections = ScriptedConnections(context.script)
    context.caller = ScriptedCaller(headers=CALLER_HEADERS)

    async def run():
        clock = VirtualClock()
        entry, parts = make_entry(context, context.connections, clock)
        async with anyio.create_task_group() as tasks:
            parts.grants.update_prepaid_accounts({'a': 1_000_000})
            await parts.grants.start(tasks)
            await anyio.sleep(1)
            first = ScriptedCaller(headers=CALLER_HEADERS)
            tasks.start_soon(entry._respond, first.exchange())
            await anyio.sleep(0.01)
            tasks.start_soon(entry.drain)
            await anyio.sleep(int(delay.replace(',', '')) / 1000)
            await entry._respond(context.caller.exchange())
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


@then('the other request is served')
def other_served(context):
    gets_body(context, 200)


@then('the other request is refused')
def other_refused(context):
    gets_own_later(context, 503)
    assert b'"not_run":true' in context.caller.body, context.caller.body
    assert context.caller.headers[b'connection'] == b'close'
    assert len(context.connections.seen) == 1, context.connections.seen


@then('the VM is {state} if the store has last answered {age} ms ago')
def ready_with_age(context, state, age):
    async def main():
        connections = ScriptedConnections(('whole 200',))
        entry, _ = make_entry(context, connections, VirtualClock())
        entry._store_age_ms = lambda: int(age.replace(',', ''))
        assert entry.is_ready is (state == 'ready')

    run_in_virtual_time(main)


class UnknownMembers(FixedMembers):
    """A member list that has not been read yet."""

    revision = 0


@then('the VM is ready with a known member list, and not without one')
def ready_with_members(context):
    async def main():
        connections = ScriptedConnections(('whole 200',))
        entry, parts = make_entry(context, connections, VirtualClock())
        assert entry.is_ready
        parts.grants._keepers._members = UnknownMembers(entries={})
        assert not entry.is_ready

    run_in_virtual_time(main)
