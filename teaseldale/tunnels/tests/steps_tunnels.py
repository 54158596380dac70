"""Steps for tunnels, on loopback."""

import asyncio
import contextlib
import random
import socket
import struct

import anyio
from behave import given, then, when

from teaseldale.clock import SystemClock
from teaseldale.members import FixedMembers, VmEntry
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.tunnels import (
    BaseRelayPolicy,
    RelayChoice,
    RunnerPaths,
    TunnelClient,
    TunnelServer,
)
from teaseldale.upstreams import SystemTcpNetwork

_REQUEST = b'a request'
_ANSWER = b'the answer'
_HTTP_ANSWERS = {
    'answers 503 in one piece': (
        b'HTTP/1.1 503 No\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n',
    ),
    'answers 503 byte by byte': tuple(
        bytes((byte,))
        for byte in b'HTTP/1.1 503 No\r\nRetry-After: 2\r\n'
        b'Content-Length: 0\r\n\r\n'
    ),
    'answers 100 and then 503': (
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 503 No\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n',
    ),
}
_MANY_BYTES = 1_048_576
_BUDGET_BYTES = 160_000_000
_READ_TIMEOUT_S = 3
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LoopbackRunner:
    """Reads one request and acts on it."""

    def __init__(self, action):
        self.action = action
        self.ended = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = self._server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        await reader.readexactly(len(_REQUEST))
        if self.action == 'waits':
            with contextlib.suppress(OSError):
                await reader.read(1)
            self.ended.set()
            writer.close()
            return
        if self.action in _HTTP_ANSWERS:
            for part in _HTTP_ANSWERS[self.action]:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.002)
        elif self.action.startswith('sends a MB'):
            writer.write(bytes(_MANY_BYTES))
        else:
            writer.write(_ANSWER)
        await writer.drain()
        if self.action == 'answers and closes':
            writer.close()
        elif self.action == 'answers and resets':
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_ON_CLOSE,
            )
            writer.transport.abort()

    def close(self):
        self._server.close()


class Recorder(asyncio.Protocol):
    """Records what a connection receives."""

    def __init__(self):
        self.received = b''
        self.has_ended = False
        self.lost_by = None
        self.lost = asyncio.Event()

    def data_received(self, received):
        self.received += received

    def eof_received(self):
        self.has_ended = True
        return False

    def connection_lost(self, error):
        self.lost_by = error
        self.lost.set()


class RecordingPolicy(BaseRelayPolicy):
    """Relays to registered runners and records the heads of answers."""

    def __init__(self):
        self.registered = set()
        self.paused = set()
        self.heads = []

    def is_registered(self, address):
        return address in self.registered

    def is_paused(self, address):
        return address in self.paused

    def witness_of(self, address):
        return None

    def note_answer(self, address, status, headers):
        self.heads.append((status, headers))


class RelayingVm:
    """A VM that opens tunnels, and one that asks it for them."""

    def __init__(self):
        self.metrics = Metrics()
        self.paths = RunnerPaths(clock=SystemClock(), metrics=self.metrics)
        self.held_bytes = ByteBudget(
            limit_bytes=_BUDGET_BYTES,
            metrics=self.metrics,
        )
        self.network = SystemTcpNetwork()
        self.policy = RecordingPolicy()

    async def start(self, tasks):
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            self.address = free.getsockname()
        self.server = TunnelServer(
            address=self.address,
            network=self.network,
            policy=self.policy,
            paths=self.paths,
            held_bytes=self.held_bytes,
            metrics=self.metrics,
        )
        await self.server.start(tasks)
        self.client = TunnelClient(
            network=self.network,
            choice=RelayChoice(
                members=FixedMembers(
                    entries={
                        'relay': VmEntry(
                            address='{0}:{1}'.format(*self.address),
                            incarnation='1',
                        ),
                    },
                ),
                vm_name='vm',
                clock=SystemClock(),
                random_source=random.Random(1),
            ),
            metrics=self.metrics,
        )


