"""Steps that inject runner faults in virtual time."""

from functools import partial

import anyio
import attrs
from behave import given, then, when

from benchmarks.routing_load import Load, LoadOutcome, offer_load
from benchmarks.simulated_fleet import SimulatedFleet
from benchmarks.simulated_runners import RunnerFaults, words
from teaseldale.answers import WINDOW_BYTES
from teaseldale.fakes import run_in_virtual_time
from teaseldale.outcomes import RefusalCode

_FAULTS = {
    'refuses work': RunnerFaults(refuse=True),
    'hangs': RunnerFaults(hang=True),
    'is 300 times slower': RunnerFaults(slow_factor=300),
    'crosses answers': RunnerFaults(wrong_answers=True),
}
_EVENT_BYTES = 32


@attrs.define(kw_only=True)
class CallerRequest:
    """One request of a caller and its outcome."""

    key: str
    prompt: str
    tokens: int
    outcome: object

    @property
    def expected(self):
        """Text of the complete answer to the request."""
        return words(f'a/{self.key}', self.prompt, 0, self.tokens)


def run(context, scenario):
    """Runs ``scenario(fleet)`` in virtual time."""
    context.asked = []
    context.samples = []
    context.answers = []
    context.largest_unread = 0
    context.running_samples = []

    async def main():
        fleet = SimulatedFleet(**context.fleet_options)
        context.fleet = fleet
        for vm in fleet.vms:
            vm.versions.record = context.samples.append
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


async def ask(context, fleet, number, **options):
    """Sends a request to a VM and stores its outcome."""
    key, prompt = f'request-{number}', f'a sack {number}'
    options.setdefault('tokens', 32)
    vm = options.pop('vm', fleet.vms[number % len(fleet.vms)])
    outcome = await fleet.ask(vm, prompt, key=key, **options)
    context.asked.append(
        CallerRequest(
            key=key, prompt=prompt, tokens=options['tokens'], outcome=outcome
        )
    )


async def ask_all(context, fleet, count, **options):
    """Sends ``count`` requests concurrently."""
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(partial(ask, context, fleet, number, **options))


@given('{vms:d} VMs before {runners:d} runners')
def fleet_of(context, vms, runners):
    context.fleet_options = {
        'vm_count': vms,
        'runner_count': runners,
        'retry_share_percent': 100,
    }


@when('{count:d} callers send requests and {name} crashes {delay:d} ms later')
def crash(context, count, name, delay):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, context, fleet, count)
            await fleet.clock.sleep_ms(delay)
            assert fleet.runners[name].running
            fleet.runners[name].crash()

    run(context, scenario)


@when(
    'engines resume {early:d} tokens early, {count:d} callers send requests '
    'and {name} crashes',
)
def resume_early(context, early, count, name):
    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.faults.resume_early_tokens = early
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, context, fleet, count)
            await fleet.clock.sleep_ms(600)
            fleet.runners[name].crash()

    run(context, scenario)


@when('{name} {fault} and {count:d} callers send requests')
def fault(context, name, fault, count):
    async def scenario(fleet):
        fleet.runners[name].faults = _FAULTS[fault]
        await ask_all(context, fleet, count)

    run(context, scenario)


@when('{count:d} callers send requests over connections that deliver no data')
def silent_links(context, count):
    async def scenario(fleet):
        for vm in fleet.vms:
            vm.engines.silent_links.update(fleet.runners)
        await ask_all(context, fleet, count)

    run(context, scenario)


@when('{count:d} callers send requests, all streams stall and VM 0 drains')
def silent_and_drain(context, count):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_all, context, fleet, count)
            await fleet.clock.sleep_ms(300)
            for runner in fleet.runners.values():
                runner.silence()
        await fleet.vms[0].router.drain()

    run(context, scenario)


@when('{count:d} callers read {rate:d} bytes a second and {name} crashes')
def slow_and_crash(context, count, rate, name):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_windows, context, fleet)
            async with anyio.create_task_group() as callers:
                callers.start_soon(slow_readers, context, fleet, count, rate)
                await fleet.clock.sleep_ms(900)
                assert fleet.runners[name].running
                fleet.runners[name].crash()
            tasks.cancel_scope.cancel()

    context.fleet_options['runner_options'] = {'token_interval_ms': 1}
    run(context, scenario)


@when('{count:d} callers read {rate:d} bytes a second of {tokens:d} tokens')
def slow_only(context, count, rate, tokens):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_windows, context, fleet)
            await slow_readers(context, fleet, count, rate, tokens)
            tasks.cancel_scope.cancel()

    context.fleet_options['runner_options'] = {
        'token_interval_ms': 0.2,
        'tokens_per_event': 20,
    }
    run(context, scenario)


async def slow_readers(context, fleet, count, rate, tokens=8000):
    await ask_all(
        context,
        fleet,
        count,
        tokens=tokens,
        reader_bytes_per_second=rate,
        answers=context.answers,
        deadline_ms=600_000,
    )


