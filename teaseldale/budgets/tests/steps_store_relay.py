"""Steps for calls to the store through other VMs."""

import functools

import anyio
import attrs
import msgspec
from behave import then, when

from teaseldale.budgets._relay_messages import (
    RELAY_CALL,
    RelayAnswer,
    RelayCall,
    RelayState,
)
from teaseldale.budgets.tests.account_fleet import ACCOUNT, sleep_ms
from teaseldale.fakes import run_in_virtual_time


def play(context, workload):
    run_in_virtual_time(functools.partial(context.fleet.run_workload, workload))


async def load_all(fleet, seconds):
    async with anyio.create_task_group() as loads:
        for vm in fleet.vms:
            loads.start_soon(
                functools.partial(
                    fleet.load,
                    vm,
                    tokens=500,
                    per_s=10,
                    duration_ms=seconds * 1000,
                )
            )


@when(
    'VMs 1 and 2 are cut off from the store for {seconds:d} s under load, '
    'and all VMs lose power for 1 s'
)
def lose_power_during_cut(context, seconds):
    fleet = context.fleet

    async def workload():
        await load_all(fleet, 3)
        for vm in fleet.vms[:2]:
            vm.table.down = True
        await load_all(fleet, seconds)
        for vm in fleet.vms:
            vm.kill()
        await sleep_ms(1000)
        for vm in fleet.vms:
            await fleet.start(vm)
        await sleep_ms(2000)
        context.unused = fleet.prepaid_tokens - fleet.used_tokens
        before = fleet.used_tokens
        refused = len(fleet.refusals)
        while len(fleet.refusals) < refused + 20:
            vm = fleet.random.choice(fleet.vms)
            await fleet.request(vm, 500, lasts_ms=1)
        context.usable = fleet.used_tokens - before

    play(context, workload)


@when('VMs 1 and 2 are cut off, and VM 3 ends and restarts 2 s later')
def relay_restarts(context):
    fleet = context.fleet
    first, second, third = fleet.vms

    async def workload():
        await load_all(fleet, 2)
        first.table.down = True
        second.table.down = True
        async with anyio.create_task_group() as loads:
            loads.start_soon(load_all, fleet, 8)
            await sleep_ms(3000)
            third.kill()
            await sleep_ms(2000)
            await fleet.start(third)
            # VM 3 reads its rows before it can relay anything.
            await sleep_ms(1500)
            now_ms = round(anyio.current_time() * 1000)
            context.mark_ages_ms = [
                now_ms - mark_of(vm).made_ms for vm in (first, second)
            ]

    play(context, workload)


def mark_of(vm):
    return vm.grants._shards[ACCOUNT].rounds.limits.acknowledged


@then('the marks of VMs 1 and 2 are renewed within {limit} ms of its restart')
def marks_renewed(context, limit):
    limit_ms = int(limit.replace(',', ''))
    assert max(context.mark_ages_ms) <= limit_ms, context.mark_ages_ms


@when('VM 1 is asked to relay {count:d} reads within a second')
def ask_for_relays(context, count):
    fleet = context.fleet
    context.asked_count = count
    context.answers = []

    async def workload():
        await fleet.request(fleet.vms[0], 500)
        grants = fleet.vms[0].grants
        grants.set_datagram_sender(
            lambda _, datagram: (
                context.answers.append(
                    msgspec.msgpack.decode(datagram[1:], type=RelayAnswer)
                )
                if datagram[:1] == b'z'
                else None
            )
        )
        call = RelayCall(call_id='', caller_address='test', part=ACCOUNT)
        for number in range(count):
            numbered = attrs.evolve(call, call_id=str(number))
            encoded = msgspec.msgpack.encode(numbered)
            grants.handlers[RELAY_CALL](encoded)
            await sleep_ms(1000 / count)
        await sleep_ms(100)

    play(context, workload)


@then(
    'it has relayed at most {limit:d} of them and answered the others at once'
)
def relays_bounded(context, limit):
    states = [answer.state for answer in context.answers]
    assert len(states) == context.asked_count, len(states)
    relayed = states.count(RelayState.READ)
    assert 0 < relayed <= limit, relayed
    assert states.count(RelayState.UNAVAILABLE) == len(states) - relayed
