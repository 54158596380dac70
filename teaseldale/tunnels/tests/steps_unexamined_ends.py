"""Steps for a relaying VM whose examination of an end fails with an error."""

import asyncio

import anyio
from behave import given, then, when

from teaseldale.fakes import (
    FakeTcpFabric,
    FakeTcpNetwork,
    VirtualClock,
    run_in_virtual_time,
)
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.tunnels import RunnerPaths, TunnelServer
from teaseldale.tunnels._handshake import (
    LAST_CHUNK,
    TunnelRequest,
    encode_request,
)
from teaseldale.tunnels.tests.steps_tunnels import RecordingPolicy
from teaseldale.upstreams import HeldConnection

_RUNNER = ('10.0.0.9', 80)
_RELAY = ('10.0.0.2', 7340)
_ANSWER = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody'


class _ProbelessNetwork(FakeTcpNetwork):
    """Raises an error that is none of the network for each probe."""

    async def dial(self, make_protocol, address, *, timeout_ms):
        if make_protocol is HeldConnection:
            raise ValueError('a defect')
        return await super().dial(make_protocol, address, timeout_ms=timeout_ms)


class _Runner(asyncio.Protocol):
    """Answers at once and closes."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, received):
        self._transport.write(_ANSWER)
        self._transport.close()


class _AskingVm(asyncio.Protocol):
    """Records what arrives through a tunnel, and when it ends."""

    def __init__(self):
        self.received = b''
        self.answered_at = None
        self.lost_at = None
        self.error = None

    def data_received(self, received):
        self.received += received
        self.answered_at = asyncio.get_running_loop().time()

    def eof_received(self):
        return True

    def connection_lost(self, error):
        self.error = error
        self.lost_at = asyncio.get_running_loop().time()


@given('a relaying VM that cannot examine ends')
def probeless_relay(context):
    context.fabric = FakeTcpFabric()
    metrics = Metrics()
    policy = RecordingPolicy()
    policy.registered.add(_RUNNER)
    context.server = TunnelServer(
        address=_RELAY,
        network=_ProbelessNetwork(fabric=context.fabric, host='relay'),
        policy=policy,
        paths=RunnerPaths(clock=VirtualClock(), metrics=metrics),
        held_bytes=ByteBudget(limit_bytes=1_000_000, metrics=metrics),
        metrics=metrics,
    )


@when('a runner ends a response without a length through the tunnel of {vm}')
def end_through_tunnel(context, vm):
    async def scenario():
        runner = FakeTcpNetwork(fabric=context.fabric, host='runner')
        await runner.listen(_Runner, _RUNNER)
        async with anyio.create_task_group() as tasks:
            await context.server.start(tasks)
            network = FakeTcpNetwork(fabric=context.fabric, host='vm')
            transport, context.vm = await network.dial(
                _AskingVm,
                _RELAY,
                timeout_ms=100,
            )
            request = TunnelRequest(
                address=_RUNNER,
                accepts_chunks=vm != 'an older VM',
            )
            transport.write(encode_request(request))
            await asyncio.sleep(0.05)
            transport.write(b'GET / HTTP/1.1\r\n\r\n')
            await asyncio.sleep(1)
            context.left = [each.hosts for each in context.fabric.transports]
            context.tunnel_count = context.server.open_count
            tasks.cancel_scope.cancel()

    run_in_virtual_time(scenario)


@then('the tunnel is reset within {limit_ms:d} ms, without a last chunk')
def tunnel_reset(context, limit_ms):
    vm = context.vm
    assert b'body' in vm.received, vm.received
    assert not vm.received.endswith(LAST_CHUNK), vm.received
    assert isinstance(vm.error, ConnectionResetError), vm.error
    assert vm.lost_at - vm.answered_at <= limit_ms / 1000


@then('the relaying VM has no connection and no tunnel')
def nothing_left(context):
    assert not context.left, context.left
    assert not context.tunnel_count, context.tunnel_count
