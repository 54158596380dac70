"""Steps for runners that end when they reject too many requests."""

import anyio
import attrs
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.brittle_fleet import BrittleFleet, RunnerModel
from teaseldale.forwarding.tests.brittle_histories import play_history
from teaseldale.forwarding.tests.fleet_world import CONTACT_MS
from teaseldale.routing._brittle_book import BrittleBook

_BEFORE_S = 2
_BRITTLE_S = 14
_BURST_LOAD = 2  # by what the runners can run, beside the usual load
_OBJECTIVE_MS = 100  # of the route


@given(
    '{vms:d} VMs that send {load:g} times what {runners:d} runners can run',
)
def brittle_fleet(context, vms, load, runners):
    context.fleet = BrittleFleet(
        vm_count=vms,
        runner_count=runners,
        kind='safe',
    )
    context.per_s = load * context.fleet.room_per_s


# Requests run on at a runner after their connection has closed.
_RUNS_ON = RunnerModel(runs_on_share=1)


@given(
    '{vms:d} VMs that send {load:g} times what {runners:d} runners can run, '
    'where requests run on after their connection has closed'
)
def fleet_with_running_on(context, vms, load, runners):
    context.fleet = BrittleFleet(
        vm_count=vms,
        runner_count=runners,
        kind='safe',
        model=_RUNS_ON,
    )
    context.per_s = load * context.fleet.room_per_s


# What requests need of the memory of a runner with 16 slots, in tokens.
_MEMORIES = {
    'memory for half of their slots': {'memory_tokens': 8},
    'memory for requests of 1 to 12 tokens': {
        'memory_tokens': 30,
        'most_tokens': 12,
    },
    'half of the memory that is configured': {
        'memory_tokens': 8,
        'named_memory_tokens': 16,
    },
    'memory for all of their slots': {},
}
_KNOWLEDGE = {
    'nothing': {},
    'the load': {'tells_load': True},
    'the tokens': {'names_tokens': True},
    'load and tokens': {'tells_load': True, 'names_tokens': True},
}


@given(
    '{vms:d} VMs before {runners:d} runners with {memory}, of which they know '
    '{knowledge}'
)
def fleet_short_of_memory(context, vms, runners, memory, knowledge):
    context.model = RunnerModel(
        slot_count=16,
        queue_count=32,
        **_MEMORIES[memory],
        **_KNOWLEDGE[knowledge],
    )
    context.vm_count = vms
    context.runner_count = runners


@given('{queue:d} requests may wait at a runner that tolerates {tolerated:d}')
def brittle_terms(context, queue, tolerated):
    context.model = attrs.evolve(
        context.model,
        brittle_queue_count=queue,
        tolerated=tolerated,
    )


@given('{share:d} in 100 requests run on after their connection has closed')
def requests_run_on(context, share):
    context.model = attrs.evolve(context.model, runs_on_share=share / 100)


@given('the VMs send {load:g} times what the runners can run')
def load_of_fleet(context, load):
    context.fleet = BrittleFleet(
        vm_count=context.vm_count,
        runner_count=context.runner_count,
        kind='safe',
        model=context.model,
    )
    context.per_s = load * context.fleet.room_per_s


@given('{share:d} in 100 datagrams between these VMs are lost')
def lost_datagrams(context, share):
    context.fleet.loss_share = share / 100


@when('the runners become brittle')
def become_brittle(context):
    play(context, None)


@when('the runners become brittle and then {event}')
def become_brittle_then(context, event):
    play(context, event)


def play(context, event):
    world = context.fleet

    async def run():
        async with anyio.create_task_group() as tasks:
            await world.start(tasks)
            tasks.start_soon(world.send_other_requests, context.per_s)
            await anyio.sleep(_BEFORE_S)
            world.start_brittleness()
            await anyio.sleep(_BRITTLE_S / 2)
            if event == 'a burst comes':
                burst_per_s = _BURST_LOAD * world.room_per_s
                tasks.start_soon(world.send_other_requests, burst_per_s)
            elif event is not None:
                world.bring_about(event)
            await anyio.sleep(_BRITTLE_S / 2)
            context.end_ms = round(anyio.current_time() * 1000)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


class SettableClock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_ms = 0

    def monotonic_ms(self):
        return self.now_ms


@given('an answer has named the rejections that a runner tolerates')
def one_mention(context):
    context.clock = SettableClock()
    context.book = BrittleBook(
        clock=context.clock,
        service_of=lambda runner: 's',
    )
    context.book.note_mention('i-0@1', 5, age_ms=0)


