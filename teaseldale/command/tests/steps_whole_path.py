"""Step definitions that run a fleet of processes on loopback."""

import os
import pathlib
import sys
import time

import httpcore
import msgspec
from behave import given, then, when

from benchmarks.fleet import ACCOUNT_KEY, EMPTY_ACCOUNT_KEY, Fleet

_SETTLED_WITHIN_SECONDS = 10
_BUILT_FILE = pathlib.Path('dist/teaseldale')


@given('a fleet of {count:d} VMs run from the built file')
def start_built_fleet(context, count):
    program = (sys.executable, str(_BUILT_FILE.resolve()))
    fleet = Fleet(vm_count=count, program=program)
    context.fleet = context.cleanup.enter_context(fleet)


@given('a fleet of {count:d} VMs')
def start_fleet(context, count):
    context.fleet = context.cleanup.enter_context(Fleet(vm_count=count))


def call(vm, method, path, body=None, key=ACCOUNT_KEY, headers=None):
    """Sends a caller's request to a VM and returns the response."""
    return httpcore.request(
        method,
        vm.url + path,
        headers={'authorization': f'Bearer {key}', **(headers or {})},
        content=b'' if body is None else msgspec.json.encode(body),
    )


def chat(words, stream):
    """Returns a chat completions body that requests ``words`` tokens."""
    return {
        'model': 'drafts',
        'messages': [{'role': 'user', 'content': 'a chestnut sack'}],
        'max_tokens': words,
        'stream': stream,
    }


@when('a caller streams {words:d} tokens through VM {index:d}')
def stream(context, words, index):
    context.response = call(
        context.fleet.vms[index],
        'POST',
        '/v1/chat/completions',
        chat(words, stream=True),
    )


@when('a caller with an empty budget asks VM {index:d}')
def ask_with_empty_budget(context, index):
    context.response = call(
        context.fleet.vms[index],
        'POST',
        '/v1/chat/completions',
        chat(8, stream=False),
        key=EMPTY_ACCOUNT_KEY,
    )


@when('a caller sends an order with key {key} through VM {index:d}')
def order(context, key, index):
    context.response = call(
        context.fleet.vms[index],
        'POST',
        '/services/orders/orders',
        {'article': 'sack', 'pieces': 10},
        headers={'idempotency-key': key},
    )


@then('the stream is whole and has {words:d} tokens')
def stream_is_whole(context, words):
    text = context.response.content.decode()
    assert text.endswith('data: [DONE]\n\n'), text
    answer = ''.join(
        msgspec.json.decode(line[6:])['choices'][0]['delta'].get('content', '')
        for line in text.splitlines()
        if line.startswith('data: {')
    )
    assert len(answer.split()) == words, answer


@then('{tokens:d} tokens are billed to budget {name}')
def billed(context, tokens, name):
    deadline = time.monotonic() + _SETTLED_WITHIN_SECONDS
    state = budget_state(context.fleet, name)
    while state['billed_tokens'] < tokens and time.monotonic() < deadline:
        time.sleep(0.1)
        state = budget_state(context.fleet, name)
    assert state['billed_tokens'] == tokens, state


def budget_state(fleet, name):
    """Returns the totals of a budget as reported by the first VM."""
    return fleet.call_operators_api(fleet.vms[0], 'GET', f'/budget?name={name}')


@then('the caller is refused with status {status:d} and code {code}')
def refused(context, status, code):
    assert context.response.status == status, context.response.status
    error = msgspec.json.decode(context.response.content)['error']
    assert error['code'] == code, error
    assert error['not_run'] is True, error


@then('the service ran key {key} once')
def ran_once(context, key):
    counted = context.fleet.statistics(context.fleet.service)
    assert counted[f'ben-salah/{key}'] == 1, counted


@then('no VM has a child process or an io_uring descriptor')
def no_children(context):
    for vm in context.fleet.vms:
        pid = context.fleet.processes[vm.name].pid
        tasks = pathlib.Path(f'/proc/{pid}/task')
        for task in tasks.iterdir():
            children = (task / 'children').read_text().split()
            assert not children, (vm.name, children)
        for descriptor in pathlib.Path(f'/proc/{pid}/fd').iterdir():
            target = os.readlink(descriptor)
            assert 'io_uring' not in target, (vm.name, target)
            assert not target.startswith('/dev/shm'), (vm.name, target)
        maps = pathlib.Path(f'/proc/{pid}/maps').read_text()
        for kind in ('/dev/shm', '/SYSV', '/memfd:', 'io_uring'):
            assert kind not in maps, (vm.name, kind)
