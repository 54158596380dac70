"""Steps for runners that announce in their answers that they leave."""

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.leaving_fleet import LeavingFleet

_LEAVING_S = 10
_AT_ONCE_MS = 20


@given(
    '{vms:d} VMs that send {per_s:d} requests per second to {runners:d} '
    'runners, some of which leave'
)
def leaving_fleet(context, vms, per_s, runners):
    context.per_s = per_s
    context.fleet = LeavingFleet(
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
            await anyio.sleep(2)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


@when('{count:d} of the runners announce their leaving in {answers}')
def some_leave(context, count, answers):
    kind, _, event = answers.partition(' and ')

    async def scenario(world):
        world.leave(count, kind)
        await anyio.sleep(_LEAVING_S / 2)
        if event:
            world.write_entries_again()
        await anyio.sleep(_LEAVING_S / 2)

    play(context, scenario)


@given('{share:d} in 100 datagrams between them are lost')
def lost_datagrams(context, share):
    context.fleet.loss_share = share / 100


@when('{count:d} of the runners announce their leaving to one VM only')
def some_leave_for_one(context, count):
    context.fleet.announced_to = (0,)
    some_leave(context, count, 'complete answers')


@then(
    'no VM sends them a request that came later than {slack_ms:d} ms after '
    'the first such answer'
)
def nothing_sent_late_by_others(context, slack_ms):
    world = context.fleet
    leaving = [
        runner for runner in world.runners.values() if runner.announced_ms
    ]
    assert leaving
    for runner in leaving:
        first_ms = min(runner.announced_ms.values())
        runner.announced_ms = dict.fromkeys(range(len(world.vms)), first_ms)
    nothing_sent_late(context, slack_ms)


def late_arrivals(world, slack_ms):
    """Returns the arrivals of requests that came after an announcement."""
    asked_ms = {caller.request_id: caller.asked_ms for caller in world.callers}
    return [
        arrival
        for arrival in world.arrivals
        if arrival.request_id in asked_ms
        and asked_ms[arrival.request_id]
        > slack_ms
        + world.runners[arrival.runner_id].announced_ms.get(
            arrival.vm_number,
            float('inf'),
        )
    ]


@then(
    'no VM sends them a request that came later than {slack_ms:d} ms after '
    'such an answer'
)
def nothing_sent_late(context, slack_ms):
    world = context.fleet
    assert any(runner.announced_ms for runner in world.runners.values())
    late = late_arrivals(world, slack_ms)
    assert not late, (len(late), late[0])


@then('at least {share:d} in 100 requests to the leaving fleet are served')
def served(context, share):
    callers = context.fleet.callers
    count = sum(caller.status == 200 for caller in callers)
    assert count >= len(callers) * share / 100, (count, len(callers))


@then('requests that no runner takes are refused at once, to come back')
def refused_at_once(context):
    refused = [
        caller for caller in context.fleet.callers if caller.status != 200
    ]
    assert refused
    for caller in refused:
        assert caller.status == 503, (caller.status, caller.body)
        assert b'"not_run":true' in caller.body, caller.body
        assert float(caller.headers[b'retry-after']) > 0
        waited_ms = caller.answered_ms - caller.asked_ms
        assert waited_ms <= _AT_ONCE_MS, waited_ms


@then('no runner counts as leaving')
def none_leaving(context):
    for vm in context.fleet.vms:
        assert not vm.parts.announcements.leaving(), vm.number
