"""Steps for the member list, cells and keepers."""

import collections
import functools
import random

import anyio
import attrs
from behave import given, then, when

from teaseldale.fakes import (
    FakeTableService,
    VirtualClock,
    run_in_virtual_time,
)
from teaseldale.members import (
    AccountKeepers,
    FixedMembers,
    FleetCells,
    MemberList,
    VmEntry,
)
from teaseldale.metrics import Metrics
from teaseldale.tables import InMemoryTable


def entry_of(number):
    return VmEntry(address=f'10.0.0.1:{number}', incarnation='1')


@given('a fleet of {vms:d} VMs and {runners:d} runners')
def make_fleet(context, vms, runners):
    context.entries = {
        f'vm-{number}': entry_of(number) for number in range(vms)
    }
    context.runners = [f'i-{number}' for number in range(runners)]
    context.members = FixedMembers(entries=context.entries)


def cells_of(context, names):
    return {
        name: FleetCells(members=context.members, vm_name=name)
        for name in names
    }


def sampled(context):
    names = sorted(context.entries)
    return random.Random(1).sample(names, min(len(names), 80))


@then('each VM has at most {count:d} peers, and being a peer is symmetric')
def few_peers(context, count):
    for name, cells in cells_of(context, sampled(context)).items():
        peers = cells.peers
        assert len(peers) <= count, (name, len(peers))
        assert name not in peers
        for cell in cells_of(context, list(peers)[:2]).values():
            assert name in cell.peers


@then('the cells use all runners, in subsets whose sizes differ by at most one')
def all_runners_used(context):
    shares = set()
    left = set(context.entries)
    while left:
        name = left.pop()
        cells = FleetCells(members=context.members, vm_name=name)
        left -= set(cells.peers)
        shares.add(cells.runners(context.runners))
    assert frozenset().union(*shares) == frozenset(context.runners)
    sizes = [len(share) for share in shares]
    assert max(sizes) - min(sizes) <= 1, sizes


@then('each VM uses {count:d} runners')
def uses_all(context, count):
    for cells in cells_of(context, sampled(context)).values():
        assert len(cells.runners(context.runners)) == count


@when('one VM is removed from the fleet')
def remove_vm(context):
    context.before = {
        name: frozenset(cells.peers) | {name}
        for name, cells in cells_of(context, context.entries).items()
    }
    removed = sorted(context.entries)[17]
    context.entries.pop(removed)
    context.members = FixedMembers(entries=context.entries)


@then('at most {count:d} VMs change their cell')
def few_change_cell(context, count):
    changed_count = 0
    for name, cells in cells_of(context, context.entries).items():
        overlap = len((frozenset(cells.peers) | {name}) & context.before[name])
        changed_count += overlap * 2 < len(context.before[name])
    assert changed_count <= count, changed_count


@then(
    'all VMs select the same {count:d} keepers for each of {accounts:d} '
    'accounts'
)
def same_keepers(context, count, accounts):
    context.first = collections.Counter()
    for number in range(accounts):
        account = f'account-{number}'
        named = set()
        for name in context.entries:
            keepers = AccountKeepers(members=context.members, vm_name=name)
            order = tuple(keepers.keepers_of(account))
            named.add(frozenset(order))
            context.first[account, order[0]] += 1
            assert keepers.is_keeper_of(account) == (name in order)
        assert len(named) == 1
        assert len(named.pop()) == count


@then('each keeper of an account is the first choice of at most {count:d} VMs')
def asked_evenly(context, count):
    assert max(context.first.values()) <= count, max(context.first.values())


class ListedVm:
    """A VM whose member list uses a shared table."""

    def __init__(self, state, number):
        self.store = FakeTableService(
            state=state,
            random_source=random.Random(number),
        )
        self.name = f'vm-{number}'
        self.entry = entry_of(number)
        self.members = None

    def make(self):
        self.members = MemberList(
            vm_name=self.name,
            entry=self.entry,
            table=self.store,
            feed=self.store,
            clock=VirtualClock(),
            metrics=Metrics(),
        )
        return self.members

    @property
    def call_count(self):
        return self.store.commit_count + self.store.read_count


@given('{count:d} VMs that register while the store is unavailable')
def store_unavailable(context, count):
    listed(context, count)
    for vm in context.vms:
        vm.store.down = True
    context.actions = [functools.partial(sleep, 3)]


@given('{count:d} VMs with a store')
def listed(context, count):
    state = InMemoryTable()
    context.vms = [ListedVm(state, number) for number in range(count)]
    context.actions = [functools.partial(sleep, 2)]


async def sleep(seconds):
    await anyio.sleep(seconds)


@when('the member store is available again for {seconds:d} s')
def store_back(context, seconds):
    async def back():
        for vm in context.vms:
            vm.store.down = False
        await anyio.sleep(seconds)

    context.actions.append(back)


@when('registered VM {number:d} shuts down gracefully')
def ends(context, number):
    context.ended = context.vms[number - 1]

    async def drain():
        await context.ended.members.drain()
        await anyio.sleep(2)

    context.actions.append(drain)


@when('registered VM {number:d} removes VM {other:d} from the member list')
def remove_member(context, number, other):
    async def remove():
        name = context.vms[other - 1].name
        await context.vms[number - 1].members.remove_silent([name])
        await anyio.sleep(2)

    context.actions.append(remove)


@when('{seconds:d} s pass without a membership change')
def nothing_changes(context, seconds):
    async def idle():
        before = [vm.call_count for vm in context.vms]
        await anyio.sleep(seconds)
        context.calls = [
            vm.call_count - count
            for vm, count in zip(context.vms, before, strict=True)
        ]

    context.actions.append(idle)


def run_scenario(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            context.tasks = tasks
            for vm in context.vms:
                await vm.make().start(tasks)
            for action in context.actions:
                await action()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@then('each VM lists {count:d} VMs')
def knows(context, count):
    run_scenario(context)
    for vm in context.vms:
        assert len(vm.members.entries()) == count, vm.members.entries()


@then('each other VM lists {count:d} VMs')
def others_know(context, count):
    run_scenario(context)
    for vm in context.vms:
        if vm is not context.ended:
            assert len(vm.members.entries()) == count, vm.members.entries()


@then('each VM makes at most {count:d} store calls')
def few_calls(context, count):
    run_scenario(context)
    assert max(context.calls) <= count, context.calls


@when('registered VM {number:d} restarts')
def starts_again(context, number):
    vm = context.vms[number - 1]

    async def restart():
        vm.members._is_leaving = True  # stops writes of the first incarnation
        vm.entry = attrs.evolve(vm.entry, incarnation='2')
        await vm.make().start(context.tasks)
        await anyio.sleep(2)

    context.actions.append(restart)


@then('the others know that its first incarnation has ended, and no other one')
def ended_known(context):
    run_scenario(context)
    keepers = AccountKeepers(members=context.vms[1].members, vm_name='vm-1')
    assert keepers.has_ended('vm-0', '1')
    assert not keepers.has_ended('vm-0', '2')
    assert not keepers.has_ended('vm-1', '1')
    assert not keepers.has_ended('vm-2', '1')
