"""Steps for answers whose status is none of HTTP, on loopback."""

import anyio
from behave import given, then, when

from teaseldale.clock import SystemClock
from teaseldale.metrics import Metrics
from teaseldale.tunnels.tests.steps_relayed_resets import relaying_connector
from teaseldale.tunnels.tests.steps_tunnels import RelayingVm
from teaseldale.upstreams import (
    DirectConnector,
    EngineCall,
    FailureKind,
    HttpEngineClient,
    HttpServiceClient,
    RunnerConnections,
    RunnerMessage,
    ServiceCall,
    UpstreamError,
)
from teaseldale.upstreams.tests.listening_runner import ListeningRunner
from teaseldale.upstreams.tests.steps_answers import upstream_at

_ANSWER = b'HTTP/1.1 %b Any\r\ncontent-length: 4\r\n\r\nbody'
_TIMEOUT_MS = 2000
# The runner does not end its connection before the time of a request is over.
_CONNECTED_MS = 60_000


@given(
    'a runner on loopback that answers with status {status}, '
    'and stays connected',
)
def answering_runner(context, status):
    context.status = status


async def _ask(runner, connector):
    connections = RunnerConnections(
        address=(runner.ip, runner.port),
        connector=connector,
        clock=SystemClock(),
        metrics=Metrics(),
    )
    message = RunnerMessage(method='GET', target=b'/', headers=(), body=b'')
    try:
        answer = await connections.send(
            lambda: message,
            belongs=lambda status, headers: True,
            timeout_ms=_TIMEOUT_MS,
        )
        body = await answer.read(_TIMEOUT_MS)
        answer.release()
    finally:
        connections.close()
    return answer.status, body


async def _call_service(runner):
    call = ServiceCall(
        request_id='r-1',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        timeout_ms=_TIMEOUT_MS,
    )
    answer = await HttpServiceClient().call(upstream_at(runner), call)
    return answer.status, answer.body


async def _call_engine(runner):
    call = EngineCall(
        request_id='r-1',
        body=b'{}',
        offset=0,
        progress_timeout_ms=_TIMEOUT_MS,
    )
    client = HttpEngineClient()
    async with client.stream(upstream_at(runner), call) as parts:
        return [part async for part in parts]


@when('it is asked {path}')
def ask(context, path):
    async def scenario():
        runner = ListeningRunner(
            answer=[_ANSWER % context.status.encode()],
            pause_ms=_CONNECTED_MS,
        )
        async with runner.serving(), anyio.create_task_group() as tasks:
            try:
                context.found = await _find(context, path, tasks, runner)
            except UpstreamError as error:
                context.found = error
            tasks.cancel_scope.cancel()

    anyio.run(scenario, backend_options={'use_uvloop': True})


async def _find(context, path, tasks, runner):
    if path == 'by the service client':
        return await _call_service(runner)
    if path == 'by the engine client':
        return await _call_engine(runner)
    if path == 'directly':
        return await _ask(runner, DirectConnector())
    context.relay = RelayingVm()
    return await _ask(
        runner,
        await relaying_connector(tasks, runner, context.relay),
    )


@then('its answer is malformed before the time is over')
def answer_malformed(context):
    error = context.found
    assert isinstance(error, UpstreamError), error
    # A request whose time is over fails as silent.
    assert error.kind is FailureKind.BROKEN, (error, error.kind)
    assert error.may_have_run
    assert 'callback' not in error.reason, error.reason


@then('its answer is whole before the time is over')
def answer_whole(context):
    assert context.found == (int(context.status), b'body'), context.found


@then('the relaying VM applies the head of {heads} answer')
def heads_read(context, heads):
    statuses = [status for status, _ in context.relay.policy.heads]
    expected = [int(context.status)] if heads == 'one' else []
    assert statuses == expected, statuses
