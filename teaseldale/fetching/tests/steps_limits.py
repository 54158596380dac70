"""Steps for responses that exceed the limits of their readers."""

import asyncio
import itertools
import time

from behave import given, then, when

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.tables import HttpTableService
from teaseldale.upstreams import HttpRunnerReports, UpstreamError
from teaseldale.upstreams.tests.listening_runner import ListeningRunner
from teaseldale.upstreams.tests.steps_answers import (
    HEAD,
    read_with_service_client,
    upstream_at,
)

_PIECE = b'x' * 16_384
_PIECE_COUNT = 4096  # 64 MB, where a test gives up
_BYTES_PER_MB = 1_048_576
_BODIES = {
    'in chunks': (
        HEAD + b'transfer-encoding: chunked\r\n\r\n',
        b'4000\r\n' + _PIECE + b'\r\n',
    ),
    'without a length': (HEAD + b'connection: close\r\n\r\n', _PIECE),
}


@given('a peer that sends a body {framing} that never ends')
def endless_body(context, framing):
    head, piece = _BODIES[framing]
    context.answer = itertools.chain(
        (head,),
        itertools.repeat(piece, _PIECE_COUNT),
    )
    context.pause_ms = 0


@given('a peer that sends a byte of its body every 100 ms')
def slow_body(context):
    head = HEAD + b'content-length: 100\r\n\r\n'
    context.answer = itertools.chain((head,), itertools.repeat(b' ', 100))
    context.pause_ms = 100


async def fail_service_call(peer, metrics):
    try:
        await read_with_service_client(peer)
    except UpstreamError as error:
        assert error.peer == 'runner'
        return error.reason


async def fail_load_report(peer, metrics):
    reports = HttpRunnerReports(metrics=metrics)
    assert await reports.load(upstream_at(peer)) is None
    return counted_reason(metrics, 'runner_reports_failed')


async def fail_cache_report(peer, metrics):
    reports = HttpRunnerReports(metrics=metrics)
    changes = await reports.cache_changes(upstream_at(peer), after=0)
    assert changes is None
    return counted_reason(metrics, 'runner_reports_failed')


async def fail_table_read(peer, metrics):
    table = HttpTableService(
        base_url=f'http://{peer.ip}:{peer.port}',
        timeout_ms=5000,
        metrics=metrics,
    )
    try:
        await table.read(table='t', key='k')
    except PlatformError as error:
        assert error.peer == f'http://{peer.ip}:{peer.port}'
        assert error.reason == counted_reason(metrics, 'platform_call_failed')
        return error.reason


def counted_reason(metrics, counter):
    """Returns the only reason that a counter has."""
    prefix = f'teaseldale_{counter}_total{{reason="'
    (line,) = [line for line in metrics.render().splitlines() if prefix in line]
    return line.removeprefix(prefix).partition('"')[0]


_READERS = {
    'the service client': fail_service_call,
    'the load report': fail_load_report,
    'the cache report': fail_cache_report,
    'the table client': fail_table_read,
}


@when('{reader} reads it')
def reads(context, reader):
    async def read():
        peer = ListeningRunner(
            answer=context.answer,
            pause_ms=context.pause_ms,
        )
        async with peer.serving():
            started = time.monotonic()
            context.reason = await asyncio.wait_for(
                _READERS[reader](peer, Metrics()),
                timeout=20,
            )
            context.seconds = time.monotonic() - started
        context.sent_bytes = peer.sent_bytes

    asyncio.run(read())


@then('it fails with {reason}, and the peer sent less than {limit:d} MB')
def failed_within(context, reason, limit):
    assert context.reason == reason, context.reason
    assert context.sent_bytes < limit * _BYTES_PER_MB, context.sent_bytes


@then('it fails with {reason}, after {least:d} to {most:d} s')
def failed_after(context, reason, least, most):
    assert context.reason == reason, context.reason
    assert least <= context.seconds <= most, context.seconds
