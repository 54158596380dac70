"""Steps that run release notes and moves on a fleet of processes."""

import signal
import threading
import time

import httpcore
import msgspec
from behave import given, then, when

from benchmarks.fleet import ACCOUNT_KEY, Fleet, wait_for_port

_IN_FORCE_SECONDS = 3
_MOVE_LIMIT_SECONDS = 120
_MOVE_MS = 40_000
_CALLERS = 6


class Callers:
    """Threads that send completions to all VMs in a closed loop."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []  # (monotonic seconds, whether complete)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(index,), daemon=True)
            for index in range(_CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, index):
        number = 0
        while not self.stopped.is_set():
            number += 1
            vm = self.fleet.vms[(index + number) % len(self.fleet.vms)]
            try:
                is_complete = send_completion(vm)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                is_complete = False
            self.outcomes.append((time.monotonic(), is_complete))

    def close(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(30)


def send_completion(vm):
    response = httpcore.request(
        'POST',
        f'{vm.url}/v1/chat/completions',
        headers={'authorization': f'Bearer {ACCOUNT_KEY}'},
        content=msgspec.json.encode(
            {
                'model': 'drafts',
                'messages': [{'role': 'user', 'content': 'a bracket'}],
                'max_tokens': 4,
                'stream': True,
            },
        ),
        extensions={'timeout': {'read': 30}},
    )
    return response.status == 200 and response.content.endswith(
        b'data: [DONE]\n\n',
    )


def operate(context, method, path, body=''):
    for vm in context.fleet.vms:
        if context.fleet.processes[vm.name].poll() is None:
            return context.fleet.call_operators_api(
                vm, method, path, body.encode()
            )
    raise AssertionError('no VM runs')


@given('4 VMs in 2 zones and an engine of version v2')
def start(context):
    fleet = Fleet(vm_count=4, engine_count=3, token_interval_ms=1)
    context.fleet = fleet
    context.new_engine = fleet.engines.pop()
    context.cleanup.enter_context(fleet)
    fleet.start_engine(2, context.new_engine)
    wait_for_port(context.new_engine)


@when('a note that adds a budget is applied at VM {index:d}')
def apply_budget(context, index):
    vm = context.fleet.vms[index]
    text = 'name = "office"\nteam = "office"\n[[additions.budgets]]\n'
    text += 'name = "summaries"\n'
    context.status = context.fleet.call_operators_api(
        vm,
        'POST',
        '/notes',
        text.encode(),
    )
    context.accepted_seconds = time.monotonic()


@then('the note is in force at all VMs within 3 seconds')
def in_force(context):
    assert context.status['state'] == 'accepted', context.status
    expected = {context.status['revision']}
    while revisions_of(context) != expected:
        elapsed_seconds = time.monotonic() - context.accepted_seconds
        assert elapsed_seconds < _IN_FORCE_SECONDS, revisions_of(context)


def revisions_of(context):
    return {
        context.fleet.call_operators_api(vm, 'GET', '/status')['revision']
        for vm in context.fleet.vms
    }


def start_move(context, name):
    deadline = int(time.time() * 1000) + _MOVE_MS
    text = f"""
name = "note-{name}"
team = "roofs"
"""
    if name == 'first':
        text += f"""
[[additions.upstreams]]
name = "runner-new"
route = "drafts"
version = "v2"
url = "http://{context.new_engine}"
availability_zone = "mill"
slot_count = 64
"""
    text += f"""
[[additions.moves]]
name = "{name}"
route = "drafts"
from_version = "v1"
to_version = "v2"
deadline_wall_ms = {deadline}
largest_share_percent = 20
failure_guard_percent = 20
first_token_guard_ms = 20000
token_gap_guard_ms = 10000
watch_ms = 5000
finish_without_evidence = true
"""
    status = operate(context, 'POST', '/notes', text)
    assert status['state'] == 'accepted', status


@when('a move to v2 runs while v2 breaks all streams')
def bad_move(context):
    context.fleet.set_faults(context.new_engine, fail_percent=100)
    context.callers = Callers(context.fleet)
    context.cleanup.callback(context.callers.close)
    start_move(context, 'first')


@when('a second move to v2 runs while v2 is healthy')
def good_move(context):
    context.fleet.set_faults(context.new_engine)
    start_move(context, 'second')


def move_of(context):
    statuses = operate(context, 'GET', '/moves')
    return statuses[-1] if statuses else None


@when('the steering VM of the second move is killed')
def kill_steering(context):
    deadline = time.monotonic() + _MOVE_LIMIT_SECONDS
    name = ''
    while not name:
        assert time.monotonic() < deadline
        time.sleep(0.2)
        for vm in context.fleet.vms:
            page = context.fleet.call_operators_api(vm, 'GET', '/metrics')
            if 'teaseldale_moves_steered 1' in page:
                name = vm.name
    context.killed = name
    context.fleet.signal(name, signal.SIGKILL)
    context.fleet.processes[name].wait()


@then('the move ends as {state} and callers get complete responses from v1')
def ends(context, state):
    wait_for_end(context, state)
    status = move_of(context)
    assert status['reason'], status
    runs = new_runs(context)
    time.sleep(5)
    before = new_runs(context)
    time.sleep(2)
    assert new_runs(context) == before, (runs, before)
    complete_flags = [flag for at, flag in context.callers.outcomes[-20:]]
    assert all(complete_flags), complete_flags


def new_runs(context):
    run_counts = context.fleet.statistics(context.new_engine)['runs']
    return sum(run_counts.values())


def wait_for_end(context, state):
    deadline = time.monotonic() + _MOVE_LIMIT_SECONDS
    while True:
        status = move_of(context)
        if status is not None and status['state'] != 'waiting':
            break
        assert time.monotonic() < deadline, status
        time.sleep(0.2)
    assert status['state'] == state, status


@then('the move ends as {state} and callers still get complete responses')
def ends_after_kill(context, state):
    deadline = time.monotonic() + _MOVE_LIMIT_SECONDS
    while True:
        status = move_of(context)
        ended = status['state'] != 'waiting'
        if status['progress']['move'] == 'second' and ended:
            break
        assert time.monotonic() < deadline, status
        time.sleep(0.2)
    assert status['state'] == state, status
    context.callers.close()
    for vm in context.fleet.vms:
        if vm.name != context.killed:
            assert send_completion(vm), vm.name
