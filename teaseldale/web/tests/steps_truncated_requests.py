"""Steps for request bodies, on an in-memory transport in virtual time."""

import anyio
from behave import given, then, when
from uvicorn import Config
from uvicorn.server import ServerState

from teaseldale.fakes import run_in_virtual_time
from teaseldale.web import Exchange
from teaseldale.web._exchange import CallerGoneError
from teaseldale.web._head_limits import HeadLimits
from teaseldale.web._protocol import GuardedProtocol
from teaseldale.web.tests.steps_heads import MemoryTransport

_LIMIT_BYTES = 1000
_HEAD = b'POST /a HTTP/1.1\r\nhost: h\r\n'
_SENT = {
    ('with a length', 'before its last byte'): b'bod',
    ('with a length', 'after its last byte'): b'body',
    ('in chunks', 'before its last chunk'): b'4\r\nbody\r\n',
    ('in chunks', 'inside a chunk'): b'4\r\nbo',
    ('in chunks', 'after its last chunk'): b'4\r\nbody\r\n0\r\n\r\n',
}
_FRAMING_HEADERS = {
    'with a length': b'content-length: 4\r\n\r\n',
    'in chunks': b'transfer-encoding: chunked\r\n\r\n',
}


class _ReadingServer:
    """Records the bodies of requests, and callers that left before."""

    def __init__(self):
        self.bodies = []
        self.gone_count = 0

    async def serve(self, scope, receive, send):
        exchange = Exchange(scope=scope, receive=receive, send=send)
        try:
            self.bodies.append(await exchange.body(_LIMIT_BYTES))
        except CallerGoneError:
            self.gone_count += 1


@given('a caller that sends a body {framing}')
def caller_sends(context, framing):
    context.framing = framing


@when('the connection ends {end}')
def connection_ends(context, end):
    context.server = _ReadingServer()

    async def scenario():
        protocol = GuardedProtocol(
            config=Config(
                context.server.serve,
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
        protocol.connection_made(MemoryTransport())
        head = _HEAD + _FRAMING_HEADERS[context.framing]
        protocol.data_received(head + _SENT[context.framing, end])
        await anyio.sleep(1)
        protocol.eof_received()
        protocol.connection_lost(None)
        await anyio.sleep(1)

    run_in_virtual_time(scenario)


@then('the request is not read')
def not_read(context):
    assert context.server.bodies == [], context.server.bodies
    assert context.server.gone_count == 1


@then('the request is read')
def was_read(context):
    assert context.server.bodies == [b'body'], context.server.bodies
