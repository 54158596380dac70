"""Steps for version moves with several VMs in virtual time."""

import random
import re

import anyio
import attrs
import msgspec
from behave import given, then, when

from teaseldale.budgets import HolderKey
from teaseldale.fakes import (
    FakeTableService,
    VirtualClock,
    run_in_virtual_time,
)
from teaseldale.forwarding import (
    Address,
    ExposureLimits,
    ForwardingRunner,
    MoveStore,
    RunnerDirectory,
    VersionMoves,
    VersionOrder,
)
from teaseldale.metrics import Metrics
from teaseldale.platform import PlatformOrderStatus
from teaseldale.tables import InMemoryTable

_ORDERED_MS = 5000  # leaves time to measure the usual latencies
_FAULT_MS = 4000  # since the order
_AFTER_MS = 3000  # requests continue this long after the deadline
_SERVICE = 's'
_USUAL_MS = 60
_RARE_PER_S = 0.05  # of each VM


@attrs.frozen(kw_only=True)
class SentRequest:
    """A request as received by its runner."""

    vm_number: int
    sent_ms: int  # since the order
    is_new: bool
    is_bad: bool


class MoveVm:
    """One VM; each incarnation knows only what it reads from the store."""

    def __init__(self, *, number, fleet):
        self.number = number
        self.fleet = fleet
        self.scope = None
        self.moves = None
        self.table = None
        self.starts = 0

    async def run(self):
        self.starts += 1
        fleet = self.fleet
        clock = VirtualClock()
        self.table = FakeTableService(
            state=fleet.state,
            random_source=fleet.random,
        )
        self.directory = RunnerDirectory()
        self.directory.replace_all(fleet.runners())
        self.moves = VersionMoves(
            holder=HolderKey(
                vm_name=f'vm-{self.number}',
                incarnation=str(self.starts),
            ),
            limits=ExposureLimits(share=0.1, extra_count=50),
            vm_count=lambda: len(fleet.vms),
            directory=self.directory,
            store=MoveStore(
                table=self.table,
                feed=self.table,
                status=PlatformOrderStatus(),
            ),
            clock=clock,
            metrics=Metrics(),
        )
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                await self.moves.start(tasks)
                if fleet.order is not None:
                    self.moves.apply_order(fleet.order)
                await self._send(clock)
        self.moves = None

    async def _send(self, clock):
        fleet = self.fleet
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(1 / fleet.per_s)
                tasks.start_soon(self._request, clock)

    async def _request(self, clock):
        fleet = self.fleet
        route = fleet.random.choice(('a', 'b'))
        runners = self.moves.select_unproven(_SERVICE) or self.directory.usable(
            _SERVICE
        )
        runner = fleet.random.choice(runners)
        sent_ms = clock.monotonic_ms() - fleet.ordered_ms
        is_new = fleet.order is not None and (
            runner.version == fleet.order.version
        )
        if fleet.is_streaming:
            await self._stream(runner, route, sent_ms, is_new=is_new)
            return
        has_failed, duration_ms = fleet.answer(is_new, sent_ms, route)
        fleet.sent.append(
            SentRequest(
                vm_number=self.number,
                sent_ms=sent_ms,
                is_new=is_new,
                is_bad=has_failed or duration_ms > 2 * _USUAL_MS,
            )
        )
        evidence = self.moves.begin_attempt(runner, route=route)
        await anyio.sleep(duration_ms / 1000)
        _end_attempt(evidence, has_failed=has_failed)

    async def _stream(self, runner, route, sent_ms, *, is_new):
        fleet = self.fleet
        stream = fleet.stream(is_new)
        fleet.sent.append(
            SentRequest(
                vm_number=self.number,
                sent_ms=sent_ms,
                is_new=is_new,
                is_bad=stream.has_failed or stream.is_slow,
            )
        )
        evidence = self.moves.begin_attempt(runner, route=route)
        await anyio.sleep(stream.first_ms / 1000)
        for _ in range(stream.event_count - 1):
            _note_event(evidence)
            await anyio.sleep(stream.event_ms / 1000)
        _note_event(evidence)
        _end_attempt(evidence, has_failed=stream.has_failed)


def _note_event(evidence):
    if evidence is not None:
        evidence.note_output(1)


def _end_attempt(evidence, *, has_failed):
    if evidence is None:
        return
    if has_failed:
        evidence.fail()
        return
    evidence.note_output(0)
    evidence.complete()


@attrs.frozen(kw_only=True)
class ModelledStream:
    """Times of one streamed answer."""

    has_failed: bool
    is_slow: bool
    first_ms: int
    event_ms: float
    event_count: int


