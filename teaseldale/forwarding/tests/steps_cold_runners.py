"""Steps for runners that become cold."""

import bisect

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.cold_fleet import COLD_PER_S, ColdFleet

_OVERSHOOT = 1.5
_TOLERANCE = 5
_OBJECTIVE_MS = 100  # of the route
_ANSWER_TIMEOUT_MS = 60  # of a holder that has just ended
_PERIOD_S = 5  # from one cold period to the next
_LEARNING_MS = 250  # from a cold runner's entry until its limit is in use


@given(
    '{vms:d} VMs that send {per_s:d} requests per second to {runners:d} '
    'runners that may be cold'
)
def cold_fleet(context, vms, per_s, runners):
    context.per_s = per_s
    context.fleet = ColdFleet(
        vm_count=vms,
        runner_count=runners,
        kind='safe',
    )
    context.cut_numbers = frozenset()


@given('none is cut off')
def none_cut(context):
    assert not context.fleet.storeless


@given('{count:d} reach the store but no other VM')
def cut_from_vms(context, count):
    context.cut_numbers = frozenset(range(0, count * 3, 3))


@given('{count:d} reach other VMs but not the store')
def cut_from_store(context, count):
    context.fleet.storeless = frozenset(range(0, count * 3, 3))


@given('{count:d} reach neither the store nor other VMs')
def cut_from_all(context, count):
    cut_from_vms(context, count)
    cut_from_store(context, count)


async def play_periods(world, runners, times, *, ends_holder):
    for period in range(times):
        world.turn_cold(runners, 3000)
        await anyio.sleep(1)
        if ends_holder and period == 1:
            world.end_holder(runners[0])
        await anyio.sleep(_PERIOD_S - 1)


def play(context, count, times, *, ends_holder):
    world = context.fleet

    async def run():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            world.note_all_entries()
            tasks.start_soon(world.send_other_requests, context.per_s)
            world.cut_numbers = context.cut_numbers
            # As if noticed long ago: what matters is the fleet after that.
            world.members.remove(
                f'vm-{number}' for number in context.cut_numbers
            )
            await anyio.sleep(1)
            world.began_ms = round(anyio.current_time() * 1000)
            await play_periods(
                world,
                tuple(world.runners.values())[:count],
                times,
                ends_holder=ends_holder,
            )
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


@when(
    'all runners become cold for 3 s, {times:d} times, and a VM that holds a '
    'limit ends'
)
def all_cold(context, times):
    play(context, len(context.fleet.runners), times, ends_holder=True)


@when('{count:d} of the runners become cold for 3 s, {times:d} times')
def some_cold(context, count, times):
    play(context, count, times, ends_holder=False)


def arrivals_by_runner(world):
    found = {name: [] for name in world.runners}
    for arrival in world.arrivals:
        found[arrival.runner_id].append(arrival.at_ms)
    return found


def count_between(times_ms, from_ms, until_ms):
    first = bisect.bisect_left(times_ms, from_ms)
    return bisect.bisect_left(times_ms, until_ms) - first


@then('no cold runner gets more than its bound in any second')
def bound_kept(context):
    world = context.fleet
    bound = COLD_PER_S * _OVERSHOOT + _TOLERANCE
    arrivals = arrivals_by_runner(world)
    most = 0
    for name, periods in world.cold_ms.items():
        for from_ms, until_ms in periods:
            # Seconds that begin once the VMs can know that it is cold.
            from_ms += _LEARNING_MS
            for at_ms in arrivals[name]:
                if from_ms <= at_ms < until_ms - 1000:
                    count = count_between(arrivals[name], at_ms, at_ms + 1000)
                    most = max(most, count)
    print(f'most in a second: {most} of {bound}')
    assert most <= bound, (most, bound)


@then('at least {share:d} in 100 of what the cold runners tolerate is used')
def tolerated_used(context, share):
    world = context.fleet
    arrivals = arrivals_by_runner(world)
    used = tolerated = 0
    for name, periods in world.cold_ms.items():
        for from_ms, until_ms in periods:
            from_ms += _LEARNING_MS
            used += count_between(arrivals[name], from_ms, until_ms)
            tolerated += COLD_PER_S * (until_ms - from_ms) / 1000
    print(f'used: {used / tolerated:.3f}')
    assert used >= tolerated * share / 100, (used, tolerated)


@then('every other request is refused soon after its objective, to come back')
def refused_soon(context):
    world = context.fleet
    refused = [
        caller
        for caller in world.callers
        if caller.status != 200
        and caller.asked_ms > world.began_ms
        and not caller.vm.has_ended
    ]
    assert refused
    for caller in refused:
        assert caller.status in {429, 503}, (caller.status, caller.body)
        assert b'"not_run":true' in caller.body, caller.body
        assert float(caller.headers[b'retry-after']) > 0
        waited_ms = caller.answered_ms - caller.asked_ms
        limit_ms = _OBJECTIVE_MS + _ANSWER_TIMEOUT_MS + 50
        assert waited_ms <= limit_ms, waited_ms


@then(
    'no runner has more than {factor:d} times its equal share of a quarter '
    'second after it is warm'
)
def no_flood(context, factor):
    world = context.fleet
    arrivals = arrivals_by_runner(world)
    equal = context.per_s / len(world.runners) / 4
    most = max(
        count_between(arrivals[name], until_ms, until_ms + 250)
        for name, periods in world.cold_ms.items()
        for _, until_ms in periods
    )
    print(f'most in a quarter second: {most}, equal share {equal}')
    assert most <= equal * factor, (most, equal)
