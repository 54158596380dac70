"""Steps for responses that are reset, with sockets on loopback."""

import asyncio
import random

import anyio
from behave import given, then, when

from teaseldale.clock import SystemClock
from teaseldale.members import FixedMembers, VmEntry
from teaseldale.metrics import Metrics
from teaseldale.tunnels import (
    RelayChoice,
    RelayingConnector,
    RunnerPaths,
    TunnelClient,
)
from teaseldale.tunnels.tests.steps_tunnels import RelayingVm
from teaseldale.upstreams import (
    DirectConnector,
    RunnerConnections,
    RunnerMessage,
    SystemTcpNetwork,
    UpstreamError,
)
from teaseldale.upstreams.tests.listening_runner import ListeningRunner

_HEAD = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'
_BODIES = {'short': b'a part of it', 'long': bytes(1_200_000)}
# Longer than what the sockets between a VM and a runner hold.
_UPLOADS = {'short': b'a request', 'long': bytes(8_000_000)}
_ENDINGS = {
    'closes': {},
    'resets at once': {'ends_direction': False, 'reset_after_ms': 0},
    'resets 40 ms later': {'ends_direction': False, 'reset_after_ms': 40},
    'ends and resets 80 ms later': {'reset_after_ms': 80},
}
_TIMEOUT_MS = 3000
# A long response is not read for this time.
_READ_DELAY_SECONDS = 0.3


@given(
    'a runner on loopback that sends {answer:w} responses and {ending}',
)
def resetting_runner(context, answer, ending):
    context.answer = answer
    context.ending = ending


@when('{count:d} requests with {upload:w} bodies are sent to it {path}')
def send_requests(context, count, upload, path):
    async def scenario():
        runner = ListeningRunner(
            answer=[_HEAD + _BODIES[context.answer]],
            **_ENDINGS[context.ending],
        )
        async with runner.serving(), anyio.create_task_group() as tasks:
            connector = DirectConnector()
            if path != 'directly':
                connector = await relaying_connector(
                    tasks,
                    runner,
                    RelayingVm(),
                )
            requests = (
                _read(connector, runner, context.answer, _UPLOADS[upload])
                for _ in range(count)
            )
            context.bodies = await asyncio.gather(*requests)
            tasks.cancel_scope.cancel()

    anyio.run(scenario, backend_options={'use_uvloop': True})


async def relaying_connector(tasks, runner, relay):
    """Returns the connector of a VM that reaches no runner itself."""
    relay.policy.registered.add((runner.ip, runner.port))
    await relay.start(tasks)
    paths = RunnerPaths(clock=SystemClock(), metrics=Metrics())
    paths.mark_cut((runner.ip, runner.port), is_silent=True)
    network = SystemTcpNetwork()
    return RelayingConnector(
        direct=DirectConnector(network=network),
        tunnels=TunnelClient(
            network=network,
            choice=RelayChoice(
                members=FixedMembers(entries={'relay': _entry_of(relay)}),
                vm_name='vm',
                clock=SystemClock(),
                random_source=random.Random(1),
            ),
            metrics=Metrics(),
        ),
        paths=paths,
        clock=SystemClock(),
    )


def _entry_of(relay):
    return VmEntry(address='{0}:{1}'.format(*relay.address), incarnation='1')


async def _read(connector, runner, answer, upload):
    """Returns the body, or the error that ended it."""
    connections = RunnerConnections(
        address=(runner.ip, runner.port),
        connector=connector,
        clock=SystemClock(),
        metrics=Metrics(),
    )
    message = RunnerMessage(
        method='POST',
        target=b'/',
        headers=(),
        body=upload,
    )
    body = b''
    try:
        response = await connections.send(
            lambda: message,
            belongs=lambda status, headers: True,
            timeout_ms=_TIMEOUT_MS,
        )
        if answer == 'long':
            await asyncio.sleep(_READ_DELAY_SECONDS)
        while received := await response.read(_TIMEOUT_MS):
            body += received
    except UpstreamError as error:
        return error
    finally:
        connections.close()
    response.release()
    return body


@then('all responses are whole')
def all_whole(context):
    expected = _BODIES[context.answer]
    broken = [body for body in context.bodies if body != expected]
    assert not broken, [str(body)[:100] for body in broken]


@then('all responses are broken')
def all_broken(context):
    shown = [
        body for body in context.bodies if not isinstance(body, UpstreamError)
    ]
    assert not shown, [len(body) for body in shown]