class MoveFleet:
    """VMs, runners of several versions and the current order."""

    def __init__(self, *, vm_count, per_s, old_count):
        self.random = random.Random(7)
        self.state = InMemoryTable()
        self.per_s = per_s
        self.vms = [
            MoveVm(number=number + 1, fleet=self) for number in range(vm_count)
        ]
        self.old_count = old_count
        self.new_count = 0
        self.order = None
        self.ordered_ms = _ORDERED_MS
        self.fault = 'good'
        self.sent = []
        self.is_streaming = False
        self.state_at = []  # (ms since the order, state of its row)

    def runners(self):
        return [
            *self._make_runners('v1', self.old_count),
            *self._make_runners('v2', self.new_count),
            *self._make_runners('v3', self.new_count),
        ]

    def _make_runners(self, version, count):
        return [
            ForwardingRunner(
                runner_id=f'{version}-{number}',
                started_wall_ms=1,
                service=_SERVICE,
                address=Address(ip='10.0.0.1', port=number + 1),
                availability_zone='z',
                version=version,
                slot_count=4,
            )
            for number in range(count)
        ]

    def answer(self, is_new, sent_ms, route):
        """Returns whether a request fails and its duration in ms."""
        duration_ms = _USUAL_MS * self.random.uniform(0.8, 1.4)
        if not is_new:
            return self.random.random() < 0.01, int(duration_ms)
        share = {
            'fails 40 in 100 requests': 0.4,
            'fails all requests': 1,
            'fails 40 in 100 after 8 s': 0.4 * (sent_ms > 8000),
            'fails 40 in 100 on one route': 0.4 * (route == 'a'),
        }.get(self.fault, 0.01)
        if self.fault == 'is 4 times as slow':
            duration_ms *= 4
        return self.random.random() < share, int(duration_ms)

    def stream(self, is_new):
        """Returns the times of a stream, which depend little on its head.

        Runners of the new version are idle, so their first event is as early as
        that of busy runners even if they are slow.
        """
        factor = 4 if is_new and 'slow' in self.fault else 1
        failing_share = 0.4 if is_new and 'fails' in self.fault else 0.004
        return ModelledStream(
            has_failed=self.random.random() < failing_share,
            is_slow=factor > 1,
            first_ms=int(min(60 * self.random.lognormvariate(0.5, 0.9), 900)),
            event_ms=20 * self.random.uniform(0.8, 1.6) * factor,
            event_count=1 + int(self.random.expovariate(1 / 30)),
        )

    def apply_order(self, version, duration_ms, revision):
        self.order = VersionOrder(
            service=_SERVICE,
            version=version,
            duration_ms=duration_ms,
            revision=revision,
        )
        for vm in self.vms:
            if vm.moves is not None:
                vm.moves.apply_order(self.order)

    def read_state(self, now_ms):
        row = self.state.read(table='status', key=f'rollout/{_SERVICE}')
        if row is not None:
            record = msgspec.json.decode(row.value)
            if record['Target'] == self.order.version:
                self.state_at.append((now_ms, record['State']))


