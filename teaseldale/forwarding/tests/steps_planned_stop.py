"""Steps for requests of a VM whose process is stopped, in virtual time."""

import anyio
import attrs
from behave import then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import ScriptedConnections
from teaseldale.forwarding.tests.steps_path import make_entry
from teaseldale.platform.tests.wire_names import (
    deadline_ms_of,
    unbilled_headers,
    usage_header,
)

_GRACE_MS = 8000
_TIMEOUT_MS = 20_000  # lets requests outlast the grace period
_ARRIVAL_MS = 2000  # of the request, after the start of the stop
_RESERVE_MS = 900  # before the end of the grace period, for last answers


class SlowConnections(ScriptedConnections):
    """Connections whose first answer comes at a time of the test."""

    def __init__(self, script, first_ms):
        super().__init__(script)
        self._first_ms = first_ms

    async def send(self, prepare, *, belongs, timeout_ms):
        if not self.seen and self._first_ms is not None:
            message = prepare()
            self.seen.append(message)
            await anyio.sleep(self._first_ms / 1000)
            return await super().send(
                lambda: message,
                belongs=belongs,
                timeout_ms=timeout_ms,
            )
        return await super().send(
            prepare,
            belongs=belongs,
            timeout_ms=timeout_ms,
        )


def _connections_for(state):
    if not state.endswith('before'):
        return SlowConnections(['silent'], None)
    before_ms = int(state.split()[-3])
    step = 'broken' if state.startswith('breaks') else 'not run'
    first_ms = _GRACE_MS - _RESERVE_MS - _ARRIVAL_MS - before_ms
    return SlowConnections([step, 'whole 200'], first_ms)


@when('its VM stops while a request {state}')
def stops(context, state):
    route = attrs.evolve(
        context.configuration.routes[0],
        timeout_ms=_TIMEOUT_MS,
    )
    context.configuration = attrs.evolve(
        context.configuration,
        routes=(route,),
    )
    context.connections = _connections_for(state)
    context.caller = ScriptedCaller(
        headers=unbilled_headers(b'r-1', _TIMEOUT_MS),
        never_ends=state.endswith('its body'),
    )

    async def run():
        entry, parts = make_entry(
            context,
            context.connections,
            VirtualClock(),
        )
        if state.endswith('tokens'):
            parts.grants.reserve = _reserve_never
            context.caller._scope['headers'] += (usage_header(1000, 500),)
        async with anyio.create_task_group() as tasks:
            parts.grants.update_prepaid_accounts({'a': 1_000_000})
            await parts.grants.start(tasks)
            await anyio.sleep(1)
            tasks.start_soon(_stop, entry, tasks.cancel_scope)
            await anyio.sleep(_ARRIVAL_MS / 1000)
            await entry._respond(context.caller.exchange())
            await anyio.sleep_forever()

    run_in_virtual_time(run)


async def _reserve_never(*, account, most_tokens):
    await anyio.sleep_forever()


async def _stop(entry, scope):
    await entry.drain()
    scope.cancel()


@then('the request gets {status:d}, which says "{text}"')
def gets_answer(context, status, text):
    caller = context.caller
    assert caller.status == status, (caller.status, caller.body)
    assert text.strip('"').encode() in caller.body, caller.body
    assert caller.is_whole


@then('{count:d} runners have received it')
def received(context, count):
    messages = {id(message) for message in context.connections.seen}
    assert len(messages) == count, len(messages)


@then('the last runner got at most {most:d} ms')
def last_deadline(context, most):
    deadline_ms = deadline_ms_of(context.connections.seen[-1])
    assert 0 < deadline_ms <= most, deadline_ms
