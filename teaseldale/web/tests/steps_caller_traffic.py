"""Steps for the counters of callers' bytes, on an in-memory transport."""

import anyio
from behave import then, when
from uvicorn import Config
from uvicorn.server import ServerState

from teaseldale.fakes import run_in_virtual_time
from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.web import Exchange
from teaseldale.web._head_limits import HeadLimits
from teaseldale.web._protocol import GuardedProtocol
from teaseldale.web.tests.steps_heads import MemoryTransport


async def _serve(scope, receive, send):
    exchange = Exchange(scope=scope, receive=receive, send=send)
    await exchange.body(10_000)
    await exchange.answer(200, b'answer', ())


class _CountedServer:
    def __init__(self):
        self.metrics = Metrics()
        self.received_bytes = 0
        self.sent_bytes = 0

    async def exchange(self, *pieces):
        transport = MemoryTransport()
        protocol = GuardedProtocol(
            config=Config(
                _serve,
                lifespan='off',
                log_config=None,
                access_log=False,
                interface='asgi3',
            ),
            server_state=ServerState(),
            app_state={},
            on_refused=lambda refusal: None,
            limits=HeadLimits,
            traffic=PeerTraffic(metrics=self.metrics, peer='caller'),
        )
        protocol.connection_made(transport)
        for piece in pieces:
            protocol.data_received(piece)
            await anyio.sleep(0.01)
        assert transport.written.startswith(b'HTTP/1.1'), transport.written
        self.received_bytes += sum(map(len, pieces))
        self.sent_bytes += len(transport.written)
        protocol.connection_lost(None)


@when(
    'callers send {count:d} requests with bodies of {size} bytes, each on its '
    'own connection'
)
def send_requests(context, count, size):
    body_bytes = int(size.replace(',', ''))

    async def scenario():
        for _ in range(count):
            await context.server.exchange(
                b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
                % body_bytes,
                b'x' * body_bytes,
            )

    context.server = _CountedServer()
    run_in_virtual_time(scenario)


@when('a caller sends a malformed head and {size} bytes after it')
def send_malformed(context, size):
    async def scenario():
        await context.server.exchange(
            b'GET /a HTTP/1.1\r\nhost: h\r\nhost: h\r\n\r\n',
            b'x' * int(size.replace(',', '')),
        )

    context.server = _CountedServer()
    run_in_virtual_time(scenario)


@then('{count:d} connections and all bytes in both directions are counted')
def all_counted(context, count):
    server = context.server
    value = server.metrics.counter_value
    assert value('caller_connections') == count, server.metrics.render()
    assert value('caller_bytes_received') == server.received_bytes
    assert value('caller_bytes_sent') == server.sent_bytes
    assert server.sent_bytes > 0


async def _refuse(scope, receive, send):
    exchange = Exchange(scope=scope, receive=receive, send=send)
    await exchange.answer_unread(503, b'refused', ((b'connection', b'close'),))


def _open_refusing():
    transport = MemoryTransport()
    protocol = GuardedProtocol(
        config=Config(
            _refuse,
            lifespan='off',
            log_config=None,
            access_log=False,
            interface='asgi3',
        ),
        server_state=ServerState(),
        app_state={},
        on_refused=lambda refusal: None,
        limits=HeadLimits,
    )
    protocol.connection_made(transport)
    protocol.data_received(
        b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 4000\r\n\r\n',
    )
    return transport, protocol


@when('a request is refused before its body of {count:d} parts has arrived')
def refuse_before_body(context, count):
    async def scenario():
        transport, protocol = _open_refusing()
        context.closed = []
        for _ in range(count):
            await anyio.sleep(0.1)
            if not context.closed:
                context.first_written = transport.written
            context.closed.append(transport.is_closed)
            protocol.data_received(b'x' * (4000 // count))
        await anyio.sleep(0.1)
        context.closed.append(transport.is_closed)
        protocol.connection_lost(None)

    run_in_virtual_time(scenario)


@then('the caller has the whole refusal before its second part is sent')
def has_refusal(context):
    assert context.first_written.startswith(b'HTTP/1.1 503 ')
    assert context.first_written.endswith(b'refused'), context.first_written


@then('the connection is closed only after the last part')
def closed_last(context):
    *before, last = context.closed
    assert last and not any(before), context.closed


@when('a request is refused before its body arrives, which never does')
def refuse_endless(context):
    async def scenario():
        transport, protocol = _open_refusing()
        await anyio.sleep(0.9)
        context.closed = [transport.is_closed]
        await anyio.sleep(0.2)
        context.closed.append(transport.is_closed)
        protocol.connection_lost(None)

    run_in_virtual_time(scenario)


@then('the connection is closed after 1 s')
def closed_in_time(context):
    assert context.closed == [False, True], context.closed
