"""Steps that kill a VM process while it serves streams."""

import concurrent.futures
import signal
import time

import httpcore
import msgspec
from behave import given, then, when

from benchmarks.fleet import ACCOUNT_KEY, Fleet

_WORDS = 100
_STREAMS = 50
_ORDERS = 10
_TIMEOUT_SECONDS = 60


@given('a fleet of {count:d} VMs that streams one token every 20 ms')
def start(context, count):
    fleet = Fleet(vm_count=count, token_interval_ms=20)
    context.fleet = context.cleanup.enter_context(fleet)


def send(vm, path, key, body):
    """Returns status and body, or None after a connection error."""
    try:
        response = httpcore.request(
            'POST',
            vm.url + path,
            headers={
                'authorization': f'Bearer {ACCOUNT_KEY}',
                'idempotency-key': key,
            },
            content=msgspec.json.encode(body),
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    return response.status, response.content.decode()


def stream(vm, key):
    body = {
        'model': 'drafts',
        'messages': [{'role': 'user', 'content': 'a chestnut sack'}],
        'max_tokens': _WORDS,
        'stream': True,
    }
    return send(vm, '/v1/chat/completions', key, body)


def stream_until_complete(vm, key):
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        outcome = stream(vm, key)
        if outcome and outcome[1].endswith('data: [DONE]\n\n'):
            return outcome[1]
        time.sleep(0.5)
    raise AssertionError((key, outcome))


@when(
    'VM {index:d} is killed with {count:d} open streams '
    'and the callers retry at other VMs',
)
def kill(context, index, count):
    fleet = context.fleet
    keys = [f'stream-{number}' for number in range(count)]
    others = [vm for vm in fleet.vms if vm is not fleet.vms[index]]
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        first = [pool.submit(stream, fleet.vms[index], key) for key in keys]
        time.sleep(1)
        fleet.signal(fleet.vms[index].name, signal.SIGKILL)
        broken = [future.result() for future in first]
        assert not any(
            outcome and outcome[1].endswith('[DONE]\n\n') for outcome in broken
        ), 'a stream completed before the VM was killed'
        context.streams = list(
            pool.map(
                lambda number: stream_until_complete(
                    others[number % len(others)],
                    keys[number],
                ),
                range(count),
            ),
        )


@when('{count:d} orders are sent through VM 0 and retried through VM 2')
def send_orders(context, count):
    for vm in (context.fleet.vms[0], context.fleet.vms[2]):
        for number in range(count):
            outcome = send(
                vm,
                '/services/orders/orders',
                f'order-{number}',
                {'article': 'sack'},
            )
            assert outcome is not None and outcome[0] == 200, outcome


@then('every retried stream is complete')
def assert_complete(context):
    for text in context.streams:
        words = [
            msgspec.json.decode(line[6:])['choices'][0]['delta'].get('content')
            for line in text.splitlines()
            if line.startswith('data: {')
        ]
        answer = ''.join(word for word in words if word)
        assert len(answer.split()) == _WORDS, answer


@then('each stream is billed once')
def assert_billed(context):
    expected = _STREAMS * (_WORDS + 3) + _ORDERS
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    state = None
    while time.monotonic() < deadline:
        state = context.fleet.call_operators_api(
            context.fleet.vms[0],
            'GET',
            '/budget?name=drafting',
        )
        if state['billed_tokens'] >= expected:
            break
        time.sleep(0.5)
    time.sleep(3)
    state = context.fleet.call_operators_api(
        context.fleet.vms[0],
        'GET',
        '/budget?name=drafting',
    )
    assert state['billed_tokens'] == expected, (state, expected)


@then('the service ran each order exactly once')
def assert_orders_run_once(context):
    counted = context.fleet.statistics(context.fleet.service)
    assert len(counted) == _ORDERS, counted
    assert set(counted.values()) == {1}, counted
