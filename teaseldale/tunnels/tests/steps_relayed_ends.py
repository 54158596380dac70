"""Steps for ends of relayed responses, in virtual time on TCP in memory."""

import asyncio
import random

import anyio
import httpcore
from behave import given, then, when

from teaseldale.fakes import (
    FakeTcpFabric,
    FakeTcpNetwork,
    VirtualClock,
    run_in_virtual_time,
)
from teaseldale.members import FixedMembers, VmEntry
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.tunnels import (
    BaseRelayPolicy,
    RelayChoice,
    RelayingConnector,
    RunnerPaths,
    TunnelClient,
    TunnelServer,
)
from teaseldale.upstreams import (
    SURVIVAL_MS,
    DirectConnector,
    RunnerConnections,
)

_RUNNER = ('10.0.0.9', 80)
_RELAY = ('10.0.0.2', 7340)
_OTHER_RELAY = ('10.0.0.3', 7340)
_HALF = b'half of it,'
_BODY = _HALF + b' and the rest'
_HEAD = b'HTTP/1.1 200 OK\r\n'
# A new connection is held for ``SURVIVAL_MS``, and all messages take a while.
_EXAMINATION_SECONDS = (SURVIVAL_MS + 20) / 1000
_OPTIONS = b'HTTP/1.1 204 No Content\r\n\r\n'
_OLDER_REQUEST = b'CONNECT 10.0.0.9:80 HTTP/1.1\r\n\r\n'
# First half, second half and end of a response.
_RESPONSES = {
    'without a length': (
        _HEAD + b'connection: close\r\n\r\n' + _HALF,
        _BODY[len(_HALF) :],
    ),
    'with a length': (
        _HEAD + b'content-length: %d\r\n\r\n' % len(_BODY) + _HALF,
        _BODY[len(_HALF) :],
    ),
    'in chunks': (
        _HEAD
        + b'transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n'
        % (len(_HALF), _HALF),
        b'%x\r\n%b\r\n0\r\n\r\n'
        % (len(_BODY) - len(_HALF), _BODY[len(_HALF) :]),
    ),
}


class _OpenPolicy(BaseRelayPolicy):
    def __init__(self, network):
        self._connections = RunnerConnections(
            address=_RUNNER,
            connector=DirectConnector(network=network),
            clock=VirtualClock(),
            metrics=Metrics(),
        )

    def is_registered(self, address):
        return True

    def is_paused(self, address):
        return False

    def witness_of(self, address):
        return self._connections.witness

    def note_answer(self, address, status, headers):
        """Ignores answers."""


class _Runner(asyncio.Protocol):
    """Answers half of the body at once and the rest after 100 ms."""

    def __init__(self, world):
        self._world = world
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, received):
        if received.startswith(b'OPTIONS'):
            self._transport.write(_OPTIONS)
            return
        halves = _RESPONSES[self._world.framing]
        self._transport.write(halves[0])
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, self._finish, halves[1])

    def _finish(self, half):
        self._transport.write(half)
        self._transport.close()


class _OlderRelay(asyncio.Protocol):
    """Opens any tunnel and forwards bytes only, as earlier builds did."""

    def __init__(self, network):
        self._network = network
        self._transport = None
        self._runner = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, received):
        if self._runner is None:
            self._task = asyncio.ensure_future(self._open())
        else:
            self._runner.write(received)

    async def _open(self):
        self._runner, _ = await self._network.dial(
            lambda: _Forwarder(self._transport),
            _RUNNER,
            timeout_ms=100,
        )
        self._transport.write(b'HTTP/1.1 200 OPEN\r\n\r\n')


class _Forwarder(asyncio.Protocol):
    def __init__(self, target):
        self._target = target

    def data_received(self, received):
        self._target.write(received)

    def connection_lost(self, error):
        self._target.close()


