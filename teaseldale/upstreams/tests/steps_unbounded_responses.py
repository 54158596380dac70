"""Steps for responses that never end."""

import asyncio
import functools
import itertools
import tracemalloc

import httpcore
from behave import given, then, when

from teaseldale.clock import SystemClock
from teaseldale.fakes import run_in_virtual_time
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Step
from teaseldale.upstreams import (
    DirectConnector,
    EngineCall,
    HttpEngineClient,
    RunnerConnections,
    RunnerMessage,
    UpstreamError,
)
from teaseldale.upstreams._response_protocol import ResponseProtocol
from teaseldale.upstreams.tests.listening_runner import ListeningRunner
from teaseldale.upstreams.tests.steps_answers import (
    HEAD,
    OTHER_ANSWER,
    WHOLE_ANSWER,
    RecordingTransport,
    belongs,
    upstream_at,
)

_PIECE_BYTES = 4096
_SENT_LIMIT_BYTES = 4_194_304  # where a test gives up
_BYTES_PER_KB = 1024
_BYTES_PER_MB = 1_048_576
_CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# The beginning of a response, and what is repeated after it.
_PARTS = {
    'a status line': (b'HTTP/1.1 200 ', b'O' * _PIECE_BYTES),
    'a header name': (HEAD, b'n' * _PIECE_BYTES),
    'a header value': (HEAD + b'name: ', b'v' * _PIECE_BYTES),
    'headers of one byte': (HEAD, b'n:v\r\n' * 800),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 160),
    'an answer of another request': (b'', OTHER_ANSWER * 60),
    'a chunk extension': (_CHUNKED + b'4;', b'e' * _PIECE_BYTES),
    'a trailer': (
        _CHUNKED + b'4\r\nbody\r\n0\r\nname: ',
        b'v' * _PIECE_BYTES,
    ),
}


def start_response():
    """Returns a transport whose protocol expects a response."""
    protocol = ResponseProtocol()
    transport = RecordingTransport(protocol)
    protocol.connection_made(transport)
    protocol.expect(belongs)
    return transport


def feed_until_closed(transport, first, repeated):
    """Returns the number of bytes received until the connection closed."""
    received_bytes = 0
    for piece in itertools.chain((first,), itertools.repeat(repeated)):
        if transport.is_closed or received_bytes > _SENT_LIMIT_BYTES:
            return received_bytes
        if piece:
            transport.protocol.data_received(piece)
        received_bytes += len(piece)


@when('bytes of {part} keep arriving')
def sends_without_end(context, part):
    async def scenario():
        transport = start_response()
        context.received_bytes = feed_until_closed(transport, *_PARTS[part])
        try:
            await transport.protocol.wait_for_head(1)
            while await transport.protocol.read(1):
                """Reads what came before the part without end."""
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            context.error = error

    context.error = None
    run_in_virtual_time(scenario)


@when('bytes without end arrive while no request is pending')
def unsolicited_bytes(context):
    async def scenario():
        transport = start_response()
        transport.protocol.data_received(WHOLE_ANSWER)
        assert await transport.protocol.read(1) == b'body'
        context.received_bytes = feed_until_closed(
            transport, b'', b'x' * _PIECE_BYTES
        )
        assert not transport.protocol.can_be_reused

    run_in_virtual_time(scenario)


@then('the connection is closed after at most {limit:d} KB')
def closed_within(context, limit):
    limit_bytes = limit * _BYTES_PER_KB
    assert context.received_bytes <= limit_bytes, context.received_bytes


@then('the response fails because of its {reason}')
def fails_because(context, reason):
    assert isinstance(context.error, httpcore.RemoteProtocolError), (
        context.error
    )
    assert context.error.part == reason, context.error.part


@when('the head arrives at one byte every 500 ms')
def head_trickles(context):
    async def scenario():
        loop = asyncio.get_running_loop()
        transport = start_response()
        started = loop.time()

        async def trickle():
            for byte in HEAD:
                transport.protocol.data_received(bytes([byte]))
                await asyncio.sleep(0.5)

        trickling = asyncio.create_task(trickle())
        try:
            await transport.protocol.wait_for_head(1)
        except httpcore.ReadTimeout:
            context.waited_ms = round((loop.time() - started) * 1000)
        except httpcore.NetworkError as error:
            context.waited_ms = error
        trickling.cancel()

    run_in_virtual_time(
        functools.partial(asyncio.wait_for, scenario(), timeout=60),
    )


@then('waiting for the head with a timeout of 1,000 ms ends after 1,000 ms')
def waited(context):
    assert context.waited_ms == 1000, context.waited_ms