@when('the runner answers without naming them {later:d} ms later')
def answers_without(context, later):
    context.clock.now_ms = later
    assert context.book.note_absence('i-0@1')


@when('another VM reports the mention as one of {age:d} ms ago')
def reports_older(context, age):
    assert not context.book.note_mention('i-0@1', 5, age_ms=age)


@then('the runner is not taken to be brittle')
def not_brittle(context):
    assert context.book.find('i-0@1') is None


@when('other runners of its service start {first:d} s and {second:d} s later')
def others_start(context, first, second):
    context.clock.now_ms = first * 1000
    context.first = context.book.find('i-1@1')
    # What one VM takes a runner to be is reported to others.
    age_ms = context.book.mention_age_ms('i-1@1')
    context.book.note_mention('i-1@1', 5, age_ms=age_ms)
    context.clock.now_ms = second * 1000
    context.second = context.book.find('i-2@1')


@then(
    'the first of them counts as brittle since {first:d} s ago, and the second '
    'does not'
)
def taken_to_be_brittle(context, first):
    assert context.first is not None
    assert context.first.known_ms - context.first.mentioned_ms == first * 1000
    assert context.second is None, context.second


@when('{count:d} random histories from seed {seed:d} are played')
def play_histories(context, count, seed):
    context.histories = [
        (number, *play_history(number)) for number in range(seed, seed + count)
    ]


@when(
    '{count:d} random histories from seed {seed:d} are played, where requests '
    'run on after their connection has closed'
)
def play_histories_with_running_on(context, count, seed):
    context.histories = [
        (number, *play_history(number, _RUNS_ON))
        for number in range(seed, seed + count)
    ]


@then('no runner of these histories ends under the requests that it rejects')
def no_falls_in_histories(context):
    fallen = [
        (seed, facts, world.fall_count())
        for seed, world, facts in context.histories
        if world.fall_count()
    ]
    assert not fallen, fallen


@then('no runner ends under the requests that it rejects')
def no_falls(context):
    world = context.fleet
    most = max(runner.most_rejected for runner in world.runners.values())
    assert not world.fall_count(), (world.fall_count(), most)


@then('at least {share:d} in 100 of what the runners can run is served')
def served(context, share):
    world = context.fleet
    from_ms = world.brittle_ms + CONTACT_MS
    callers = [
        caller
        for caller in world.callers
        if from_ms <= caller.asked_ms < context.end_ms - 1000
    ]
    seconds = (context.end_ms - 1000 - from_ms) / 1000
    possible = min(len(callers), world.room_per_s * seconds)
    count = sum(caller.status == 200 for caller in callers)
    assert count >= possible * share / 100, (count, possible, len(callers))


@then('{share:d} in 100 of the last {seconds:d} s are served')
def served_at_last(context, share, seconds):
    callers = [
        caller
        for caller in context.fleet.callers
        if context.end_ms - 1000 * seconds
        <= caller.asked_ms
        < context.end_ms - 1000
    ]
    count = sum(caller.status == 200 for caller in callers)
    assert count >= len(callers) * share / 100, (count, len(callers))


@then(
    'the VMs that have started again serve at least {share:d} in 100 requests '
    'of their first {seconds:d} s'
)
def served_by_new(context, share, seconds):
    world = context.fleet
    started = world.vms[-3:]
    until_ms = world.restarted_ms + 1000 * seconds
    callers = [
        caller
        for caller in world.callers
        if caller.vm in started and caller.asked_ms < until_ms
    ]
    count = sum(caller.status == 200 for caller in callers)
    assert count >= len(callers) * share / 100, (count, len(callers))


@then('no VM counts a runner as brittle')
def none_brittle(context):
    for vm in context.fleet.vms:
        assert vm.parts.rooms._book.is_empty, vm.number


@then('the others are refused within their objective, to come back')
def refused_soon(context):
    world = context.fleet
    refused = [
        caller
        for caller in world.callers
        if caller.status != 200
        and caller.asked_ms > world.brittle_ms + CONTACT_MS
    ]
    for caller in refused:
        assert caller.status in {429, 503}, (caller.status, caller.body)
        assert b'"not_run":true' in caller.body, caller.body
        assert float(caller.headers[b'retry-after']) > 0
        waited_ms = caller.answered_ms - caller.asked_ms
        assert waited_ms <= _OBJECTIVE_MS + 50, waited_ms