class RelayedWorld:
    """A VM that is cut off from a runner, and one that relays to it."""

    def __init__(self, *, is_older):
        self.is_older = is_older
        self.framing = ''
        self.event = ''
        self.fabric = FakeTcpFabric()

    async def start(self, tasks):
        self.listener = await self._listen('runner')
        relay = FakeTcpNetwork(fabric=self.fabric, host='relay')
        if self.is_older:
            await relay.listen(lambda: _OlderRelay(relay), _RELAY)
        else:
            await _server(relay, _RELAY).start(tasks)
        self.tasks = tasks

    async def _listen(self, host):
        network = FakeTcpNetwork(fabric=self.fabric, host=host)
        return await network.listen(lambda: _Runner(self), _RUNNER)

    def connector(self):
        network = FakeTcpNetwork(fabric=self.fabric, host='vm')
        paths = RunnerPaths(clock=VirtualClock(), metrics=Metrics())
        paths.mark_cut(_RUNNER, is_silent=True)
        return RelayingConnector(
            direct=DirectConnector(network=network),
            tunnels=_client(network),
            paths=paths,
            clock=VirtualClock(),
        )

    async def bring_about(self):
        """Lets the event of the scenario happen."""
        if 'halfway' in self.event:
            await asyncio.sleep(0.05)
        else:
            await asyncio.sleep(0.114)
        if self.event.endswith('after its end'):
            await asyncio.sleep(_EXAMINATION_SECONDS)
        if 'runner crashes' in self.event:
            self.listener.close()
            self.fabric.kill('runner')
            if 'next process' in self.event:
                await self._listen('next runner')
        elif 'killed' in self.event:
            self.fabric.kill('relay')
            other = FakeTcpNetwork(fabric=self.fabric, host='other relay')
            await _server(other, _OTHER_RELAY).start(self.tasks)


def _server(network, address):
    metrics = Metrics()
    return TunnelServer(
        address=address,
        network=network,
        policy=_OpenPolicy(network),
        paths=RunnerPaths(clock=VirtualClock(), metrics=metrics),
        held_bytes=ByteBudget(limit_bytes=1_000_000, metrics=metrics),
        metrics=metrics,
    )


def _client(network):
    entries = {
        address[0]: VmEntry(
            address='{0}:{1}'.format(*address),
            incarnation='1',
        )
        for address in (_RELAY, _OTHER_RELAY)
    }
    return TunnelClient(
        network=network,
        choice=RelayChoice(
            members=FixedMembers(entries=entries),
            vm_name='vm',
            clock=VirtualClock(),
            random_source=random.Random(1),
        ),
        metrics=Metrics(),
    )


async def _read(world):
    """Returns the body, or None if the response is broken."""
    channel = await world.connector().connect(_RUNNER, timeout_ms=1000)
    channel.protocol.expect()
    channel.transport.write(b'GET / HTTP/1.1\r\n\r\n')
    body = b''
    try:
        await channel.protocol.wait_for_head(1)
        while received := await channel.protocol.read(1):
            body += received
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    return body


@given('a VM that reaches a runner only through a relaying VM')
def relayed_world(context):
    context.world = RelayedWorld(is_older=False)


@given('a VM that reaches a runner only through an older relaying VM')
def older_world(context):
    context.world = RelayedWorld(is_older=True)


@when('the runner answers {framing}, and {event}')
def runner_answers(context, framing, event):
    world = context.world
    world.framing = framing
    world.event = event

    async def scenario():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            tasks.start_soon(world.bring_about)
            context.body = await _read(world)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(scenario)


@then('the response is whole')
def response_whole(context):
    assert context.body == _BODY, context.body


@then('the response is broken')
def response_broken(context):
    assert context.body is None, context.body


class _Collector(asyncio.Protocol):
    def __init__(self):
        self.received = b''

    def data_received(self, received):
        self.received += received


@when('it asks for a tunnel as an older VM does, and the runner answers')
def ask_as_older_vm(context):
    world = context.world
    world.framing = 'without a length'

    async def scenario():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            network = FakeTcpNetwork(fabric=world.fabric, host='vm')
            transport, context.collector = await network.dial(
                _Collector,
                _RELAY,
                timeout_ms=100,
            )
            transport.write(_OLDER_REQUEST)
            await asyncio.sleep(0.05)
            transport.write(b'GET / HTTP/1.1\r\n\r\n')
            await asyncio.sleep(0.5)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(scenario)


@then('it receives the bytes of the runner unchanged')
def bytes_unchanged(context):
    sent = b''.join(_RESPONSES['without a length'])
    expected = b'HTTP/1.1 200 OPEN\r\n\r\n' + sent
    assert context.collector.received == expected, context.collector.received