@given('a listening runner that sends a header value without end')
def endless_runner(context):
    first, repeated = _PARTS['a header value']
    context.sent = itertools.chain(
        (first,),
        itertools.repeat(repeated, _SENT_LIMIT_BYTES * 4 // _PIECE_BYTES),
    )


@when('the forwarding path reads the answer without end')
def read_without_end(context):
    async def read():
        context.runner = ListeningRunner(answer=context.sent)
        async with context.runner.serving():
            connections = RunnerConnections(
                address=(context.runner.ip, context.runner.port),
                connector=DirectConnector(),
                clock=SystemClock(),
                metrics=context.metrics,
            )
            await connections.send(
                lambda: RunnerMessage(
                    method='GET',
                    target=b'/',
                    headers=(),
                    body=b'',
                ),
                belongs=belongs,
                timeout_ms=5000,
            )

    context.metrics = Metrics()
    context.error = None
    try:
        asyncio.run(read())
    except UpstreamError as error:
        context.error = error


@then('the error names the step, the runner and the head')
def error_names(context):
    runner = context.runner
    assert context.error.step is Step.DISPATCH
    assert context.error.peer == f'{runner.ip}:{runner.port}'
    assert 'head' in context.error.reason, context.error.reason


@then('the failure is counted as an oversized head')
def counted(context):
    count = context.metrics.counter_value('oversized_responses', 'head')
    assert count == 1, context.metrics.render()


@then('the runner could send less than {limit:d} MB')
def sent_less(context, limit):
    assert context.runner.sent_bytes < limit * _BYTES_PER_MB


@given('{count:d} requests that were sent to runners')
def many_requests(context, count):
    context.count = count


@when('each runner sends as many bytes of {part} as are accepted')
def sends_to_all(context, part):
    async def scenario():
        tracemalloc.start()
        transports = [start_response() for _ in range(context.count)]
        for transport in transports:
            feed_until_closed(transport, *_PARTS[part])
        context.needed_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()

    run_in_virtual_time(scenario)


@then('all responses together needed less than {limit:d} MB')
def needed_less(context, limit):
    assert context.needed_bytes < limit * _BYTES_PER_MB, context.needed_bytes


@given('a listening runner that sends an event without end')
def endless_event(context):
    context.sent = itertools.chain(
        (HEAD + b'connection: close\r\n\r\ndata: ',),
        itertools.repeat(
            b'x' * _PIECE_BYTES, _SENT_LIMIT_BYTES * 4 // _PIECE_BYTES
        ),
    )


@when('the engine client reads its stream')
def read_engine_stream(context):
    async def read():
        context.runner = ListeningRunner(answer=context.sent)
        call = EngineCall(request_id='r-1', body=b'{}')
        async with context.runner.serving():
            context.upstream = upstream_at(context.runner)
            client = HttpEngineClient()
            async with client.stream(context.upstream, call) as stream:
                async for event in stream:
                    raise AssertionError(event)

    context.error = None
    try:
        asyncio.run(read())
    except UpstreamError as error:
        context.error = error


@then('the error names the runner and the size of the event')
def error_names_event(context):
    assert context.error.step is Step.STREAM
    assert context.error.peer == context.upstream.name
    assert 'event' in context.error.reason, context.error.reason
    assert 'exceeds' in context.error.reason, context.error.reason


@when(
    'it is answered within a timeout of 10 s, and the next one is not within '
    '1 s',
)
def next_unanswered(context):
    async def scenario():
        loop = asyncio.get_running_loop()
        transport = start_response()
        protocol = transport.protocol
        loop.call_later(0.1, protocol.data_received, WHOLE_ANSWER)
        await protocol.wait_for_head(10)
        assert await protocol.read(10) == b'body'
        protocol.expect(belongs)
        started = loop.time()
        try:
            await protocol.wait_for_head(1)
        except httpcore.ReadTimeout:
            context.waited_ms = round((loop.time() - started) * 1000)

    run_in_virtual_time(scenario)


@when('it is answered within a timeout of 1 s, and the next one after 5 s')
def next_late(context):
    async def scenario():
        loop = asyncio.get_running_loop()
        protocol = start_response().protocol
        loop.call_later(0.1, protocol.data_received, WHOLE_ANSWER)
        await protocol.wait_for_head(1)
        assert await protocol.read(1) == b'body'
        protocol.expect(belongs)
        loop.call_later(5, protocol.data_received, WHOLE_ANSWER)
        try:
            await protocol.wait_for_head(None)
        except httpcore.ReadTimeout as error:
            context.next_error = error
        else:
            context.next_error = None

    run_in_virtual_time(scenario)


@then('a wait without a timeout for the next head succeeds')
def next_succeeds(context):
    assert context.next_error is None, context.next_error


@then('waiting for the next head ends after 1,000 ms')
def waited_for_next(context):
    assert context.waited_ms == 1000, context.waited_ms
