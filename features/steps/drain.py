"""Steps that shut down a VM while it serves requests."""

import asyncio
import signal
import threading
import time

import httpcore
import msgspec
from behave import given, then, when

from benchmarks.fleet import ACCOUNT_KEY, Fleet
from teaseldale.command.tests.steps_whole_path import call, chat

_TIMEOUT_SECONDS = 60
_OPENED_AT_ONCE = 5
_PROMPT_TOKENS = 3
_ORDER = {'article': 'sack', 'pieces': 10}


class Streams:
    """Concurrent streams through one VM, read by a thread."""

    def __init__(self, *, vm, count, tokens):
        self._vm = vm
        self._count = count
        self._tokens = tokens
        self.bodies = [b''] * count
        self.errors = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Opens all streams and waits for the first bytes of each."""
        self._thread.start()
        _wait_until(lambda: all(self.bodies), 'not every stream has started')

    def join(self):
        """Waits until all streams have ended."""
        self._thread.join(_TIMEOUT_SECONDS)
        assert not self._thread.is_alive(), 'streams are still open'

    def _run(self):
        asyncio.run(self._read_all())

    async def _read_all(self):
        self._opening = asyncio.Semaphore(_OPENED_AT_ONCE)
        async with httpcore.AsyncConnectionPool(
            max_connections=self._count
        ) as pool:
            await asyncio.gather(
                *(self._read(pool, index) for index in range(self._count))
            )

    async def _read(self, pool, index):
        await self._opening.acquire()
        try:
            async with pool.stream(
                'POST',
                f'{self._vm.url}/v1/chat/completions',
                headers={'authorization': f'Bearer {ACCOUNT_KEY}'},
                content=msgspec.json.encode(chat(self._tokens, stream=True)),
            ) as response:
                async for chunk in response.aiter_stream():
                    if not self.bodies[index]:
                        self._opening.release()
                    self.bodies[index] += chunk
        except httpcore.ProtocolError as error:
            self.errors.append(error)


def _wait_until(condition, text):
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, text
        time.sleep(0.02)


def _order(context, key):
    return call(
        context.fleet.vms[0],
        'POST',
        '/services/orders/orders',
        _ORDER,
        headers={'idempotency-key': key},
    )


def _pause(context, paused):
    for engine in context.fleet.engines:
        context.fleet.set_faults(
            engine, paused=paused, token_interval_ms=10, first_token_ms=10
        )


@given(
    'a fleet of {count:d} VMs with a balancer grace period of {grace_ms:d} ms'
)
def fleet_with_grace(context, count, grace_ms):
    limits = {'balancer_grace_ms': grace_ms}
    fleet = Fleet(vm_count=count, slot_count=128, limits=limits)
    context.fleet = context.cleanup.enter_context(fleet)


@given('a fleet of {count:d} VMs with a drain timeout of {drain_ms:d} ms')
def fleet_with_short_drain(context, count, drain_ms):
    limits = {'balancer_grace_ms': 0, 'drain_timeout_ms': drain_ms}
    fleet = Fleet(vm_count=count, limits=limits)
    context.fleet = context.cleanup.enter_context(fleet)


@then('the check for complete streams fails')
def check_fails(context):
    context.streams.join()
    assert context.streams.errors, 'no stream was cut'
    assert not any(b'[DONE]' in body for body in context.streams.bodies)


@given('an order with key {key} was confirmed through VM 0')
def confirmed(context, key):
    response = _order(context, key)
    assert response.status == 200, response.content
    context.confirmation = response.content
    context.served_calls = 1


@given('{count:d} streams of {tokens:d} tokens are open through VM 0')
def open_streams(context, count, tokens):
    _pause(context, paused=True)
    vm = context.fleet.vms[0]
    context.streams = Streams(vm=vm, count=count, tokens=tokens)
    context.streams.start()


@when('VM 0 is sent SIGTERM')
def terminate(context):
    context.fleet.signal(context.fleet.vms[0].name, signal.SIGTERM)


@then('its readiness check fails while it still serves a stock look-up')
def readiness_first(context):
    vm = context.fleet.vms[0]
    url = f'http://{vm.operators}/readyz'
    _wait_until(
        lambda: httpcore.request('GET', url).status == 503, 'VM is still ready'
    )
    assert _look_up(context) == 200


def _look_up(context):
    response = call(context.fleet.vms[0], 'GET', '/services/orders/stock/sack')
    context.served_calls += response.status == 200
    return response.status


@then(
    'after the grace period a new order with key {key} is refused as draining '
    'and not run'
)
def refused_as_draining(context, key):
    _wait_until(lambda: _look_up(context) == 503, 'VM still serves requests')
    response = _order(context, key)
    error = msgspec.json.decode(response.content)['error']
    assert response.status == 503, response.status
    assert error['code'] == 'draining', error
    assert error['not_run'] is True, error
    assert error['retry_after_ms'] > 0, error


@then('a retry of the order with key {key} returns the original response')
def original_is_returned(context, key):
    response = _order(context, key)
    assert response.status == 200, response.content
    assert response.content == context.confirmation, response.content


@then('all {count:d} streams complete with {tokens:d} tokens each')
def streams_complete(context, count, tokens):
    _pause(context, paused=False)
    context.streams.join()
    assert not context.streams.errors, context.streams.errors
    assert len(context.streams.bodies) == count
    for body in context.streams.bodies:
        assert body.endswith(b'data: [DONE]\n\n'), body[-200:]
        words = sum(
            len(choice['delta'].get('content', '').split())
            for line in body.splitlines()
            if line.startswith(b'data: {')
            for choice in msgspec.json.decode(line[6:])['choices']
        )
        assert words == tokens, (words, body)
    context.expected_tokens = count * (tokens + _PROMPT_TOKENS)


@then('VM 0 exits with status 0 and each token is billed once')
def exits_cleanly(context):
    process = context.fleet.processes[context.fleet.vms[0].name]
    assert process.wait(_TIMEOUT_SECONDS) == 0, process.returncode
    expected = context.expected_tokens + context.served_calls
    billed = context.fleet.wait_for_billed_tokens('drafting', expected)
    assert billed == expected, (billed, expected)


@then('the service ran key {key} once and key {other} never')
def service_ran(context, key, other):
    counters = context.fleet.statistics(context.fleet.service)
    assert counters.get(f'ben-salah/{key}') == 1, counters
    assert f'ben-salah/{other}' not in counters, counters
