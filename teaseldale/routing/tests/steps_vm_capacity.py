"""Steps for decisions by the load of a VM's link, without a network."""

import random
from collections import Counter

import attrs
from behave import given, then, when

from teaseldale.metrics import Metrics
from teaseldale.routing import (
    CapacityRequest,
    LinkTotals,
    LinkWindow,
    VmCapacity,
)

_LINKS = {'a link of 5 Mbit/s': 625_000, 'a link of unknown rate': 0}
_DEFAULT_RATE = 625_000
_STEP_MS = 10
_KINDS = {
    'small urgent': (1000, 0),
    'small late': (1000, 3),
    'large urgent': (60_000, 0),
    'large late': (60_000, 3),
}


@attrs.define(kw_only=True)
class _Clock:
    now_ms: int = 10_000

    def monotonic_ms(self):
        return self.now_ms


class _Vm:
    def __init__(self, link_bytes_per_s):
        self.clock = _Clock()
        self.received_bytes = 0
        self.arrived = Counter()
        self.refused = Counter()
        self.retry_ms = []
        self.is_ready = []  # at checks one second apart
        random_source = random.Random(5)
        self.capacity = VmCapacity(
            link=LinkWindow(
                link_bytes_per_s=link_bytes_per_s,
                read_totals=lambda: LinkTotals(
                    received_bytes=self.received_bytes,
                    sent_bytes=0,
                ),
                clock=self.clock,
            ),
            clock=self.clock,
            metrics=Metrics(),
            random_source=random_source,
        )

    def run(self, duration_ms, bytes_at):
        for elapsed_ms in range(0, duration_ms, _STEP_MS):
            self.clock.now_ms += _STEP_MS
            self.received_bytes += bytes_at(elapsed_ms)
            for kind, (size, priority) in _KINDS.items():
                self._decide(kind, size, priority)
            if elapsed_ms % 1000 == 0:
                self.is_ready.append(self.capacity.is_ready)

    def _decide(self, kind, size, priority):
        self.arrived[kind] += 1
        refusal = self.capacity.decide(
            CapacityRequest(body_bytes=size, priority=priority, left_ms=20_000),
        )
        if refusal is not None:
            self.refused[kind] += 1
            self.retry_ms.append(refusal.retry_after_ms)


