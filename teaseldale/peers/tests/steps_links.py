"""Steps with real loopback sockets; no result depends on the wall clock."""

import subprocess
import sys
from unittest import mock

import anyio
from behave import given, then, when

from benchmarks.fleet import free_port
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import CellMap, VmIdentity, _links
from teaseldale.peers._link import PeerLink
from teaseldale.peers.tests.network import (
    Answer,
    MemberList,
    list_absent_vm,
    make_node,
    running,
    wait_until,
)
from teaseldale.peers.tests.relay import Relay


class _Pair:
    """VMs a and b, one of which is reached through a relay."""

    def __init__(self, relayed):
        ports = {name: free_port() for name in ('a', 'b')}
        relay_port = free_port()
        self.relay = Relay(listen_port=relay_port, target_port=ports[relayed])
        members = MemberList()
        self.a, self.b = (
            make_node(
                members,
                name,
                port=port,
                relay_port=relay_port if name == relayed else None,
            )
            for name, port in ports.items()
        )

    async def run(self, body):
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.relay.run)
            async with running(self.a, self.b):
                await wait_until(lambda: self.a.reaches(self.b))
                await wait_until(lambda: self.b.reaches(self.a))
                await body()
            tasks.cancel_scope.cancel()


def _changes(node, state):
    return node.metrics.counter_value('peer_state_changed', state)


@given('VM {relayed} that VM {other} reaches through a relay')
def make_pair(context, relayed, other):
    context.pair = _Pair(relayed)
    context.actions = []


@when("the relay's open connections drop all further bytes")
def go_silent(context):
    async def action():
        context.pair.relay.silence()

    context.actions.append(action)


@when('the relay closes its open connections')
def close_connections(context):
    context.actions.append(context.pair.relay.cut)


@when('the relay drops all bytes')
def stop_forwarding(context):
    async def action():
        context.pair.relay.down = True

    context.actions.append(action)


@when('the relay forwards bytes again')
def resume_forwarding(context):
    async def action():
        context.pair.relay.down = False

    context.actions.append(action)


@then('a call from VM a is answered before its timeout')
def call_answered(context):
    async def action():
        answer = await context.pair.a.ask(context.pair.b, 'still there')
        assert answer.text == 'still there', answer

    context.actions.append(action)
    _run_actions(context)


@then('VM a marks VM b unreachable')
def unreachable(context):
    async def action():
        await wait_until(lambda: not context.pair.a.reaches(context.pair.b))

    context.actions.append(action)


@then('VM a marks VM b reachable again after two state changes')
def reachable_again(context):
    async def action():
        await wait_until(lambda: context.pair.a.reaches(context.pair.b))

    context.actions.append(action)
    _run_actions(context)
    assert _changes(context.pair.a, 'unreachable') == 1
    assert _changes(context.pair.a, 'reachable') == 2


def _run_actions(context):
    async def run_all():
        for action in context.actions:
            await action()

    async def main():
        await context.pair.run(run_all)

    anyio.run(main)


@then('VM a has replaced its socket and never marked VM b unreachable')
def replaced(context):
    node = context.pair.a
    # VM b may detect the fault first and ask for replies over a new socket.
    detected = node.metrics.counter_value('peer_link_replaced', 'silent')
    requested = node.metrics.counter_value(
        'peer_link_replaced', 'replies_missing'
    )
    assert detected + requested >= 1, (detected, requested)
    assert _changes(node, 'unreachable') == 0
    assert context.pair.relay.connection_count >= 2


@then('VM b has replaced its socket because replies were missing')
def replies_missing(context):
    metrics = context.pair.b.metrics
    requested = metrics.counter_value('peer_link_replaced', 'replies_missing')
    detected = metrics.counter_value('peer_link_replaced', 'silent')
    assert requested + detected >= 1, (requested, detected)
    assert context.pair.relay.connection_count >= 2


@given('VM b is replaced by another incarnation at the same address')
def replace_vm(context):
    context.members = MemberList()
    port = free_port()
    context.caller = make_node(context.members, 'a', port=free_port())
    context.gone = make_node(context.members, 'b', port=port)
    context.fresh = make_node(
        context.members, 'b', port=port, incarnation='second'
    )


@when('VM a calls the replaced incarnation')
def call_gone(context):
    async def main():
        async with running(context.caller):
            async with running(context.gone):
                await context.caller.ask(context.gone)
            async with running(context.fresh):
                try:
                    await context.caller.ask(context.gone)
                except PeerUnreachableError as error:
                    context.error = error
                await wait_until(lambda: context.caller.reaches(context.fresh))
                context.answer = await context.caller.ask(context.fresh)

    anyio.run(main)


@then('the call fails because the incarnation was replaced')
def call_failed(context):
    assert 'another incarnation' in context.error.reason, context.error
    assert context.error.peer == 'b.first', context.error


@then('VM a reaches the new incarnation')
def call_reached(context):
    assert context.answer == Answer(text='hello'), context.answer


@given('{count:d} calls whose handlers at VM b are blocked')
def waiting_handlers(context, count):
    context.waiting_count = count


