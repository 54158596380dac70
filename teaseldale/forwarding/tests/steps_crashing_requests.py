"""Steps for requests that crash the runners that run them."""

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.crashing_fleet import (
    CRASHING_BODY,
    CrashingFleet,
)
from teaseldale.forwarding.tests.fleet_world import CONTACT_MS
from teaseldale.upstreams import Suspect

_REPEAT_MS = 400
_REPEATED_COUNT = 40
_LATE_ARRIVALS = 3  # allowed after the third crash and the contact time
_OTHERS_PER_S = 60


@given('{vms:d} VMs that forward "{kind}" requests to {runners:d} runners')
def fleet(context, vms, kind, runners):
    context.fleet = CrashingFleet(
        vm_count=vms,
        runner_count=runners,
        kind=kind,
    )


async def repeat(world, count):
    """Sends the crashing request again and again, each time to some VM."""
    for _ in range(count):
        await world.random.choice(world.vms).ask(CRASHING_BODY)
        await anyio.sleep(_REPEAT_MS / 1000)


def play(context, scenario):
    context.scenario_run = scenario
    if any('minutes pass' in step.name for step in context.scenario.steps):
        return
    run_scenario(context, scenario)


def run_scenario(context, scenario):
    world = context.fleet

    async def run():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            if world.sends_others:
                tasks.start_soon(world.send_other_requests, _OTHERS_PER_S)
            await scenario(world)
            await anyio.sleep(1)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


@when('a request that crashes its runners is sent again and again')
def send_again(context):
    async def scenario(world):
        await repeat(world, _REPEATED_COUNT)

    play(context, scenario)


@when(
    'a request that crashes its runners is sent again and again, and a VM '
    'starts after its third crash'
)
def send_to_late_vm(context):
    async def scenario(world):
        await repeat(world, _REPEATED_COUNT // 2)
        await world.start_vm(0)
        await anyio.sleep(1)
        world.vms = world.vms[-1:]
        await repeat(world, _REPEATED_COUNT // 2)

    play(context, scenario)


@when(
    'a request that crashes its runners is sent again and again, and the '
    'store is down for 8 s from its first crash on'
)
def send_in_outage(context):
    async def scenario(world):
        await repeat(world, 1)
        _set_down(world, down=True)
        await repeat(world, 8000 // _REPEAT_MS)
        _set_down(world, down=False)
        world.crashes.clear()
        world.arrivals.clear()
        await anyio.sleep(CONTACT_MS / 1000)
        await repeat(world, _REPEATED_COUNT)

    play(context, scenario)


def _set_down(world, *, down):
    for vm in world.vms:
        vm.table.down = down


@when('{share:g} of the runners crash every {seconds:d} s, without a cause')
def crash_runners(context, share, seconds):
    async def scenario(world):
        for _ in range(6):
            world.crash_some(share)
            await anyio.sleep(seconds)

    play(context, scenario)


@then(
    'the request reaches at most 3 runners from the contact time after its '
    'third crash on'
)
def few_late_arrivals(context):
    world = context.fleet
    caused = [crash.at_ms for crash in world.crashes if crash.is_caused]
    if len(caused) < 3:
        return
    from_ms = caused[2] + CONTACT_MS
    late = [
        arrival
        for arrival in world.arrivals
        if arrival.body == CRASHING_BODY and arrival.at_ms > from_ms
    ]
    assert len(late) <= _LATE_ARRIVALS, (len(late), len(caused))


@then('it crashes at most {count:d} runners')
def few_crashes(context, count):
    caused = [crash for crash in context.fleet.crashes if crash.is_caused]
    assert 0 < len(caused) <= count, len(caused)


@then('it crashes at most {count:d} runners after the outage')
def few_crashes_later(context, count):
    caused = [crash for crash in context.fleet.crashes if crash.is_caused]
    assert len(caused) <= count, len(caused)


@then('every refusal of it that denies a run is true')
def refusals_true(context):
    world = context.fleet
    arrived = {arrival.request_id for arrival in world.arrivals}
    denied = [
        caller.request_id
        for caller in world.callers
        if caller.status in {408, 421, 429, 503}
    ]
    assert denied
    assert not arrived.intersection(denied)


@then('no other request is refused as one that crashes runners')
def others_not_refused(context):
    refused = [
        caller
        for caller in context.fleet.callers
        if b'crashes_runners' in caller.body
        and caller._request_body != CRASHING_BODY
    ]
    assert len(context.fleet.callers) > 500, len(context.fleet.callers)
    assert not refused, len(refused)


@when('{minutes:d} minutes pass')
def minutes_pass(context, minutes):
    async def scenario(world):
        world.vms = world.vms[:2]
        await context.scenario_run(world)
        assert stored_crashes(world)
        await anyio.sleep(minutes * 60)

    world = context.fleet
    world.sends_others = False
    run_scenario(context, scenario)


@then('no row of a crash is left in the store')
def no_rows(context):
    assert not stored_crashes(context.fleet)


def stored_crashes(world):
    return world.state.scan(
        table='request_crashes',
        prefix='',
        after_revision=0,
    )


@when(
    'crashes under {count} different requests are reported during an outage '
    'of the store'
)
def report_many(context, count):
    async def scenario(world):
        _set_down(world, down=True)
        runner = world.runners['i-0']
        runner.is_up = False
        crashes = world.vms[0].parts.crashes
        for number in range(int(count.replace(',', ''))):
            await crashes.examine_break(
                (Suspect(key=f'fingerprint-{number}'),),
                runner.entry,
                running_ms=10,
            )

    context.fleet.sends_others = False
    run_scenario(context, scenario)


@then('the VM keeps {suspects} suspects and {rows} rows to write')
def bounded_memory(context, suspects, rows):
    crashes = context.fleet.vms[0].parts.crashes
    assert len(crashes._suspects._suspects) == int(suspects.replace(',', ''))
    writer = crashes._writer
    assert len(writer._pending) == int(rows.replace(',', ''))
    assert len(writer._pending_since_ms) == len(writer._pending)