class _Balancer:
    """Sends callers to a VM unless two checks in succession have failed."""

    def __init__(self, vm):
        self._vm = vm
        self._failed = 0
        self.waiting_bytes = 0  # in front of the link
        self.checks = []
        self.waits_ms = []

    def run(self, duration_ms, offered_share_at):
        for elapsed_ms in range(0, duration_ms, _STEP_MS):
            self._check(elapsed_ms)
            share = offered_share_at(elapsed_ms) if self._failed < 2 else 0
            self.waiting_bytes += int(share * _DEFAULT_RATE) * _STEP_MS // 1000
            taken = min(self.waiting_bytes, _DEFAULT_RATE * _STEP_MS // 1000)
            self.waiting_bytes -= taken
            self.waits_ms.append(self.waiting_bytes * 1000 // _DEFAULT_RATE)
            self._vm.clock.now_ms += _STEP_MS
            self._vm.received_bytes += taken
            self._vm.capacity.update()

    def _check(self, elapsed_ms):
        if elapsed_ms % 1000:
            return
        is_ready = self._vm.capacity.is_ready
        self.checks.append(is_ready)
        self._failed = 0 if is_ready else self._failed + 1


@given('a VM with {link}')
def some_vm(context, link):
    context.vm = _Vm(_LINKS[link])


@when('requests arrive for {seconds:d} s while its link carries {load:d} %')
def requests_arrive(context, seconds, load):
    step_bytes = _DEFAULT_RATE * load // 100 * _STEP_MS // 1000
    context.vm.run(seconds * 1000, lambda elapsed_ms: step_bytes)


@when(
    'requests arrive for {seconds:d} s while its link carries a body of '
    '{size} bytes'
)
def body_arrives(context, seconds, size):
    left_bytes = int(size.replace(',', ''))
    full_bytes = _DEFAULT_RATE * _STEP_MS // 1000

    def bytes_at(elapsed_ms):
        nonlocal left_bytes
        taken = min(left_bytes, full_bytes) if elapsed_ms >= 1000 else 0
        left_bytes -= taken
        return taken

    context.vm.run(seconds * 1000, bytes_at)
    assert left_bytes == 0, left_bytes


@when(
    'its callers send {load:d} % of its link for {busy:d} s in each minute, '
    'for {minutes:d} minutes'
)
def short_loads(context, load, busy, minutes):
    context.balancer = _Balancer(context.vm)
    context.balancer.run(
        minutes * 60_000,
        lambda elapsed_ms: (
            load / 100 if elapsed_ms % 60_000 < busy * 1000 else 0
        ),
    )


@when('its callers send {load:d} % of its link for {seconds:d} s')
def callers_send(context, load, seconds):
    context.balancer = _Balancer(context.vm)
    context.balancer.run(seconds * 1000, lambda elapsed_ms: load / 100)


@when(
    'its callers send {load:d} % of its link for {seconds:d} s and then '
    '{later:d} % for {later_seconds:d} s'
)
def callers_become_fewer(context, load, seconds, later, later_seconds):
    context.balancer = _Balancer(context.vm)
    context.changed_s = seconds
    context.balancer.run(
        (seconds + later_seconds) * 1000,
        lambda elapsed_ms: (
            load / 100 if elapsed_ms < seconds * 1000 else later / 100
        ),
    )


@then(
    'callers wait for more than {limit:d} ms in front of the link in at most '
    'a quarter of the time'
)
def short_waits(context, limit):
    waits_ms = context.balancer.waits_ms
    long_count = sum(wait_ms > limit for wait_ms in waits_ms)
    assert 0 < long_count <= len(waits_ms) / 4, long_count / len(waits_ms)


@then('the VM is ready from {seconds:d} s after the change on')
def ready_again(context, seconds):
    checks = context.balancer.checks
    assert not all(checks[: context.changed_s]), checks
    assert all(checks[context.changed_s + seconds :]), checks


@then('none of them is refused and the VM is always ready')
def none_refused(context):
    assert not context.vm.refused, context.vm.refused
    assert all(context.vm.is_ready), context.vm.is_ready


@then(
    'more large than small, and more less urgent than urgent ones are refused'
)
def in_order(context):
    refused = context.vm.refused
    assert refused['large late'] > refused['small late'], refused
    assert refused['large urgent'] > refused['small urgent'], refused
    assert refused['large late'] > refused['large urgent'], refused
    assert refused['small late'] > refused['small urgent'], refused


@then('each refusal has a retry delay of at most {limit:d} ms')
def short_delays(context, limit):
    assert context.vm.retry_ms
    assert max(context.vm.retry_ms) <= limit, context.vm.retry_ms


@then('some requests of each kind are served')
def some_served(context):
    vm = context.vm
    assert vm.refused, vm.refused
    # The load is not known in the first 250 ms, in which all are served.
    assert all(vm.arrived[kind] - vm.refused[kind] > 30 for kind in _KINDS), (
        vm.refused
    )


@then('the VM is not ready for less than an eighth of the time')
def mostly_ready(context):
    checks = context.balancer.checks
    failed = checks.count(False)
    assert 0 < failed < len(checks) / 8, checks


@then('each withdrawal is seen by two checks in succession')
def seen_twice(context):
    text = ''.join('.' if ready else 'x' for ready in context.vm.is_ready)
    # A withdrawal at the end of the test is not over.
    runs = [run for run in text.rstrip('x').split('.') if run]
    assert runs and all(len(run) >= 2 for run in runs), text