def play(context, scenario):
    async def run():
        context.runner = LoopbackRunner(context.action)
        await context.runner.start()
        context.vm = RelayingVm()
        async with anyio.create_task_group() as tasks:
            await context.vm.start(tasks)
            context.vm.policy.registered.add(context.runner.address)
            await scenario()
            await asyncio.sleep(0.05)
            context.open_count = context.vm.server.open_count
            await context.vm.server.stop()
            tasks.cancel_scope.cancel()

    asyncio.run(run())


@given('a relaying VM before a runner that {action}')
def relaying_vm(context, action):
    context.action = action


async def open_tunnel(context):
    tunnel = await context.vm.client.open(
        context.runner.address,
        timeout_ms=1000,
    )
    context.recorder = Recorder()
    tunnel.attach(context.recorder)
    tunnel.transport.write(_REQUEST)
    return tunnel.transport


@when('another VM opens a tunnel and sends a request')
def use_tunnel(context):
    async def scenario():
        tunnel = await open_tunnel(context)
        if context.action.endswith('slow reader'):
            tunnel.pause_reading()
            await asyncio.sleep(0.2)
            tunnel.resume_reading()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await context.recorder.lost.wait()
        tunnel.abort()

    play(context, scenario)


@then('it receives {what}')
def receives(context, what):
    recorder = context.recorder
    if what == 'a MB':
        assert len(recorder.received) == _MANY_BYTES, len(recorder.received)
    elif what == 'all of it':
        whole = b''.join(_HTTP_ANSWERS[context.action])
        assert recorder.received == whole, recorder.received
    elif what == 'a reset':
        assert isinstance(recorder.lost_by, ConnectionError), recorder.lost_by
        assert not recorder.has_ended
    else:
        assert recorder.received == _ANSWER, recorder.received
        assert recorder.has_ended is what.endswith('end')


@then('the relaying VM has read {what}')
def relay_has_read(context, what):
    heads = context.vm.policy.heads
    if what == 'no answer':
        assert not heads, heads
        return
    (head,) = heads
    status, headers = head
    assert status == 503, head
    assert dict(headers)[b'retry-after'] == b'2', head


@when('another VM opens a tunnel, sends a request and closes it')
def close_tunnel(context):
    async def scenario():
        tunnel = await open_tunnel(context)
        await asyncio.sleep(0.05)
        assert context.vm.server.open_count == 1
        tunnel.abort()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await context.runner.ended.wait()
        context.has_ended = context.runner.ended.is_set()

    play(context, scenario)


@then("the runner's connection has ended within 200 ms")
def runner_ended(context):
    assert context.has_ended


@then('the relaying VM has no tunnel left')
def none_left(context):
    assert context.open_count == 0, context.open_count


async def send_head(context, head):
    """Returns what the relaying VM answers until it closes."""
    reader, writer = await asyncio.open_connection(*context.vm.address)
    writer.write(head)
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await reader.read()
    except ConnectionError:
        return b''
    finally:
        writer.close()


@when('a request for a tunnel {case}')
def request_tunnel(context, case):
    async def scenario():
        address = context.runner.address
        if case == 'names an unregistered runner':
            context.vm.policy.registered.clear()
        elif case == 'names a runner that has ended':
            context.runner.close()
        elif case == 'comes while the VM drains':
            await context.vm.server.drain()
        elif case == 'is for a runner that asks for a pause':
            context.vm.policy.paused.add(address)
        elif case == 'comes while the VM holds too many bytes':
            context.vm.held_bytes.hold(_BUDGET_BYTES)
        elif case == "comes while the VM's path is cut":
            context.vm.paths.mark_cut(address, is_silent=True)
        head = b'CONNECT %b:%d HTTP/1.1\r\n\r\n' % (
            address[0].encode(),
            address[1],
        )
        heads = {
            'is no request for a tunnel': b'GET / HTTP/1.1\r\n\r\n',
            'has a head without end': b'CONNECT ' + b'1' * 5000,
            'stops inside its head': head[:-2],
        }
        context.answer = await send_head(context, heads.get(case, head))

    play(context, scenario)


@then('it is answered with {answer}')
def answered_with(context, answer):
    if answer == 'a closed connection':
        assert context.answer == b'', context.answer
    else:
        assert answer.encode() in context.answer, context.answer
