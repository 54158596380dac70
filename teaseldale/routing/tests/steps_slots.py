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


async def hold_slot(fleet, vm, rng):
    """Holds a slot for a random time."""
    request = RoutingRequest(
        route='drafts',
        version='v1',
        prompt='',
        priority=rng.randrange(2),
        deadline_ms=fleet.clock.monotonic_ms() + 3000,
    )
    placed = await vm.router.place(request)
    if hasattr(placed, 'upstream'):
        used[placed.upstream.name] += 1
        await fleet.clock.sleep_ms(rng.choice((50, 200, 1000)))
        used[placed.upstream.name] -= 1
        vm.router.release(placed, failed=False)


used = {}


def used_slots(fleet):
    """Returns the number of requests that hold a slot, by runner."""
    return {name: used[name] for name in fleet.runners}


async def churn(fleet, rng, tasks):
    """Drains and stops the oldest VM, or starts a new one."""
    if len(fleet.vms) > 2 and rng.random() < 0.5:
        vm = fleet.vms.pop(0)
        while any(not runner.is_idle for runner in vm.router.table):
            await fleet.clock.sleep_ms(_STEP_MS)
        await vm.router.drain()
        fleet.fabric.leave(vm.identity.name)
        vm.scope.cancel()
    else:
        vm = fleet.make_vm(rng.randrange(10, 1_000_000))
        fleet.vms.append(vm)
        fleet.start_vm(vm)


def change_partition(fleet, rng):
    """Partitions a VM from all others, or restores all links.

    Returns the name of the partitioned VM, or None.
    """
    if rng.random() < 0.5:
        fleet.fabric.heal()
        return None
    isolated = rng.choice(fleet.vms).identity.name
    for vm in fleet.vms:
        if vm.identity.name != isolated:
            fleet.fabric.cut(isolated, vm.identity.name)
    return isolated


def run_steps(seed, *, cuts):
    """Returns the used slots of each runner and the bound at each step."""
    slot_samples = []
    partitioned = set()

    async def main():
        rng = random.Random(seed)
        fleet = SimulatedFleet(vm_count=4, runner_count=3, slot_count=_SLOTS)
        used.update(dict.fromkeys(fleet.runners, 0))
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            for _ in range(_STEPS):
                for _ in range(rng.randrange(6)):
                    vm = rng.choice(fleet.vms)
                    tasks.start_soon(hold_slot, fleet, vm, rng)
                await fleet.clock.sleep_ms(_STEP_MS)
                if rng.random() < 0.02:
                    if cuts:
                        partitioned.add(change_partition(fleet, rng))
                    else:
                        await churn(fleet, rng, tasks)
                partitioned_names = [
                    name for name in partitioned if name is not None
                ]
                share = -(-_SLOTS // 4)
                bound = _SLOTS + share * len(partitioned_names)
                slot_samples.extend(
                    (count, bound) for count in used_slots(fleet).values()
                )
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
    return slot_samples


def check_all(context, *, cuts):
    """Runs many seeds and collects the slot counts of all steps."""
    context.slot_samples = []

    @_EXAMPLES
    @for_all(strategies.integers(0, 10_000))
    def check(seed):
        context.slot_samples.extend(run_steps(seed, cuts=cuts))

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
    largest = max(count for count, _ in context.slot_samples)
    assert largest <= _SLOTS, largest
    assert largest >= _SLOTS - 1, f'limit never approached: {largest}'


@then(
    'the total stayed within the limit plus the shares of the partitioned VMs'
)
def bound_held(context):
    assert all(count <= bound for count, bound in context.slot_samples)
    assert max(count for count, _ in context.slot_samples) >= _SLOTS - 1


@when('VM 0 is partitioned from all others for 20 s')
def partition_vm(context):
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
def uses_fixed_share(context):
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
def release_and_leave(context):
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
