"""Steps for parts of prompts that crash the runners that answer them."""

import functools

import anyio
from behave import given, then, when

from teaseldale.forwarding.tests.fleet_world import CONTACT_MS
from teaseldale.forwarding.tests.prompting_fleet import (
    BAD_BODY,
    BAD_PARTS,
    Prompt,
    PromptingFleet,
)
from teaseldale.forwarding.tests.steps_crashing_requests import run_scenario

_LATE_ARRIVALS = 3  # allowed after the fifth crash and the contact time
_REFUSED = b'crashes_runners'


@given('{vms:d} VMs that forward "{kind}" prompts to {runners:d} runners')
def fleet(context, vms, kind, runners):
    context.fleet = PromptingFleet(
        vm_count=vms,
        runner_count=runners,
        kind=kind,
    )
    context.fleet.sends_others = False


@given('the first event of an answer comes {pause_ms:d} ms after its beginning')
def first_event(context, pause_ms):
    context.fleet.first_event_ms = pause_ms


@given('the bad part crashes runners from {seconds:d} s on')
def bad_later(context, seconds):
    context.fleet.bad_from_ms = seconds * 1000


def send(world, per_s, second=''):
    """Starts sending prompts with a second part, by default a sound one."""
    if per_s:
        world.tasks.start_soon(
            world.send_prompts,
            per_s,
            functools.partial(world.make_prompt, second),
        )


@when(
    '{sound:d} sound prompts/s and {bad:d} prompts/s with a bad part are sent '
    'for {seconds:d} s'
)
def send_both(context, sound, bad, seconds):
    async def scenario(world):
        send(world, sound)
        send(world, bad, BAD_PARTS[0])
        await anyio.sleep(seconds)

    run_scenario(context, scenario)


@when(
    '{sound:d} sound prompts/s, prompts with two bad parts and a bad request '
    'are sent for {seconds:d} s'
)
def send_several(context, sound, seconds):
    async def scenario(world):
        send(world, sound)
        send(world, 3, BAD_PARTS[0])
        send(world, 2, BAD_PARTS[1])
        bad = Prompt(part_ids=('common0', 'usual0', 'own'), body=BAD_BODY)
        world.tasks.start_soon(world.send_prompts, 2, lambda: bad)
        await anyio.sleep(seconds)

    run_scenario(context, scenario)


@when(
    '{sound:d} sound prompts/s and {bad:d} prompts/s with a bad part are sent '
    'for {seconds:d} s while {share:g} of the runners crash every {pause:d} s'
)
def send_while_crashing(context, sound, bad, seconds, share, pause):
    async def scenario(world):
        send(world, sound)
        send(world, bad, BAD_PARTS[0])
        for _ in range(seconds // pause):
            world.crash_some(share)
            await anyio.sleep(pause)

    run_scenario(context, scenario)


@when('prompts with a bad part come at a VM that started after the fifth crash')
def send_to_late_vm(context):
    async def scenario(world):
        send(world, 20)
        send(world, 4, BAD_PARTS[0])
        await anyio.sleep(10)
        await world.start_vm(0)
        await anyio.sleep(1)
        world.vms = world.vms[-1:]
        await anyio.sleep(10)

    run_scenario(context, scenario)


def late_arrivals(world, part_id):
    """Returns what a part crashed, and its arrivals after the contact time."""
    arrivals = [
        arrival
        for arrival in world.arrivals
        if part_id in world.prompts[arrival.request_id].part_ids
    ]
    crashes = sorted(
        crash.at_ms
        for crash in world.crashes
        if crash.is_caused
        and any(_is_cause(arrival, crash) for arrival in arrivals)
    )
    if len(crashes) < 5:
        return crashes, []
    from_ms = crashes[4] + CONTACT_MS
    return crashes, [arrival for arrival in arrivals if arrival.at_ms > from_ms]


def _is_cause(arrival, crash):
    return (
        arrival.runner_id == crash.runner_id
        and 0 <= crash.at_ms - arrival.at_ms < 300
    )


@then(
    'at most 3 bad prompts reach runners from the contact time after the '
    'fifth crash on'
)
def few_late_arrivals(context):
    crashes, late = late_arrivals(context.fleet, BAD_PARTS[0])
    assert crashes
    assert len(late) <= _LATE_ARRIVALS, (len(late), len(crashes))


@then(
    'at most 3 prompts with each bad part reach runners from the contact time '
    'after its fifth crash on'
)
def few_late_arrivals_each(context):
    counts = []
    for part_id in BAD_PARTS:
        crashes, late = late_arrivals(context.fleet, part_id)
        assert crashes
        counts.append((len(late), len(crashes)))
    assert all(late <= _LATE_ARRIVALS for late, _ in counts), counts


@then('they crash at most {count:d} runners')
def few_crashes(context, count):
    caused = [crash for crash in context.fleet.crashes if crash.is_caused]
    assert 0 < len(caused) <= count, len(caused)


@then('no sound prompt is refused as one that crashes runners')
def sound_not_refused(context):
    sound = _sound_callers(context.fleet)
    refused = [caller for caller in sound if _REFUSED in caller.body]
    assert len(sound) > 500, len(sound)
    assert not refused, len(refused)


def _sound_callers(world):
    return [caller for caller in world.callers if not caller.prompt.is_bad]


@then(
    'at least {share:g} of the sound prompts begin at the first attempt once '
    'the part is held back'
)
def sound_begin(context, share):
    world = context.fleet
    crashes, _ = late_arrivals(world, BAD_PARTS[0])
    from_ms = crashes[:5][-1] + 2 * CONTACT_MS
    later = [
        caller for caller in _sound_callers(world) if caller.asked_ms > from_ms
    ]
    begun = [caller for caller in later if caller.status == 200]
    assert len(later) > 100, len(later)
    assert len(begun) >= share * len(later), (len(begun), len(later))


@then('every refusal of a bad prompt that denies a run is true')
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
