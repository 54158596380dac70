"""Steps for the exchange of placements in a cell, without a network."""

import random

import attrs
import msgspec
from behave import given, then, when

from teaseldale.routing import (
    BacklogChoice,
    BaseLeavingRunners,
    PlacementExchange,
    PlannedWork,
    SharedPart,
)
from teaseldale.routing._placement_messages import (
    PLACEMENT_DELTA,
    runner_code,
)

_STEP_MS = 33
_HEADER_BYTES = 28
_SLOTS = 16


@attrs.define(kw_only=True)
class _Clock:
    now_ms: int = 10_000

    def monotonic_ms(self):
        return self.now_ms


class _NoLeaving(BaseLeavingRunners):
    def leaving(self):
        return ()

    def note_leaving(self, names):
        """Ignores the names."""


class _CurrentVm:
    def __init__(self, name, clock, runners):
        self.choice = BacklogChoice(
            clock=clock,
            random_source=random.Random(1),
        )
        for runner in runners:
            self.choice.backlog(runner, _SLOTS)
        self.exchange = PlacementExchange(
            vm_name=name,
            choice=self.choice,
            leaving_runners=_NoLeaving(),
            clock=clock,
        )

    def receive(self, content):
        self.exchange.handlers[content[:1]](content[1:])

    def counts(self):
        self.exchange.remove_expired()
        return {
            backlog.runner: (
                backlog.remote_count,
                backlog.remote_unread_tokens,
            )
            for backlog in self.choice.backlogs()
            if backlog.remote_count or backlog.remote_unread_tokens
        }

    def send(self, names):
        return self.exchange.next_datagrams(names)


class _OlderVm:
    """Reads notices as builds before deltas: each replaces all counts."""

    def __init__(self, name, clock, runners):
        self._clock = clock
        self._counts = {}
        self._heard_ms = 0

    def receive(self, content):
        if content[:1] == b'p':
            notice = msgspec.msgpack.decode(content[1:])
            self._counts = {
                runner: (running, unread)
                for runner, running, unread in notice[1]
            }
            self._heard_ms = self._clock.now_ms

    def counts(self):
        is_expired = self._clock.now_ms - self._heard_ms > 3000
        return {} if is_expired else self._counts

    def send(self, names):
        return ()


_BUILDS = {
    'current': (_CurrentVm, _CurrentVm),
    'older builds': (_OlderVm, _OlderVm),
    'of both kinds': (_CurrentVm, _OlderVm),
}