async def watch_windows(context, fleet):
    """Samples the largest unread backlog and the number of running requests."""
    while True:
        await fleet.clock.sleep_ms(100)
        for answer in context.answers:
            context.largest_unread = max(
                context.largest_unread, answer.backlog_bytes
            )
        running = sum(len(runner.running) for runner in fleet.runners.values())
        if running or context.running_samples:
            context.running_samples.append(running)


@when('requests arrive continuously and {name} leaves by {notice}')
def leaves(context, name, notice):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            for number in range(200):
                tasks.start_soon(ask, context, fleet, number)
                await fleet.clock.sleep_ms(40)
                if number == 50:
                    announce_leaving(context, fleet, name, notice)

    run(context, scenario)


def announce_leaving(context, fleet, name, notice):
    """Announces by one of three notices that a runner leaves."""
    context.notice_ms = fleet.clock.monotonic_ms()
    if notice == 'the membership list':
        fleet.membership.mark_leaving(name)
    elif notice == 'its own report':
        fleet.runners[name].faults.leaving = True
    else:
        fleet.configuration.configuration = fleet.make_configuration(
            runner.upstream
            for runner in fleet.runners.values()
            if runner.upstream.name != name
        )


@when('three times the capacity is offered and {name} leaves')
def overload_and_leave(context, name):
    load = Load(requests_per_second=260, duration_ms=6000)

    async def scenario(fleet):
        outcome = LoadOutcome(load=load, fleet=fleet)
        context.load_outcome = outcome
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(offer_load, load, outcome)
            await fleet.clock.sleep_ms(2000)
            announce_leaving(context, fleet, name, 'the membership list')

    run(context, scenario)


@then('every answer is complete and belongs to its request')
def answers_complete(context):
    assert context.asked
    for asked in context.asked:
        assert asked.outcome.refusal is None, (asked.key, asked.outcome.refusal)
        assert asked.outcome.text == asked.expected, asked.key


@then('{name} has crashed {count:d} time')
def crashed(context, name, count):
    assert context.fleet.runners[name].crash_count == count


@then('{counter} of {reason} was incremented')
def was_incremented(context, counter, reason):
    counts = [
        vm.metrics.counter_value(counter, reason) for vm in context.fleet.vms
    ]
    assert sum(counts), counts


@then('a run was recorded as overdue before it failed')
def overdue(context):
    gaps = [sample.largest_gap_ms or 0 for sample in context.samples]
    first_overdue = next(
        position for position, gap_ms in enumerate(gaps) if gap_ms >= 2000
    )
    first_failed = next(
        position
        for position, sample in enumerate(context.samples)
        if sample.failed
    )
    assert first_overdue < first_failed, (first_overdue, first_failed)


@then('VM 0 holds no slots')
def no_slots(context):
    vm = context.fleet.vms[0]
    assert not any(runner.limit for runner in vm.router.table)
    for other in context.fleet.vms:
        for name in context.fleet.runners:
            runner_leases = other.router.slots.owner._leases_by_runner.get(name)
            if runner_leases is not None:
                assert runner_leases.lent[vm.identity.key].slots == 0, (
                    runner_leases
                )


@then('no answer had more unread bytes than the window allows')
def window_held(context):
    assert 0 < context.largest_unread <= WINDOW_BYTES + 20 * _EVENT_BYTES, (
        context.largest_unread
    )


@then('on average at most {count:d} requests held slots')
def slots_free(context, count):
    mean = sum(context.running_samples) / len(context.running_samples)
    assert mean <= count, mean


@then('{name} starts no request later than {limit:d} ms after its notice')
def no_new_work(context, name, limit):
    late = [
        started_ms - context.notice_ms
        for started_ms in context.fleet.runners[name].started_ms
        if started_ms > context.notice_ms + limit
    ]
    assert not late, late
    others = [
        started_ms
        for runner in context.fleet.runners.values()
        for started_ms in runner.started_ms
        if started_ms > context.notice_ms + limit
    ]
    assert others, 'no request was started after the notice'


@then('no runner exceeded its slot count')
def limits_held(context):
    for runner in context.fleet.runners.values():
        assert runner.largest_running <= runner.upstream.slot_count


@then(
    'every refused request was not run and has a reason and a retry-after time'
)
def refusals(context):
    refused = [
        outcome.refusal
        for _, outcome in context.load_outcome.outcomes
        if outcome.refusal is not None
    ]
    assert len(refused) > 100, len(refused)
    ran = {
        key for runner in context.fleet.runners.values() for key in runner.runs
    }
    served = [
        outcome
        for _, outcome in context.load_outcome.outcomes
        if outcome.refusal is None
    ]
    assert len(ran) == len(served), (len(ran), len(served))
    for refusal in refused:
        assert refusal.not_run, refusal
        assert refusal.retry_after_ms, refusal
        assert refusal.code in {
            RefusalCode.OVERLOADED,
            RefusalCode.DEADLINE_EXCEEDED,
        }, refusal
