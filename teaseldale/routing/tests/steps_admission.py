"""Steps of admission control and retry budgets."""

import anyio
from behave import then, when

from benchmarks.simulated_runners import RunnerFaults
from teaseldale.outcomes import RefusalCode
from teaseldale.routing import RoutingRequest
from teaseldale.routing.tests.steps_runner_faults import ask_all, run


def request_of(fleet, *, deadline_ms=60_000, **options):
    """Returns a request for the only route of the fleet."""
    options.setdefault('priority', 1)
    return RoutingRequest(
        route='drafts',
        version='v1',
        prompt='',
        deadline_ms=fleet.clock.monotonic_ms() + deadline_ms,
        **options,
    )


async def fill(fleet):
    """Acquires all slots, with a mean holding time of 100 ms."""
    router = fleet.vms[0].router
    for _ in range(30):
        placed = await router.place(request_of(fleet))
        await fleet.clock.sleep_ms(100)
        router.release(placed, failed=False)
    return [await router.place(request_of(fleet)) for _ in range(16)]


@when('16 slots are in use and a request has a deadline of {limit:d} ms')
def short_deadline(context, limit):
    async def scenario(fleet):
        await fill(fleet)
        started_ms = fleet.clock.monotonic_ms()
        context.refusal = await fleet.vms[0].router.place(
            request_of(fleet, deadline_ms=limit)
        )
        context.waited_ms = fleet.clock.monotonic_ms() - started_ms

    run(context, scenario)


@then('it is refused within 1 ms with {code} and a retry-after time')
def refused_at_once(context, code):
    assert context.refusal.code == code, context.refusal
    assert context.refusal.not_run
    assert context.refusal.retry_after_ms > 0
    assert context.waited_ms <= 1, context.waited_ms


@when('16 slots are in use and {count:d} low-priority requests are queued')
def queue_low_priority(context, count):
    context.count = count
    context.outcomes = []
    context.sizes = []


@when('a high-priority request arrives')
def high_priority_arrives(context):
    async def scenario(fleet):
        await fill(fleet)
        router = fleet.vms[0].router
        route_pool = router.table.pool('drafts', 'v1')
        route_pool.pool.mean_hold_ms = 1  # rules out refusals by waiting time

        async def wait(priority):
            outcome = await router.place(request_of(fleet, priority=priority))
            context.outcomes.append(
                (fleet.clock.monotonic_ms(), priority, outcome)
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(context.count):
                tasks.start_soon(wait, 2)
            await fleet.clock.sleep_ms(1)
            context.before = len(context.outcomes)
            context.sizes.append(len(route_pool.queue))
            context.arrived_ms = fleet.clock.monotonic_ms()
            tasks.start_soon(wait, 0)
            await fleet.clock.sleep_ms(1)
            context.sizes.append(len(route_pool.queue))
            context.after = list(context.outcomes)
            tasks.cancel_scope.cancel()

    run(context, scenario)


@then('one low-priority request is refused at once with overloaded')
def low_priority_evicted(context):
    assert context.before == context.count - 256, context.before
    assert len(context.after) == context.before + 1, len(context.after)
    at_ms, priority, refusal = context.after[-1]
    assert priority == 2
    assert at_ms == context.arrived_ms
    assert refusal.code is RefusalCode.OVERLOADED
    assert refusal.retry_after_ms > 0


@then('the queue never held more than {limit:d} requests')
def queue_bound(context, limit):
    assert context.sizes == [limit, limit], context.sizes


@when(
    '16 slots are in use, account a sends 12 requests, then b, c and a '
    'high-priority client one each',
)
def queue_by_account(context):
    context.order = []

    async def scenario(fleet):
        held = await fill(fleet)
        router = fleet.vms[0].router

        async def wait(account, priority):
            await router.place(
                request_of(fleet, client_account=account, priority=priority)
            )
            context.order.append(account)

        async with anyio.create_task_group() as tasks:
            for account in 'a' * 12 + 'bc':
                tasks.start_soon(wait, account, 1)
                await fleet.clock.sleep_ms(0)
            tasks.start_soon(wait, 'high', 0)
            await fleet.clock.sleep_ms(1)
            for placement in held[:5]:
                router.release(placement, failed=False)
                await fleet.clock.sleep_ms(0)
            await fleet.clock.sleep_ms(1)
            tasks.cancel_scope.cancel()

    run(context, scenario)


@then('they start in the order {names}')
def order(context, names):
    wanted = names.split(', ')
    assert context.order[:4] == wanted, context.order


@when(
    'every stream fails and {count:d} requests arrive with a retry share of '
    '{share:d} percent',
)
def all_streams_fail(context, count, share):
    context.count = count
    context.fleet_options['retry_share_percent'] = share

    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.faults = RunnerFaults(wrong_answers=True)
        await ask_all(context, fleet, count)

    run(context, scenario)


@then(
    'each VM made at most {burst:d} retries plus {share:d} percent of its '
    'requests'
)
def retries_bounded(context, burst, share):
    vm_count = len(context.fleet.vms)
    for vm in context.fleet.vms:
        retries = vm.metrics.counter_value(
            'retries', RefusalCode.UPSTREAM_FAILED
        )
        allowed = burst + context.count / vm_count * share / 100
        assert 0 < retries <= allowed, (retries, allowed)


@when(
    'VM 0 has completed a request of 5 s and {count:d} requests arrive at once'
)
def burst(context, count):
    context.placed = []

    async def scenario(fleet):
        router = fleet.vms[0].router
        placed = await router.place(request_of(fleet))
        await fleet.clock.sleep_ms(5000)
        router.release(placed, failed=False)
        started_ms = fleet.clock.monotonic_ms()

        async def place():
            outcome = await router.place(request_of(fleet))
            waited_ms = fleet.clock.monotonic_ms() - started_ms
            context.placed.append((waited_ms, outcome))

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(place)

    run(context, scenario)


@then('all {count:d} are placed within {limit:d} ms')
def all_placed(context, count, limit):
    assert len(context.placed) == count
    for waited_ms, outcome in context.placed:
        assert hasattr(outcome, 'upstream'), outcome
        assert waited_ms <= limit, waited_ms
