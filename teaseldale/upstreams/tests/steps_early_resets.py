"""Steps for answers whose connections are reset while a request is written."""

import asyncio

import anyio
from behave import given, then, when

from teaseldale.clock import SystemClock
from teaseldale.fakes import run_in_virtual_time
from teaseldale.metrics import Metrics
from teaseldale.upstreams import (
    ConnectionEnd,
    DirectConnector,
    EndFinding,
    RunnerConnections,
    RunnerMessage,
    UpstreamError,
)
from teaseldale.upstreams._listener_probe import ProbeOutcome
from teaseldale.upstreams.tests.listening_runner import ListeningRunner
from teaseldale.upstreams.tests.steps_answers import HEAD, belongs

# Longer than what the sockets between a VM and a runner hold.
_UPLOAD = bytes(8_000_000)
_TIMEOUT_MS = 3000
_ADDRESS = ('10.0.0.9', 80)


@given(
    'a runner on loopback that answers at once, ends, '
    'and resets {delay_ms:d} ms later',
)
def early_runner(context, delay_ms):
    context.delay_ms = delay_ms


@when('{count:d} requests with long uploads are sent to it on {loop}')
def send_uploads(context, count, loop):
    async def scenario():
        runner = ListeningRunner(
            answer=[HEAD + b'connection: close\r\n\r\na part of it'],
            reset_after_ms=context.delay_ms,
        )
        async with runner.serving():
            readers = (_read(runner) for _ in range(count))
            context.outcomes = await asyncio.gather(
                *readers,
                return_exceptions=True,
            )

    anyio.run(scenario, backend_options={'use_uvloop': loop == 'uvloop'})


async def _read(runner):
    """Returns the error of the answer and the finding, if there was any."""
    connections = RunnerConnections(
        address=(runner.ip, runner.port),
        connector=DirectConnector(),
        clock=SystemClock(),
        metrics=Metrics(),
    )
    message = RunnerMessage(
        method='POST',
        target=b'/',
        headers=(),
        body=_UPLOAD,
    )
    try:
        answer = await connections.send(
            lambda: message,
            belongs=belongs,
            timeout_ms=_TIMEOUT_MS,
        )
    finally:
        connections.close()
    error = None
    try:
        while await answer.read(_TIMEOUT_MS):
            """Goes on until the end."""
    except UpstreamError as caught:
        error = caught
    finally:
        answer.release()
    return error, answer.end_finding


_FINDINGS = {'a reset': EndFinding.RESET, 'nothing': EndFinding.NONE}


@then('each answer is broken, and the examination has found {finding}')
def broken_by_reset(context, finding):
    for outcome in context.outcomes:
        assert not isinstance(outcome, Exception), repr(outcome)
        error, found = outcome
        assert error is not None
        assert error.may_have_run
        assert found is _FINDINGS[finding], (error, found)


class _Socket:
    """A socket whose error has been cleared, or one that has been closed."""

    def __init__(self, *, is_closed):
        self._is_closed = is_closed

    def getsockopt(self, level, option):
        if self._is_closed:
            raise ValueError('negative file descriptor')
        return 0


class _Transport:
    """Turns to a state while its end is examined."""

    def __init__(self, *, state):
        self._state = state
        self._is_examined = False

    def examine(self):
        self._is_examined = True

    def is_closing(self):
        return self._is_examined and self._state != 'open'

    def get_extra_info(self, name):
        is_closed = self._is_examined and self._state == 'closed'
        return _Socket(is_closed=is_closed)


@given('a connection that has ended, and whose transport is {state}')
def ended_connection(context, state):
    context.transport = _Transport(state=state)


@when('its end is examined')
def examine_end(context):
    async def probe(ip, port, *, timeout_ms):
        context.transport.examine()
        return ProbeOutcome.ACCEPTED

    async def scenario():
        end = ConnectionEnd(
            transport=context.transport,
            peer_address=_ADDRESS,
            probe=probe,
        )
        context.fault = await end.find_fault()
        context.finding = end.finding

    run_in_virtual_time(scenario)


@then('the finding is {finding}')
def finding_is(context, finding):
    assert context.finding == finding, context.finding
    is_complete = finding == 'complete_by_new_connection'
    assert (context.fault is None) == is_complete, context.fault
