"""Steps for a VM that gets all requests of one account."""

import asyncio
import functools
import random

import anyio
from behave import given, then, when

from teaseldale.budgets.tests.account_fleet import (
    ACCOUNT,
    AccountFleet,
    sleep_ms,
)
from teaseldale.budgets.tests.steps_fleet_size import keepers_and_others
from teaseldale.fakes import run_in_virtual_time

_DRAW_KINDS = (b'd', b'a', b'r', b'c')
_REQUEST_TOKENS = (1000, 15_000)
_LOSS = 0.2


class SlowLink:
    """Delays and drops the datagrams of one VM, and counts its bytes."""

    def __init__(self, *, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.random = random.Random(7)
        self.is_slow = False
        self.bytes_by_second = {}

    def install(self):
        """Replaces the senders and the receiver of the fleet's VMs."""
        for other in self.fleet.vms:
            other._send = functools.partial(self.send, other)

    def send(self, sender, address, datagram):
        number = int(address.rpartition(':')[2]) - 7000
        target = self.fleet.vms[number - 1]
        is_own = self.vm in (sender, target)
        if sender is self.vm:
            self.count(datagram)
        delay_s = 0.002
        if is_own and self.is_slow:
            if self.random.random() < _LOSS:
                return
            delay_s = self.random.uniform(0.002, 0.3)
        asyncio.get_running_loop().call_later(
            delay_s, self.deliver, target, datagram
        )

    def deliver(self, target, datagram):
        if target is self.vm:
            self.count(datagram)
        target.deliver(datagram)

    def count(self, datagram):
        if datagram[:1] in _DRAW_KINDS:
            second = int(anyio.current_time())
            so_far = self.bytes_by_second.get(second, 0)
            self.bytes_by_second[second] = so_far + len(datagram)


@given(
    '{count:d} VMs with an account of {tokens} tokens of which one VM gets '
    '{per_s:d} requests a second'
)
def busy_vm(context, count, tokens, per_s):
    context.fleet = AccountFleet(
        vm_count=count,
        prepaid_tokens=int(tokens.replace(',', '')),
    )
    _, others = keepers_and_others(context.fleet)
    context.link = SlowLink(fleet=context.fleet, vm=others[0])
    context.link.install()
    context.per_s = per_s


@given('its datagrams take up to 300 ms and a fifth of them are lost')
def slow_link(context):
    context.link.is_slow = True


@when('the requests go on for {seconds:d} s')
def run_requests(context, seconds):
    fleet = context.fleet
    vm = context.link.vm
    random_source = random.Random(3)
    context.outcomes = []  # of the requests sent before the last twentieth
    limit_tokens = fleet.prepaid_tokens * 19 // 20

    async def tracked(tokens):
        is_owed = fleet.used_tokens + tokens <= limit_tokens
        refusal = await fleet.request(vm, tokens)
        if is_owed:
            context.outcomes.append(refusal)

    async def workload():
        for _ in range(context.per_s * seconds):
            fleet.tasks.start_soon(
                tracked, random_source.randint(*_REQUEST_TOKENS)
            )
            await sleep_ms(1000 / context.per_s)
        # A request takes 200 ms, after which a second is left for returns.
        await sleep_ms(1200)
        held = vm.grants._shards[ACCOUNT].held
        context.held_tokens = held.drawn_tokens

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('its draws, answers and returns take at most {limit} bytes in any second')
def bytes_bounded(context, limit):
    most = max(context.link.bytes_by_second.values())
    assert most <= int(limit.replace(',', '')), most


@then(
    'at most 1 in 100 requests is refused while a twentieth of the account '
    'is left'
)
def few_refused(context):
    refused = [code for code in context.outcomes if code is not None]
    assert len(refused) * 100 <= len(context.outcomes), (
        len(refused),
        len(context.outcomes),
        refused[:3],
    )


@then('at least 95 in 100 tokens of the account are used')
def tokens_used(context):
    fleet = context.fleet
    fleet.check()
    assert fleet.used_tokens * 100 >= fleet.prepaid_tokens * 95, (
        fleet.used_tokens
    )


@then('it holds no drawn tokens a second later')
def nothing_drawn(context):
    assert context.held_tokens == 0, context.held_tokens
