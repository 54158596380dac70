"""Steps for bounds on clients, on in-memory transports in virtual time."""

import anyio
from behave import given, then, when
from uvicorn import Config
from uvicorn.server import ServerState

from teaseldale.fakes import run_in_virtual_time
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.web import (
    CallerGoneError,
    ClientConnections,
    ClientLimits,
    Exchange,
    HeadLimits,
    NoRoomError,
)
from teaseldale.web._protocol import GuardedProtocol
from teaseldale.web.tests.steps_heads import MemoryTransport

_SIZE_BYTES = 50_000
_CONNECTION_BYTES = 8192
_HEAD_LIMITS = HeadLimits(
    head_bytes=16_384,
    head_timeout_ms=3000,
    idle_timeout_ms=15_000,
)
_HEAD = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'


class BoundedServer:
    """Reads whole bodies and answers after ``answer_seconds``."""

    def __init__(self, *, limit_bytes=2_000_000, connection_count=100):
        self.answer_seconds = 0
        self.outcomes = []
        self.budget = ByteBudget(limit_bytes=limit_bytes, metrics=Metrics())
        self.clients = ClientConnections(
            name='callers',
            limits=ClientLimits(connection_count=connection_count),
            budget=self.budget,
            metrics=Metrics(),
        )

    def connect(self):
        protocol = GuardedProtocol(
            config=Config(
                self._serve,
                lifespan='off',
                log_config=None,
                access_log=False,
                interface='asgi3',
            ),
            server_state=ServerState(),
            app_state={},
            on_refused=lambda refusal: None,
            limits=lambda: _HEAD_LIMITS,
            clients=self.clients,
        )
        protocol.connection_made(MemoryTransport())
        return protocol

    async def _serve(self, scope, receive, send):
        exchange = Exchange(scope=scope, receive=receive, send=send)
        try:
            await exchange.body(4_000_000)
        except NoRoomError:
            self.outcomes.append('refused')
            await exchange.answer(503, b'', ())
            return
        except CallerGoneError:
            self.outcomes.append('gone')
            return
        self.outcomes.append('served')
        await anyio.sleep(self.answer_seconds)
        await exchange.answer(200, b'', ())


def _head(size_bytes):
    return (
        b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
        % size_bytes
    )


async def _send_first(protocol, state):
    protocol.data_received(_head(_SIZE_BYTES))
    if state == 'is complete':
        protocol.data_received(b'x' * _SIZE_BYTES)
    elif state == 'stops just short':
        protocol.data_received(b'x' * (_SIZE_BYTES - 1))
    piece_bytes = {
        'goes on byte by byte': 1,
        'goes on at 20,000 bytes/s': 2000,
    }.get(state, 0)
    for _ in range(15):
        await anyio.sleep(0.1)
        if piece_bytes:
            protocol.data_received(b'x' * piece_bytes)


def _run(context, scenario):
    async def main():
        await scenario()
        context.transports = [
            (protocol.transport.is_closed, protocol.transport.written)
            for protocol in context.protocols
        ]

    run_in_virtual_time(main)


@given('a server that may hold {size} bytes for its clients')
def bounded_server(context, size):
    context.server = BoundedServer(limit_bytes=int(size.replace(',', '')))


@given('a server that may have {count:d} connections')
def few_connections(context, count):
    context.server = BoundedServer(connection_count=count)


@when('a request of 50,000 bytes is open whose body {state}')
def open_body(context, state):
    context.state = state


@when('another request of 50,000 bytes arrives after 1.5 s')
def another_arrives(context):
    async def scenario():
        server = context.server
        server.answer_seconds = 10
        context.protocols = [server.connect()]
        await _send_first(context.protocols[0], context.state)
        second = server.connect()
        context.protocols.append(second)
        context.before = list(server.outcomes)
        second.data_received(_head(_SIZE_BYTES) + b'x' * _SIZE_BYTES)
        await anyio.sleep(0.1)

    _run(context, scenario)


@then('the first request is {outcome}')
def first_request(context, outcome):
    _, written = context.transports[0]
    if outcome == 'open':
        assert not written, written
        assert context.before == context.server.outcomes[: len(context.before)]
        assert 'gone' not in context.server.outcomes
    else:
        assert written.startswith(b'HTTP/1.1 408'), written
        assert b'"not_run":true' in written, written


@then('the second request is {outcome}')
def second_request(context, outcome):
    _, written = context.transports[1]
    if outcome == 'served':
        assert 'served' in context.server.outcomes, context.server.outcomes
    else:
        assert written.startswith(b'HTTP/1.1 503'), written


@when('a request with {count} headers arrives')
def many_headers(context, count):
    async def scenario():
        protocol = context.server.connect()
        context.protocols = [protocol]
        lines = b'a:b\r\n' * int(count.replace(',', ''))
        protocol.data_received(_HEAD[:-2] + lines + b'\r\n')
        context.head_bytes = context.server.budget.held_bytes
        await anyio.sleep(0.1)
        context.held_bytes = context.server.budget.held_bytes

    _run(context, scenario)


@then('it is served and no bytes but those of its connection are held')
def served_and_freed(context):
    _, written = context.transports[0]
    assert written.startswith(b'HTTP/1.1 200'), written
    assert context.head_bytes > 2700 * 200, context.head_bytes
    assert context.held_bytes == _CONNECTION_BYTES, context.held_bytes


@when('40 requests arrive at once behind one that is being answered')
def many_pipelined(context):
    async def scenario():
        context.server.answer_seconds = 5
        protocol = context.server.connect()
        context.protocols = [protocol]
        protocol.data_received(_HEAD)
        await anyio.sleep(0.1)
        protocol.data_received(_HEAD * 40)

    _run(context, scenario)


@when('an idle client sends an empty line and nothing more for 15.1 s')
def empty_line(context):
    async def scenario():
        protocol = context.server.connect()
        context.protocols = [protocol]
        protocol.data_received(b'\r\n')
        await anyio.sleep(15.1)

    _run(context, scenario)


@then('the connection is closed')
def connection_closed(context):
    is_closed, _ = context.transports[0]
    assert is_closed


@when('one connection is served, two stay silent and a fourth is opened')
def fourth_opened(context):
    async def scenario():
        context.protocols = [context.server.connect()]
        context.protocols[0].data_received(_HEAD)
        for _ in range(2):
            await anyio.sleep(0.1)
            context.protocols.append(context.server.connect())
        assert context.server.clients.try_open()
        context.server.clients.note_opened()

    _run(context, scenario)


@then('the first silent one is closed and the others are open')
def first_silent_closed(context):
    closed = [is_closed for is_closed, _ in context.transports]
    assert closed == [False, True, False], closed
