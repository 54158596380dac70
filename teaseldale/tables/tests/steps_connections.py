"""Steps for a table service on loopback behind a relay."""

import anyio
from behave import given, then, when

from benchmarks.fleet import free_port
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.peers.tests.relay import Relay
from teaseldale.tables import HttpTableService

_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull'
_TIMEOUT_MS = 1500


class _Service:
    """Answers each read with "null", but blocks reads of ``hold_keys``."""

    def __init__(self):
        self.port = free_port()
        self.metrics = Metrics()
        self.relay = Relay(listen_port=free_port(), target_port=self.port)
        self.barrier = anyio.Event()
        self.waiting_count = 0
        self.hold_keys = set()

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.port
        )
        task_status.started()
        await listener.serve(self._serve)

    async def _serve(self, stream):
        closed = (anyio.EndOfStream, anyio.BrokenResourceError)
        try:
            while True:
                head = await stream.receive()
                if any(key in head for key in self.hold_keys):
                    self.waiting_count += 1
                    await self.barrier.wait()
                await stream.send(_ANSWER)
        except closed:
            return

    def client(self):
        return HttpTableService(
            base_url=f'http://127.0.0.1:{self.relay.listen_port}',
            timeout_ms=_TIMEOUT_MS,
            metrics=self.metrics,
        )

    async def fill_pool(self, client, count):
        """Opens ``count`` connections with as many concurrent reads."""
        self.hold_keys = {b'key=fill'}
        async with anyio.create_task_group() as reads:
            for _ in range(count):
                reads.start_soon(_read, client, 'fill')
            while self.waiting_count < count:
                await anyio.sleep(0.01)
            self.barrier.set()
        self.barrier = anyio.Event()
        self.waiting_count = 0
        self.hold_keys = set()


async def _read(client, key):
    assert await client.read(table='t', key=key) is None


async def _run(context, test_body):
    service = _Service()
    async with anyio.create_task_group() as tasks:
        await tasks.start(service.run)
        await tasks.start(service.relay.run)
        client = service.client()
        await service.fill_pool(client, context.connection_count)
        await test_body(service, client)
        tasks.cancel_scope.cancel()
    context.metrics = service.metrics


@given('a table service behind a relay and {count:d} connections in the pool')
def with_connections(context, count):
    context.connection_count = count


@when('the relay stops forwarding data on the open connections')
def silence(context):
    context.failure_count = 0
    context.answer_count = 0

    async def test_body(service, client):
        assert service.relay.connection_count == context.connection_count
        service.relay.silence()
        try:
            await _read(client, 'first')
        except PlatformError:
            context.failure_count += 1
        for number in range(context.connection_count):
            await _read(client, str(number))
            context.answer_count += 1

    anyio.run(_run, context, test_body)


@then('one read times out and the next {count:d} reads succeed')
def answered(context, count):
    assert context.failure_count == 1, context.failure_count
    assert context.answer_count == count, context.answer_count


@then('the failed read is counted with its reason')
def counted(context):
    failed = context.metrics.counter_value(
        'platform_call_failed', 'ReadTimeout'
    )
    assert failed == 1, context.metrics.render()
    assert context.metrics.counter_value('platform_connections_renewed') == 1


@when('one read times out while another read is slow')
def one_late(context):
    context.late = []

    async def test_body(service, client):
        async def read_late():
            await _read(client, 'late')
            context.late.append('answered')

        service.hold_keys = {b'key=late', b'key=silent'}
        async with anyio.create_task_group() as reads:
            reads.start_soon(_read_blocked, client)
            await anyio.sleep(_TIMEOUT_MS / 1000 * 0.8)
            reads.start_soon(read_late)
            while not service.metrics.counter_value('platform_call_failed'):
                failed = service.metrics.counter_value(
                    'platform_connections_renewed'
                )
                if failed:
                    break
                await anyio.sleep(0.01)
            service.barrier.set()

    anyio.run(_run, context, test_body)


async def _read_blocked(client):
    try:
        await _read(client, 'silent')
    except PlatformError:
        return
    raise AssertionError('a blocked read was answered')


@then('the slow read still succeeds')
def arrived(context):
    assert context.late == ['answered'], context.late
