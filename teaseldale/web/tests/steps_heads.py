"""Steps for head limits, on an in-memory transport in virtual time."""

import asyncio

import anyio
from behave import given, then, when
from uvicorn import Config
from uvicorn.server import ServerState

from teaseldale.fakes import run_in_virtual_time
from teaseldale.web._exchange import Exchange
from teaseldale.web._head_limits import HeadLimits
from teaseldale.web._protocol import GuardedProtocol

_HEAD_START = b'GET /a HTTP/1.1\r\nhost: h\r\nx-pad: '
_HEAD_END = b'\r\n\r\n'
_COMPLETE_HEAD = _HEAD_START + b'a' + _HEAD_END
_STATUSES = {
    'head_too_large': b'431 Request Header Fields Too Large',
    'request_too_slow': b'408 Request Timeout',
    'bad_request': b'400 Bad Request',
}


class MemoryTransport(asyncio.Transport):
    """In-memory transport that records the bytes a server writes."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.is_closed = False

    def get_extra_info(self, name, default=None):
        return default

    def set_write_buffer_limits(self, high=None, low=None):
        self.high_bytes = high

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.has_ended = True

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = True

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class ServerConnection:
    """A connection to a server that responds after ``answer_seconds``."""

    def __init__(self):
        self.limits = HeadLimits()
        self.served_count = 0
        self.answer_seconds = 0
        self.refusals = []

    def open(self):
        config = Config(
            self._serve,
            lifespan='off',
            log_config=None,
            access_log=False,
            interface='asgi3',
        )
        self.transport = MemoryTransport()
        self.protocol = GuardedProtocol(
            config=config,
            server_state=ServerState(),
            app_state={},
            on_refused=self.refusals.append,
            limits=lambda: self.limits,
        )
        self.protocol.connection_made(self.transport)

    def send(self, received):
        self.protocol.data_received(received)

    async def _serve(self, scope, receive, send):
        self.served_count += 1
        self.waited_ms = Exchange(
            scope=scope,
            receive=receive,
            send=send,
        ).waited_ms
        await anyio.sleep(self.answer_seconds)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'0')],
            },
        )
        await send({'type': 'http.response.body', 'body': b''})


def _head_of(size_bytes):
    return (
        _HEAD_START
        + b'a' * (size_bytes - len(_HEAD_START) - len(_HEAD_END))
        + _HEAD_END
    )


async def _send_slowly(connection, seconds):
    connection.send(_HEAD_START)
    await anyio.sleep(seconds)
    connection.send(b'a' + _HEAD_END)
    await anyio.sleep(0.1)


async def _send_endless(connection):
    connection.send(_HEAD_START)
    for _ in range(11):
        connection.send(b'a' * 100)
    await anyio.sleep(0.1)


async def _send_during_response(connection):
    connection.answer_seconds = 4
    connection.send(_COMPLETE_HEAD)
    await anyio.sleep(0.1)
    await _send_slowly(connection, 3.1)
    await anyio.sleep(8)
    assert connection.served_count == 2, connection.served_count


async def _send_at_once(connection, head):
    connection.send(head)
    await anyio.sleep(0.1)


_HEADS = {
    'has 1,000 bytes': lambda connection: _send_at_once(
        connection, _head_of(1000)
    ),
    'has 1,001 bytes': lambda connection: _send_at_once(
        connection, _head_of(1001)
    ),
    'has one endless header': _send_endless,
    'takes 2.9 s': lambda connection: _send_slowly(connection, 2.9),
    'takes 3.1 s': lambda connection: _send_slowly(connection, 3.1),
    'takes 3.1 s behind an answer under way': _send_during_response,
    'has two hosts': lambda connection: _send_at_once(
        connection, _HEAD_START + b'a\r\nhost: other' + _HEAD_END
    ),
}


async def _stay_idle(connection, seconds, *, after_answer):
    if after_answer:
        await _send_at_once(connection, _COMPLETE_HEAD)
        seconds -= 0.1
    await anyio.sleep(seconds)


async def _answer_slowly(connection):
    connection.answer_seconds = 30
    connection.send(_COMPLETE_HEAD)
    await anyio.sleep(20)


_CONNECTIONS = {
    'sends nothing for 14.9 s': (14.9, False),
    'sends nothing for 15.1 s': (15.1, False),
    'is idle for 14.9 s after an answer': (14.9, True),
    'is idle for 15.1 s after an answer': (15.1, True),
}


def _run_in_virtual_time(context, action):
    async def main():
        context.connection.open()
        await action(context.connection)
        # The end of the virtual-time run closes the transport.
        context.was_closed = context.connection.transport.is_closed

    run_in_virtual_time(main)


@given('limits of 1,000 bytes and 3 s for a head and 15 s for idleness')
def limits(context):
    context.connection = ServerConnection()
    context.connection.limits = HeadLimits(
        head_bytes=1000,
        head_timeout_ms=3000,
        idle_timeout_ms=15_000,
    )


@when('a caller sends a head that {case}')
def send_head(context, case):
    _run_in_virtual_time(context, _HEADS[case])


@when('a caller sends the first half of a head 200 ms before the second')
def send_in_halves(context):
    _run_in_virtual_time(
        context,
        lambda connection: _send_slowly(connection, 0.2),
    )


@then(
    'its exchange has waited for at least {waited_ms:d} ms when its task runs'
)
def has_waited(context, waited_ms):
    assert context.connection.waited_ms >= waited_ms


@when("a caller's connection is served once")
def served_once(context):
    context.steps = [
        lambda connection: _send_at_once(connection, _COMPLETE_HEAD)
    ]


@when('the size limit of heads changes to {size:d} bytes')
def change_limit(context, size):
    async def change(connection):
        connection.limits = HeadLimits(head_bytes=size)

    context.steps.append(change)


@when('the same connection sends a head of {size:d} bytes')
def send_again(context, size):
    context.steps.append(
        lambda connection: _send_at_once(connection, _head_of(size))
    )

    async def action(connection):
        for step in context.steps:
            await step(connection)

    _run_in_virtual_time(context, action)


@when("a caller's connection has its answer under way for 20 s")
def answer_under_way(context):
    _run_in_virtual_time(context, _answer_slowly)


@when("a caller's connection {case}")
def keep_connection(context, case):
    seconds, after_answer = _CONNECTIONS[case]
    _run_in_virtual_time(
        context,
        lambda connection: _stay_idle(
            connection, seconds, after_answer=after_answer
        ),
    )


@then('it is served')
def is_served(context):
    assert context.connection.served_count >= 1
    assert not context.connection.refusals, context.connection.refusals
    assert context.connection.transport.written.startswith(b'HTTP/1.1 200')


@then('it is refused with {status:d} {code}')
def is_refused(context, status, code):
    connection = context.connection
    assert _STATUSES[code].startswith(b'%d' % status)
    last = connection.transport.written.rpartition(b'HTTP/1.1 ')[2]
    assert last.startswith(_STATUSES[code]), connection.transport.written
    assert b'"not_run":true' in last, last
    assert [refusal.code for refusal in connection.refusals] == [code]


@then('it is still open')
def is_open(context):
    assert not context.was_closed


@then('it is closed')
def is_closed(context):
    assert context.was_closed
