"""Steps for runners that limit the requests of all VMs together."""

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.fleet_world import CONTACT_MS
from teaseldale.forwarding.tests.limited_fleet import LimitedFleet

_WINDOW_MS = 4000
_EXCESS_FACTOR = 1.5
_EXTRA_REQUESTS = 5
_TOLD_MS = 500  # from a VM's first answer with the limit until it is bound
_LIMITED_S = 20
_OBJECTIVE_MS = 100  # of the route


@given(
    '{vms:d} VMs that send {per_s:d} requests per second to {runners:d} runners'
)
def limited_fleet(context, vms, per_s, runners):
    context.per_s = per_s
    context.fleet = LimitedFleet(
        vm_count=vms,
        runner_count=runners,
        kind='safe',
    )


def play(context, scenario):
    world = context.fleet

    async def run():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            tasks.start_soon(world.send_other_requests, context.per_s)
            await anyio.sleep(4)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


@when('{count:d} of the runners limit their requests to {limit:g} per second')
def limit_some(context, count, limit):
    context.limit_per_s = limit

    async def scenario(world):
        world.limit(count, limit)
        await anyio.sleep(_LIMITED_S)

    play(context, scenario)


@when(
    '{count:d} of the runners limit their requests to {limit:g} per second '
    'while {share:d} in 100 datagrams are lost'
)
def limit_with_losses(context, count, limit, share):
    context.fleet.loss_share = share / 100
    limit_some(context, count, limit)


@when(
    '{count:d} of the runners limit their requests to {limit:g} per second '
    'and then {event}'
)
def limit_then(context, count, limit, event):
    context.limit_per_s = limit

    async def scenario(world):
        world.limit(count, limit)
        await anyio.sleep(_LIMITED_S)
        if event == 'limit them no more':
            world.lift()
        elif event == 'start again':
            world.unlimited_ms = round(anyio.current_time() * 1000)
            for runner in tuple(world.runners.values())[:count]:
                runner.restart()
        elif event == 'fall silent':
            for runner in tuple(world.runners.values())[:count]:
                runner.is_silent = True
        else:
            world.remove_holders()
        await anyio.sleep(_LIMITED_S)

    play(context, scenario)


def bound_arrivals(world, runner):
    """Returns the arrivals at a runner from VMs that are bound by its limit."""
    end_ms = world.unlimited_ms or float('inf')
    return [
        arrival.at_ms
        for arrival in world.arrivals
        if arrival.runner_id == runner.entry.runner_id
        and arrival.at_ms <= end_ms
        and arrival.at_ms
        >= runner.told_ms.get(arrival.vm_number, float('inf')) + _TOLD_MS
    ]


def all_arrivals(world, runner, from_ms):
    return [
        arrival.at_ms
        for arrival in world.arrivals
        if arrival.runner_id == runner.entry.runner_id
        and from_ms <= arrival.at_ms <= (world.unlimited_ms or float('inf'))
    ]


def most_in_window(times_ms, from_ms):
    return max(
        (
            sum(at_ms - _WINDOW_MS < other <= at_ms for other in times_ms)
            for at_ms in times_ms
            if at_ms >= from_ms
        ),
        default=0,
    )


@then('no runner gets more than its limit allows')
def limits_kept(context):
    world = context.fleet
    limited = [runner for runner in world.runners.values() if runner.named_ms]
    assert limited
    for runner in limited:
        allowed = _EXCESS_FACTOR * context.limit_per_s * _WINDOW_MS / 1000
        allowed += _EXTRA_REQUESTS
        from_ms = runner.named_ms + CONTACT_MS
        most = most_in_window(bound_arrivals(world, runner), from_ms)
        assert most <= allowed, (runner.entry.runner_id, most, allowed)
        # VMs that got no answer with the limit are told by the others.
        settled = all_arrivals(world, runner, from_ms)
        most = most_in_window(settled, from_ms + _WINDOW_MS)
        assert most <= allowed, (runner.entry.runner_id, most, allowed)


@then('at least {share:d} in 100 requests are served')
def served(context, share):
    callers = context.fleet.callers
    count = sum(caller.status == 200 for caller in callers)
    assert count >= len(callers) * share / 100, (count, len(callers))


@then('at least {share:d} in 100 of what the limits allow is used')
def limits_used(context, share):
    world = context.fleet
    from_ms = world.limited_ms + CONTACT_MS
    until_ms = max(arrival.at_ms for arrival in world.arrivals)
    limited = [runner for runner in world.runners.values() if runner.named_ms]
    used = sum(len(all_arrivals(world, runner, from_ms)) for runner in limited)
    allowed = sum(runner.limit_per_s for runner in limited)
    allowed *= (until_ms - from_ms) / 1000
    assert used >= allowed * share / 100, (used, allowed)


@then('every other request is refused within its objective, to come back')
def refused_soon(context):
    world = context.fleet
    refused = [
        caller
        for caller in world.callers
        if caller.status != 200
        and caller.asked_ms > world.limited_ms + CONTACT_MS
    ]
    assert refused
    for caller in refused:
        assert caller.status in {429, 503}, (caller.status, caller.body)
        assert b'"not_run":true' in caller.body, caller.body
        assert float(caller.headers[b'retry-after']) > 0
        waited_ms = caller.answered_ms - caller.asked_ms
        assert waited_ms <= _OBJECTIVE_MS + 50, waited_ms


@then(
    'in the last {seconds:d} s each runner gets at least half of an equal share'
)
def shares_regained(context, seconds):
    world = context.fleet
    end_ms = max(arrival.at_ms for arrival in world.arrivals)
    from_ms = end_ms - seconds * 1000
    equal = context.per_s * seconds / len(world.runners)
    for name in world.runners:
        count = sum(
            arrival.runner_id == name and arrival.at_ms > from_ms
            for arrival in world.arrivals
        )
        assert count >= equal / 2, (name, count, equal)