def run_scenario(context):
    fleet = context.fleet
    duration_ms = context.duration_ms

    async def run():
        async with anyio.create_task_group() as tasks:
            for vm in fleet.vms:
                tasks.start_soon(vm.run)
            await anyio.sleep(_ORDERED_MS / 1000)
            if context.second:
                fleet.apply_order('v2', duration_ms, 10)
                await anyio.sleep(duration_ms / 1000 + 2)
                fleet.ordered_ms += duration_ms + 2000
                fleet.fault = 'good'
                fleet.sent.clear()
                fleet.apply_order('v3', duration_ms, 20)
            else:
                fleet.apply_order('v2', duration_ms, 10)
            tasks.start_soon(faults, fleet, tasks, context.beside)
            for _ in range((duration_ms + _AFTER_MS) // 100):
                await anyio.sleep(0.1)
                now_ms = round(anyio.current_time() * 1000)
                fleet.read_state(now_ms - fleet.ordered_ms)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


async def faults(fleet, tasks, kind):
    if kind.startswith('a VM is killed'):
        while True:
            await anyio.sleep(2)
            vm = fleet.random.choice(fleet.vms)
            vm.scope.cancel()
            await anyio.sleep(1)
            tasks.start_soon(vm.run)
    if kind == 'nothing fails':
        return
    seconds = int(re.search(r'for (\d+) s', kind).group(1))
    affected = fleet.vms[:1] if kind.startswith('VM 1') else fleet.vms
    flag = 'lose_answers' if kind.startswith('answers') else 'down'
    await anyio.sleep(_FAULT_MS / 1000)
    for vm in affected:
        setattr(vm.table, flag, True)
    await anyio.sleep(seconds)
    for vm in affected:
        setattr(vm.table, flag, False)


@given(
    '{count:d} VMs that each send {per_s:d} requests per second to a service '
    'with {runners:d} runners'
)
def vms_and_service(context, count, per_s, runners):
    context.fleet = MoveFleet(
        vm_count=count,
        per_s=per_s,
        old_count=runners,
    )
    context.second = False


@given(
    '{count:d} VMs that each send {per_s:g} streams per second to a service '
    'with {runners:d} runners'
)
def vms_and_streams(context, count, per_s, runners):
    vms_and_service(context, count, per_s, runners)
    context.fleet.is_streaming = True


@when(
    'a good version with {count:d} runners is ordered with a deadline of '
    '{seconds:d} s, {beside}'
)
def order_good(context, count, seconds, beside):
    order_bad(context, 'good', count, seconds, beside)


@when(
    'a version that {fault} with {count:d} runners is ordered with a deadline '
    'of {seconds:d} s, {beside}'
)
def order_bad(context, fault, count, seconds, beside):
    fleet = context.fleet
    fleet.fault = fault
    if fault == 'is too rarely used':
        fleet.per_s = _RARE_PER_S
    fleet.new_count = count
    context.duration_ms = seconds * 1000
    context.beside = beside
    steps = context.scenario.steps
    if not any(step.name.endswith('s follows') for step in steps):
        run_scenario(context)


@when(
    'a second order of a good version with a deadline of {seconds:d} s follows'
)
def order_again(context, seconds):
    context.second = True
    run_scenario(context)


@then('1,000 ms before its deadline the order\'s state is "{state}"')
def state_before_deadline(context, state):
    seen = [
        row_state
        for at_ms, row_state in context.fleet.state_at
        if at_ms <= context.duration_ms - 1000
    ]
    assert seen[-1] == state, seen[-1]


@then('the order\'s state is "{state}" by its deadline')
def state_by_deadline(context, state):
    seen = [row_state for at_ms, row_state in context.fleet.state_at]
    by_then = [
        row_state
        for at_ms, row_state in context.fleet.state_at
        if at_ms <= context.duration_ms
    ]
    assert by_then[-1] == state, by_then[-1]
    assert seen[-1] == state, seen[-1]


@then('the order\'s state is "{state}" soon after its deadline')
def state_after_deadline(context, state):
    assert context.fleet.state_at[-1][1] == state


def sent_between(context, first_ms, last_ms):
    return [
        request
        for request in context.fleet.sent
        if first_ms <= request.sent_ms < last_ms
    ]


@then('in the last second all requests go to the {which} version')
def all_go(context, which):
    end_ms = context.duration_ms + _AFTER_MS
    last = sent_between(context, end_ms - 1000, end_ms)
    assert last
    assert all(request.is_new == (which == 'new') for request in last)


@then(
    'in the {before_ms:d} ms before its completion no request goes to the old '
    'version'
)
def none_old(context, before_ms):
    completed_ms = min(
        at_ms
        for at_ms, row_state in context.fleet.state_at
        if row_state == 'completed'
    )
    to_old = [
        request
        for request in sent_between(
            context, completed_ms - before_ms, completed_ms
        )
        if not request.is_new
    ]
    assert not to_old, len(to_old)


@then('until then the new version received at least {count:d} requests')
def enough_evidence(context, count):
    new = [request for request in context.fleet.sent if request.is_new]
    assert len(new) >= count, len(new)


@then(
    'the new version received at most {share:g} of all requests plus {more:d}'
)
def bounded(context, share, more):
    sent = sent_between(context, 0, context.duration_ms)
    new = sum(request.is_new for request in sent)
    assert new <= share * len(sent) + more, (new, len(sent))


@then(
    'it received no request sent later than {seconds:d} s after its '
    '{count:d}th bad answer'
)
def none_after(context, seconds, count):
    bad = [
        request
        for request in context.fleet.sent
        if request.is_new and request.is_bad
    ]
    if len(bad) < count:
        return
    last_ms = bad[count - 1].sent_ms + seconds * 1000
    late = [
        request
        for request in context.fleet.sent
        if request.is_new and request.sent_ms > last_ms
    ]
    assert not late, len(late)


@then(
    'VM 1 sent it no requests from {seconds:d} s after the start of the '
    'outage on'
)
def cut_off(context, seconds):
    first_ms = _FAULT_MS + seconds * 1000
    sent = sent_between(context, first_ms, _FAULT_MS + 6000)
    own = [request for request in sent if request.vm_number == 1]
    assert len(own) > 50
    assert not any(request.is_new for request in own)
    assert any(request.is_new for request in sent)
