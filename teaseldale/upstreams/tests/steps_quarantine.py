"""Steps for requests that crash the runners that run them."""

import anyio
from behave import given, then, when

from benchmarks.simulated_runners import words
from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.metrics import Metrics
from teaseldale.outcomes import RefusalCode
from teaseldale.routing.tests.steps_runner_faults import ask_all, run
from teaseldale.upstreams import CrashSuspects, ReportedCrash

_WORD = 'avalanche'
_CALLER_PAUSE_MS = 300


@given('{vms:d} VMs before {runners:d} runners that crash on a poison word')
def fleet_with_word(context, vms, runners):
    context.fleet_options = {
        'vm_count': vms,
        'runner_count': runners,
        'retry_share_percent': 100,
    }
    context.cuts = ()


@given('the link between VM {first:d} and VM {second:d} is cut')
def cut(context, first, second):
    context.cuts = ((f'vm-{first}', f'vm-{second}'),)


async def send_word(context, fleet, times):
    """Sends the same body with new keys to the VMs in turn."""
    for number in range(times):
        vm = fleet.vms[number % len(fleet.vms)]
        context.word_outcomes.append(await fleet.ask(vm, _WORD))
        await fleet.clock.sleep_ms(_CALLER_PAUSE_MS)


def set_word(fleet, word):
    """Configures all runners to crash on ``word``."""
    for runner in fleet.runners.values():
        runner.faults.crash_word = word


@when(
    '{count:d} callers send requests while one sends the poison word '
    '{times:d} times across all VMs',
)
def ask_with_poison(context, count, times):
    async def scenario(fleet):
        set_word(fleet, _WORD)
        for ends in context.cuts:
            fleet.fabric.cut(*ends)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, context, fleet, count)
            await fleet.clock.sleep_ms(200)
            tasks.start_soon(send_word, context, fleet, times)
        for step in context.later:
            await step(fleet)

    context.word_outcomes = []
    context.later = []
    context.run_all = lambda: run(context, scenario)
    if not context.scenario.name.startswith('A quarantined'):
        context.run_all()


@when('the fault is fixed and operators release the fingerprint at VM {at:d}')
def release(context, at):
    async def step(fleet):
        set_word(fleet, '')
        quarantine = fleet.vms[at].quarantine
        state = next(state for state in quarantine.states())
        assert state.quarantined
        assert await quarantine.release(state.fingerprint, reason='operator')

    context.later.append(step)


@when('the fault is fixed and 10 minutes pass')
def expire(context):
    async def step(fleet):
        set_word(fleet, '')
        assert fleet.vms[0].quarantine.states()
        await fleet.clock.sleep_ms(601_000)

    context.later.append(step)


@when('{count:d} callers send requests and one runner crashes spontaneously')
def crash_without_cause(context, count):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, context, fleet, count)
            await fleet.clock.sleep_ms(500)
            assert len(fleet.runners['runner-4'].running) > 2
            fleet.runners['runner-4'].crash()

    run(context, scenario)


@then('the poison word is served through VM {at:d}')
def served(context, at):
    async def step(fleet):
        outcome = await fleet.ask(fleet.vms[at], _WORD, key='again')
        assert outcome.refusal is None, outcome.refusal
        assert outcome.text == words('a/again', _WORD, 0, 32)

    context.later.append(step)
    context.run_all()


@then('at most {count:d} runners have crashed')
def crashed_at_most(context, count):
    crashed = [
        runner.upstream.name
        for runner in context.fleet.runners.values()
        if runner.crash_count
    ]
    assert 0 < len(crashed) <= count, crashed


@then('every other caller gets its complete response')
def others_complete(context):
    assert context.asked
    for asked in context.asked:
        assert asked.outcome.refusal is None, asked.outcome.refusal
        assert asked.outcome.text == asked.expected, asked.key


@then('the poison word is refused as quarantined and never as not run')
def quarantined(context):
    refusals = [outcome.refusal for outcome in context.word_outcomes]
    assert all(refusals)
    assert not any(refusal.not_run for refusal in refusals), refusals
    assert refusals[-1].code is RefusalCode.QUARANTINED, refusals[-1]
    assert refusals[-1].retry_after_ms > 0, refusals[-1]


@then('every VM stores exactly one quarantined fingerprint')
def quarantined_everywhere(context):
    for vm in context.fleet.vms:
        quarantine = vm.quarantine
        quarantined_fingerprints = [
            fingerprint
            for fingerprint, suspect in quarantine._suspects._suspects.items()
            if suspect.count((), until_ms=0) >= suspect.needed_crashes
            and len(suspect.upstreams) >= 2
        ]
        assert len(quarantined_fingerprints) == 1, (
            vm.identity.name,
            quarantined_fingerprints,
        )


@then('no VM stores a suspect')
def no_suspects(context):
    for vm in context.fleet.vms:
        assert vm.quarantine._suspects.is_empty, vm.identity.name
    released = sum(
        vm.metrics.counter_value('quarantine_releases', 'ran_through')
        for vm in context.fleet.vms
    )
    assert released > 2, released


@when(
    'all VMs try {count:d} suspects at the same upstream for {held:d} ms each'
)
def try_suspects(context, count, held):
    context.trials = []

    async def scenario(fleet):
        async def run_trial(number):
            quarantine = fleet.vms[number % len(fleet.vms)].quarantine
            fingerprint = f'suspect-{number}'
            upstream = await quarantine.start_trial(
                fingerprint,
                ('runner-4',),
                deadline_ms=fleet.clock.monotonic_ms() + 60_000,
            )
            assert upstream == 'runner-4'
            started_ms = fleet.clock.monotonic_ms()
            await fleet.clock.sleep_ms(held)
            context.trials.append((started_ms, fleet.clock.monotonic_ms()))
            await quarantine.end_trial(fingerprint, upstream)

        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(run_trial, number)

    run(context, scenario)


@then('all {count:d} trials ran and no two of them overlapped')
def no_overlap(context, count):
    assert len(context.trials) == count
    ordered = sorted(context.trials)
    for (_, ended_ms), (started_ms, _) in zip(
        ordered, ordered[1:], strict=False
    ):
        assert started_ms >= ended_ms, ordered


@when('the attempts of a request that crashed are {spans} ms')
def crashed_attempts(context, spans):
    async def record():
        clock = VirtualClock()
        suspects = CrashSuspects(clock=clock, metrics=Metrics())
        await clock.sleep_ms(1000)
        for number, span in enumerate(spans.split(', ')):
            started_ms, _, crashed_ms = span.partition('-')
            crash = ReportedCrash(
                upstream=f'runner-{number}',
                running_ms=int(crashed_ms) - int(started_ms),
                age_ms=1000 - int(crashed_ms),
            )
            suspects.record('fingerprint', crash)
        context.is_quarantined = suspects.is_quarantined('fingerprint')

    run_in_virtual_time(record)


@then('the request is quarantined')
def is_quarantined(context):
    assert context.is_quarantined


@then('the request is a suspect')
def is_suspect(context):
    assert not context.is_quarantined
