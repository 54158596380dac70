"""Steps of the leasing of slots."""

import random

import anyio
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from benchmarks.simulated_fleet import SimulatedFleet
from teaseldale.fakes import run_in_virtual_time
from teaseldale.routing import RoutingRequest
from teaseldale.routing.tests.steps_runner_faults import run

_SLOTS = 8
_STEP_MS = 40
_STEPS = 250
_EXAMPLES = settings(
    derandomize=True, deadline=None, database=None, max_examples=6
)


async def hold(fleet, vm, drawn):
    """Holds a slot for a random time."""
    request = RoutingRequest(
        route='drafts',
        version='v1',
        prompt='',
        priority=drawn.randrange(2),
        deadline_ms=fleet.clock.monotonic_ms() + 3000,
    )
    placed = await vm.router.place(request)
    if hasattr(placed, 'upstream'):
        used[placed.upstream.name] += 1
        await fleet.clock.sleep_ms(drawn.choice((50, 200, 1000)))
        used[placed.upstream.name] -= 1
        vm.router.release(placed, failed=False)


used = {}


def used_slots(fleet):
    """Returns the number of requests that hold a slot, by runner."""
    return {name: used[name] for name in fleet.runners}


async def churn(fleet, drawn, tasks):
    """Drains and stops the oldest VM, or starts a new one."""
    if len(fleet.vms) > 2 and drawn.random() < 0.5:
        vm = fleet.vms.pop(0)
        while any(not runner.is_idle for runner in vm.router.table):
            await fleet.clock.sleep_ms(_STEP_MS)
        await vm.router.drain()
        fleet.fabric.leave(vm.identity.name)
        vm.scope.cancel()
    else:
        vm = fleet.make_vm(drawn.randrange(10, 1_000_000))
        fleet.vms.append(vm)
        fleet.start_vm(vm)


def cut_some(fleet, drawn):
    """Partitions a VM from all others, or restores all links.

    Returns the name of the partitioned VM, or None.
    """
    if drawn.random() < 0.5:
        fleet.fabric.heal()
        return None
    lonely = drawn.choice(fleet.vms).identity.name
    for vm in fleet.vms:
        if vm.identity.name != lonely:
            fleet.fabric.cut(lonely, vm.identity.name)
    return lonely


def run_steps(seed, *, cuts):
    """Returns the used slots of each runner and the bound at each step."""
    seen = []
    cut_ever = set()

    async def main():
        drawn = random.Random(seed)
        fleet = SimulatedFleet(vm_count=4, runner_count=3, slot_count=_SLOTS)
        used.update(dict.fromkeys(fleet.runners, 0))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            for _ in range(_STEPS):
                for _ in range(drawn.randrange(6)):
                    vm = drawn.choice(fleet.vms)
                    tasks.start_soon(hold, fleet, vm, drawn)
                await fleet.clock.sleep_ms(_STEP_MS)
                if drawn.random() < 0.02:
                    if cuts:
                        cut_ever.add(cut_some(fleet, drawn))
                    else:
                        await churn(fleet, drawn, tasks)
                cut_off = [name for name in cut_ever if name is not None]
                share = -(-_SLOTS // 4)
                bound = _SLOTS + share * len(cut_off)
                seen.extend(
                    (count, bound) for count in used_slots(fleet).values()
                )
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
    return seen


def check_all(context, *, cuts):
    """Runs many seeds and collects the slot counts of all steps."""
    context.seen = []

    @_EXAMPLES
    @for_all(strategies.integers(0, 10_000))
    def check(seed):
        context.seen.extend(run_steps(seed, cuts=cuts))

    check()


@when(
    'VMs acquire and release slots at random while VMs join and leave',
)
def connected(context):
    check_all(context, cuts=False)


@when(
    'VMs acquire and release slots at random while links are cut and restored'
)
def with_cuts(context):
    check_all(context, cuts=True)


@then('no runner exceeded its limit at any step of any run')
def limit_held(context):
    largest = max(count for count, _ in context.seen)
    assert largest <= _SLOTS, largest
    assert largest >= _SLOTS - 1, f'limit never approached: {largest}'


@then(
    'the total stayed within the limit plus the shares of the partitioned VMs'
)
def bound_held(context):
    assert all(count <= bound for count, bound in context.seen)
    assert max(count for count, _ in context.seen) >= _SLOTS - 1


@when('VM 0 is partitioned from all others for 20 s')
def cut_off(context):
    async def scenario(fleet):
        for vm in fleet.vms[1:]:
            fleet.fabric.cut('vm-0', vm.identity.name)
        await fleet.clock.sleep_ms(20_000)
        context.limits = {
            runner.name: runner.limit for runner in fleet.vms[0].router.table
        }
        context.shares = [
            [vm.router.slots._share_of(runner) for runner in vm.router.table]
            for vm in fleet.vms
        ]

    run(context, scenario)


@then('VM 0 may use its fixed share and no more')
def fallen_back(context):
    shares = dict(zip(context.limits, context.shares[0], strict=True))
    identity = context.fleet.vms[0].identity.key
    owned = {
        name
        for name in shares
        if context.fleet.vms[0].router.slots._shares.owner_of(name) == identity
    }
    assert len(owned) < len(shares), owned
    for name, limit in context.limits.items():
        assert limit <= shares[name], (name, limit)
        assert limit == shares[name] or name in owned, (name, limit)


@then('the shares of all VMs add up to the limit')
def shares_add_up(context):
    sums = [sum(shares) for shares in zip(*context.shares, strict=True)]
    assert sums == [16, 16, 16], sums


@when('VM 0 releases its slots and leaves')
def hand_back(context):
    async def scenario(fleet):
        vm = fleet.vms.pop(0)
        await vm.router.drain()
        fleet.fabric.leave(vm.identity.name)
        vm.scope.cancel()
        await fleet.clock.sleep_ms(8000)
        requests = [
            RoutingRequest(
                route='drafts',
                version='v1',
                prompt='',
                priority=1,
                deadline_ms=fleet.clock.monotonic_ms() + 60_000,
            )
            for _ in range(60)
        ]
        context.placed = []

        async def place(vm, request):
            context.placed.append(await vm.router.place(request))

        async with anyio.create_task_group() as tasks:
            for number, request in enumerate(requests):
                tasks.start_soon(place, fleet.vms[number % 3], request)

    run(context, scenario)


@then('the others can use all slots of every runner')
def all_used(context):
    names = [
        placed.upstream.name
        for placed in context.placed
        if hasattr(placed, 'upstream')
    ]
    for name in context.fleet.runners:
        assert names.count(name) == 16, (name, names.count(name))