class _Cell:
    def __init__(self, vm_count, runner_count, builds):
        self.clock = _Clock()
        self.random = random.Random(3)
        self.loss_share = 0
        self.sent = []  # time and bytes of the busy VM's datagrams
        self.placed = []
        runners = [f'runner-eu-west-{number}' for number in range(runner_count)]
        self.runners = runners
        self.first_delta = None  # of the busy VM's first process
        self.busy = _CurrentVm('vm-0', self.clock, runners)
        self.vms = {'vm-0': self.busy}
        for number in range(1, vm_count):
            make = _BUILDS[builds][number % 2]
            name = f'vm-{number}'
            self.vms[name] = make(name, self.clock, runners)

    @property
    def others(self):
        return [vm for vm in self.vms.values() if vm is not self.busy]

    def run(self, duration_ms, requests_per_s=0):
        due = 0
        for _ in range(duration_ms // _STEP_MS):
            self.clock.now_ms += _STEP_MS
            due += requests_per_s * _STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.place()
            self._end_due()
            self._exchange()

    def restart(self):
        """Ends all requests of the busy VM and starts it again."""
        self.placed = []
        self.busy = _CurrentVm('vm-0', self.clock, self.runners)
        self.vms['vm-0'] = self.busy

    def restart_others(self):
        """Starts all but the busy VM again."""
        for name, vm in tuple(self.vms.items()):
            if vm is not self.busy:
                self.vms[name] = type(vm)(name, self.clock, self.runners)

    def place(self, duration_ms=600):
        part = SharedPart(
            part_id=f'part-{self.random.randrange(40):030d}',
            token_count=500,
        )
        tail = SharedPart(
            part_id=f'tail-{self.random.random()}',
            token_count=1000,
        )
        backlog = self.random.choice(self.busy.choice.backlogs())
        placed = self.busy.choice.place(
            PlannedWork(parts=(part, tail), prompt_tokens=1500),
            backlog,
        )
        now_ms = self.clock.now_ms
        self.placed.append((now_ms + duration_ms, placed))

    def _end_due(self):
        running = []
        for end_ms, placed in self.placed:
            if end_ms > self.clock.now_ms:
                running.append((end_ms, placed))
                continue
            self.busy.choice.mark_prefilled(placed)
            self.busy.choice.mark_completed(placed)
        self.placed = running

    def _exchange(self):
        for name, vm in self.vms.items():
            peers = tuple(other for other in self.vms if other != name)
            for datagram in vm.send(peers):
                for receiver in datagram.vm_names:
                    self._deliver(vm, receiver, datagram.content)

    def _deliver(self, sender, receiver, content):
        if sender is self.busy:
            size = len(content) + _HEADER_BYTES
            self.sent.append((self.clock.now_ms, size))
            if content[:1] == PLACEMENT_DELTA and self.first_delta is None:
                self.first_delta = content
        if self.random.random() >= self.loss_share:
            self.vms[receiver].receive(content)


@given(
    'a cell of {vms:d} VMs with {runners:d} runners, where the others are '
    '{builds}'
)
def some_cell(context, vms, runners, builds):
    context.cell = _Cell(vms, runners, builds)


@given('half of the datagrams are lost')
def half_lost(context):
    context.cell.loss_share = 0.5


@when('one VM places and ends {rate:d} requests a second for {seconds:d} s')
def place_and_end(context, rate, seconds):
    cell = context.cell
    cell.run(seconds * 1000, rate)
    context.running = {
        backlog.runner: backlog.running_count
        for backlog in cell.busy.choice.backlogs()
    }


@when('one VM places {count:d} requests that do not end')
def place_endless(context, count):
    for _ in range(count):
        context.cell.place(duration_ms=1_000_000)


@when('this VM starts again after {delay} ms')
def start_again(context, delay):
    context.cell.run(int(delay.replace(',', '')))
    context.cell.restart()


@when('the other VMs start again after {delay:d} ms')
def others_start_again(context, delay):
    context.cell.run(delay)
    context.cell.restart_others()


@when('the first delta of its earlier process arrives {delay:d} ms later')
def late_delta(context, delay):
    cell = context.cell
    cell.run(delay)
    for vm in cell.others:
        vm.receive(cell.first_delta)


def _send_earlier_delta(cell, number, count):
    """Sends a delta as builds without process ids encode it."""
    code = runner_code(cell.runners[0])
    content = msgspec.msgpack.encode(
        ('vm-0', number, ((code, count, 0),), (), ()),
    )
    for vm in cell.others:
        vm.receive(PLACEMENT_DELTA + content)


@when(
    'one VM of an earlier build sends {delta_count:d} deltas of {count:d} '
    'requests'
)
def earlier_build_sends(context, delta_count, count):
    for number in range(delta_count):
        _send_earlier_delta(context.cell, number, count)


@when(
    'this VM of an earlier build starts again and sends one of {count:d} '
    'requests'
)
def earlier_build_starts_again(context, count):
    _send_earlier_delta(context.cell, 0, count)


@then('the others count {count:d} requests of it')
def count_of_earlier_build(context, count):
    for vm in context.cell.others:
        total = sum(running for running, _ in vm.counts().values())
        assert total == count, vm.counts()


@then('its placement datagrams take at most {limit} bytes in any second')
def within_budget(context, limit):
    limit_bytes = int(limit.replace(',', ''))
    sent = context.cell.sent
    for start_ms, _ in sent:
        second_bytes = sum(
            size
            for sent_ms, size in sent
            if start_ms <= sent_ms < start_ms + 1000
        )
        assert second_bytes <= limit_bytes, (start_ms, second_bytes)
    assert sum(size for _, size in sent) > limit_bytes


@then(
    'the others have counts of it that are right {seconds:d} s after its work '
    'has ended'
)
def counts_are_right(context, seconds):
    cell = context.cell
    cell.run(seconds * 1000)
    assert not cell.placed, cell.placed
    for vm in cell.others:
        assert vm.counts() == {}, vm.counts()


@then(
    'the others count these {count:d} requests within {delay} ms and for '
    '{seconds:d} s'
)
def count_requests(context, count, delay, seconds):
    cell = context.cell
    cell.run(int(delay.replace(',', '')))
    for _ in range(seconds * 10):
        for vm in cell.others:
            total = sum(running for running, _ in vm.counts().values())
            assert total == count, vm.counts()
        cell.run(100)
