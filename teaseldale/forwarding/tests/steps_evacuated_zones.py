"""Steps for runners of evacuated availability zones."""

import attrs
from behave import given, then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.forwarding import RelayedRunners
from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._attempt import Attempt
from teaseldale.forwarding._runner_selection import (
    RunnerSelection,
    SelectedRunner,
)
from teaseldale.forwarding.tests.entry_world import (
    EntryOptions,
    make_configuration,
    make_entry,
    make_runner,
)
from teaseldale.routing import Permit, PlannedWork, SharedPart

_PROMPT_TOKENS = 5000
_WORK = PlannedWork(
    parts=(SharedPart(part_id='p', token_count=_PROMPT_TOKENS),),
    prompt_tokens=_PROMPT_TOKENS,
)


def play(context, scenario):
    async def run():
        await scenario(context)

    run_in_virtual_time(run)


@given(
    'a runner in zone "{first}" that caches a prompt which a runner in zone '
    '"{second}" gets'
)
def two_zones(context, first, second):
    context.runners = tuple(
        attrs.evolve(make_runner(number), availability_zone=zone)
        for number, zone in enumerate((first, second))
    )

    async def scenario(context):
        _, context.parts = make_entry(
            EntryOptions(
                connections=None,
                clock=VirtualClock(),
                configuration=make_configuration('resumable', 2),
                runners=context.runners,
            ),
        )
        choice = context.parts.choice
        choice.backlog(context.runners[0].runner_id, 4).note_parts(_WORK)
        context.attempt = Attempt(
            parts=context.parts,
            selected=SelectedRunner(
                runner=context.runners[1],
                permit=Permit(wait_ms=0),
            ),
            work=_WORK,
            route='route',
        )

    play(context, scenario)


@when('zone "{zone}" is evacuated')
def evacuate(context, zone):
    context.parts.directory.evacuate_only({zone})


@when('no zone is evacuated')
def evacuate_none(context):
    context.parts.directory.evacuate_only(())


def runner_in(context, zone):
    (runner,) = (
        runner for runner in context.runners if runner.availability_zone == zone
    )
    return runner


@then('the prompt is fetched from the runner in zone "{zone}"')
def fetched_from(context, zone):
    assert context.attempt.fetch_from == runner_in(context, zone).address


@then('the prompt is fetched from no runner')
def not_fetched(context):
    assert context.attempt.fetch_from is None


@then('only the runner in zone "{zone}" is relayed to')
def relayed_to(context, zone):
    policy = RelayedRunners(
        directory=context.parts.directory,
        announcements=context.parts.announcements,
        connections=context.parts.connections,
        wire=context.parts.wire,
    )
    zones = [
        runner.availability_zone
        for runner in context.runners
        if not policy.is_paused((runner.address.ip, runner.address.port))
    ]
    assert zones == [zone], zones


@when(
    'a request selects a runner and the zone of the other runner is evacuated'
)
def select_twice(context):
    async def scenario(context):
        parts = context.parts
        selection = RunnerSelection(
            parts=parts,
            admitted=AdmittedRequest(
                request=None,
                route=parts.configuration.current.routes[0],
                service='s',
                account=None,
                tokens_per_event=1,
                configuration_version=1,
                arrival_ms=0,
                deadline_at_ms=1000,
            ),
            work=_WORK,
        )
        first = await selection.select()
        (other,) = (
            runner
            for runner in context.runners
            if runner.runner_id != first.runner.runner_id
        )
        parts.directory.evacuate_only({other.availability_zone})
        context.second = await selection.select()

    play(context, scenario)


@then('the request finds no other runner')
def no_second(context):
    assert context.second is None, context.second