@when('VM a makes one more call to VM b')
def call_once_more(context):
    async def main():
        members = MemberList()
        nodes = [
            make_node(members, name, port=free_port()) for name in ('a', 'b')
        ]
        release = anyio.Event()
        running_count = 0
        context.answers = []

        async def handler(_sender, message):
            nonlocal running_count
            if message.text == 'wait':
                running_count += 1
                await release.wait()
            return Answer(text=message.text)

        async def ask(text):
            answer = await nodes[0].ask(nodes[1], text, timeout_ms=60_000)
            context.answers.append(answer.text)

        async with running(*nodes, handler=handler):
            async with anyio.create_task_group() as calls:
                for _ in range(context.waiting_count):
                    calls.start_soon(ask, 'wait')
                await wait_until(lambda: running_count == context.waiting_count)
                await ask('quick')
                release.set()

    anyio.run(main)


@then('that call is answered before the {count:d} blocked calls')
def all_answered(context, count):
    assert context.answers == ['quick'] + ['wait'] * count


@given('a fleet of {count:d} listed VMs with VM a and VM b in different cells')
def two_cells(context, count):
    members = MemberList()
    for index in range(count):
        list_absent_vm(members, f'other-{index}', 'mill')
    identities = [
        VmIdentity(
            name=name,
            incarnation='first',
            availability_zone='mill',
            address='',
        )
        for name in [*members.listed, *(f'vm-{index}' for index in range(20))]
    ]
    cells = CellMap(vms=identities)
    first = identities[-1]
    second = next(
        vm
        for vm in identities[count:]
        if cells.cell_of(vm) != cells.cell_of(first)
    )
    context.nodes = [
        make_node(members, vm.name, port=free_port()) for vm in (first, second)
    ]


@when('VM a calls VM b')
def call_on_demand(context):
    async def main():
        caller, target = context.nodes
        limit_ms = _links._IDLE_TIMEOUT_MS
        async with running(caller, target):
            identity = target.network.identity
            await wait_until(lambda: identity in caller.network.known_peers())
            assert not caller.reaches(target)
            await caller.ask(target)
            context.linked = caller.reaches(target)
            _links._IDLE_TIMEOUT_MS = 0
            try:
                await wait_until(lambda: not caller.reaches(target))
            finally:
                _links._IDLE_TIMEOUT_MS = limit_ms

    anyio.run(main)


@then('VM a opens a link to VM b and closes it after the idle timeout')
def link_closed(context):
    assert context.linked
    closed = context.nodes[0].metrics.counter_value('peer_link_closed', 'idle')
    assert closed == 1, closed


@when('VM a makes {count:d} concurrent calls to VM b')
def many_calls(context, count):
    async def main():
        members = MemberList()
        caller, target = (
            make_node(members, name, port=free_port()) for name in ('a', 'b')
        )
        context.answers = []

        async def ask(number):
            answer = await caller.ask(target, str(number), timeout_ms=60_000)
            context.answers.append((number, answer.text))

        async with running(caller, target):
            await caller.ask(target)
            async with anyio.create_task_group() as calls:
                for number in range(count):
                    calls.start_soon(ask, number)
        context.metrics = caller.metrics

    anyio.run(main)


@then('all calls are answered and VM a has sent at most {limit:d} frames')
def few_frames(context, limit):
    assert len(context.answers) == 200
    assert all(str(number) == text for number, text in context.answers)
    sent = context.metrics.counter_value('peer_frames_sent')
    assert sent <= limit, sent


_THREADS = """
import os
import pynng
from teaseldale.peers._native_threads import limit_native_threads
limit_native_threads()
listener = pynng.Pull0(listen='tcp://127.0.0.1:{port}')
sockets = [pynng.Push0(dial='tcp://127.0.0.1:{port}') for _ in range(16)]
print(len(os.listdir('/proc/self/task')))
"""


@when('a process opens a listener and links to 16 VMs')
def count_threads(context):
    program = _THREADS.format(port=free_port())
    outcome = subprocess.run(
        (sys.executable, '-c', program),
        capture_output=True,
        check=True,
        timeout=60,
    )
    context.thread_count = int(outcome.stdout)


@then('it runs at most {limit:d} threads')
def few_threads(context, limit):
    assert context.thread_count <= limit, context.thread_count


@given('a fleet so large that its membership list is read once a minute')
def large_fleet(context):
    context.members = MemberList()
    for index in range(2400):  # 2,400 VMs give a refresh interval of 1 min
        list_absent_vm(context.members, f'other-{index}', 'port')
    context.first = make_node(context.members, 'a', port=free_port())


@when('a VM joins, announces itself and sends heartbeats')
def join(context):
    async def main():
        reads = 0
        read = context.members.members

        async def counted_read():
            nonlocal reads
            reads += 1
            return await read()

        context.members.members = counted_read
        async with running(context.first):
            await wait_until(lambda: context.first.network.known_peers())
            joining = make_node(context.members, 'b', port=free_port())
            async with running(joining):
                await wait_until(lambda: context.first.reaches(joining))
        context.reads = reads

    anyio.run(main)


@then('the other VMs reach it before the next regular list read')
def found_early(context):
    # Two reads by the first VM and one or two by the VM that joined.
    assert context.reads in {3, 4}, context.reads


@given('links that never replace their sockets')
def keep_sockets(context):
    context.cleanup.enter_context(
        mock.patch.object(PeerLink, 'replace_socket', _keep_socket)
    )


def _keep_socket(_link, _reason):
    """Keeps the socket."""


@then('a call from VM a fails with a timeout')
def call_times_out(context):
    async def action():
        try:
            await context.pair.a.ask(context.pair.b, timeout_ms=4000)
        except PeerUnreachableError as error:
            context.error = error

    context.actions.append(action)
    _run_actions(context)
    assert context.error.reason == 'timeout', context.error
