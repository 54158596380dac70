"""Simulated fleet of notes services with injected faults and invariants."""

import random

import anyio
import attrs
import msgspec

from teaseldale.budgets import AddedBudgetRows, TableLedger
from teaseldale.fakes import FakePeerFabric, FakeTableService, VirtualClock
from teaseldale.metrics import Metrics
from teaseldale.notes import (
    Budget,
    ClientAccount,
    FleetConfiguration,
    ItemKind,
    ItemLists,
    ItemWithdrawal,
    NoteRecord,
    NotesDependencies,
    NoteState,
    ReleaseNote,
)
from teaseldale.notes._records import NOTES_TABLE
from teaseldale.notes.tests.single_copy import SingleCopy
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.peers import VmIdentity
from teaseldale.tables import InMemoryTable

ZONES = ('mill', 'port', 'office')
PROPAGATION_LIMIT_MS = 3000
TICK_MS = 100
TEAMS = ('red', 'blue', 'green')
_HASH = 'a' * 64


class Vm:
    """One incarnation of one VM."""

    def __init__(self, world, name, zone, number):
        self.identity = VmIdentity(
            name=name,
            incarnation=f'i{number}',
            availability_zone=zone,
            address='127.0.0.1:1',
        )
        self.table = FakeTableService(
            state=world.table,
            random_source=random.Random(number),
        )
        self.metrics = Metrics()
        self.peers = world.fabric.join(self.identity)
        self.clock = VirtualClock()
        self.notes = FleetConfiguration(
            parts=NotesDependencies(
                table=self.table,
                peers=self.peers,
                clock=self.clock,
                metrics=self.metrics,
                budget_rows=AddedBudgetRows(
                    ledger=TableLedger(table=self.table),
                ),
            ),
        )
        self.extra_services = ()
        self.scope = anyio.CancelScope()
        self.highest_sequence = 0

    @property
    def zone(self):
        return self.identity.availability_zone

    @property
    def sequence(self):
        return self.notes.current().revision

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                await self.notes.start(tasks)
                for service in self.extra_services:
                    await service.start(tasks)


class World:
    """Starts, partitions and replaces VMs; checks invariants on every tick."""

    def __init__(self, *, seed, vm_count=8, zones=ZONES, on_vm_created=None):
        self.random = random.Random(seed)
        self.table = InMemoryTable()
        self.fabric = FakePeerFabric()
        self.zones = zones
        # Called with each new VM, to add services.
        self.on_vm_created = on_vm_created
        self.clock = VirtualClock()
        self.vms = {}
        self.started = 0
        self.cut_zone = ''
        self.isolated_vm = ''  # name of a VM that is isolated from all others
        self.store_down = False
        self.lost_answer_share = 0
        self.late_commits = False  # commits apply after the call timed out
        self.served_by_zone = {zone: [] for zone in zones}
        self.accepted = {}
        self.accepted_ms = []
        self.seen_revision = 0
        self.refused = 0
        self.violations = []
        self.single_copy = SingleCopy(
            table=self.table, record_violation=self.record_violation
        )
        self.names = [
            (f'{zones[i % len(zones)]}-{i}', zones[i % len(zones)])
            for i in range(vm_count)
        ]

    def start_vm(self, tasks, name, zone):
        self.started += 1
        vm = Vm(self, name, zone, self.started)
        if self.on_vm_created is not None:
            self.on_vm_created(vm)
        self.vms[name] = vm
        self.set_faults()
        tasks.start_soon(vm.run)
        return vm

    def start(self, tasks):
        for name, zone in self.names:
            self.start_vm(tasks, name, zone)
        tasks.start_soon(self.watch)

    def kill(self, name):
        self.vms.pop(name).scope.cancel()
        self.fabric.remove(name)

    def cut(self, zone):
        self.cut_zone = zone
        self.set_faults()

    def set_faults(self):
        self.fabric.heal()
        for name, zone in self.names:
            for other, other_zone in self.names:
                apart = zone != other_zone
                alone = self.isolated_vm in {name, other}
                if alone or (apart and self.cut_zone in {zone, other_zone}):
                    self.fabric.cut(name, other)
        for vm in self.vms.values():
            cut = (
                vm.zone == self.cut_zone or vm.identity.name == self.isolated_vm
            )
            vm.table.down = self.store_down or cut
            vm.table.answer_loss_rate = self.lost_answer_share
            vm.table.late_commits = self.late_commits

    def heal(self):
        self.cut_zone = ''
        self.isolated_vm = ''
        self.store_down = False
        self.lost_answer_share = 0
        self.late_commits = False
        self.set_faults()

    async def apply(self, vm, note):
        try:
            outcome = await vm.notes.apply(note)
        except PlatformError:
            return None
        if isinstance(outcome, Refusal):
            self.refused += 1
        return outcome

    def stop(self):
        for vm in self.vms.values():
            vm.scope.cancel()

    async def watch(self):
        while True:
            await self.clock.sleep_ms(TICK_MS)
            self.check()

    def check(self):
        now_ms = self.clock.monotonic_ms()
        self.read_accepted(now_ms)
        required_sequence = max(
            (
                sequence
                for at_ms, sequence in self.accepted_ms
                if at_ms <= now_ms - PROPAGATION_LIMIT_MS
            ),
            default=0,
        )
        for vm in self.vms.values():
            if vm.sequence < vm.highest_sequence:
                self.record_violation(
                    f'{vm.identity.key} reverted to an older revision'
                )
            vm.highest_sequence = vm.sequence
            if vm.notes.may_serve():
                self.check_serving(vm, required_sequence, now_ms)
        for vm in self.vms.values():
            if vm.notes.may_serve():
                served = self.served_by_zone[vm.zone]
                served.append((now_ms, vm.sequence))

    def check_serving(self, vm, required_sequence, now_ms):
        if vm.sequence < required_sequence:
            self.record_violation(
                f'{vm.identity.key} lacks accepted revision {required_sequence}'
            )
        in_zone = max(
            (
                sequence
                for at_ms, sequence in self.served_by_zone[vm.zone]
                if at_ms <= now_ms - PROPAGATION_LIMIT_MS
            ),
            default=0,
        )
        del self.served_by_zone[vm.zone][:-400]
        if vm.sequence < in_zone:
            self.record_violation(f'{vm.identity.key} lags behind its zone')
        if vm.notes.follower.state.items != self.single_copy.items_at(
            vm.sequence
        ):
            self.record_violation(f'{vm.identity.key} differs from the model')

    def record_violation(self, text):
        self.violations.append((self.clock.monotonic_ms(), text))

    def read_accepted(self, now_ms):
        rows = self.table.scan(
            table=NOTES_TABLE,
            prefix='',
            after_revision=self.seen_revision,
        )
        for row in rows:
            self.seen_revision = row.revision
            record = msgspec.json.decode(row.value, type=NoteRecord)
            known = self.accepted.get(record.note.name)
            if known is not None and record.state is not NoteState.ACCEPTED:
                self.record_violation(
                    f'{record.note.name} is no longer accepted'
                )
            if known is None and record.state is NoteState.ACCEPTED:
                self.accepted[record.note.name] = record
                self.accepted_ms.append((now_ms, record.sequence))

    def check_all_accepted(self):
        for row in self.table.scan(
            table=NOTES_TABLE, prefix='', after_revision=0
        ):
            record = msgspec.json.decode(row.value, type=NoteRecord)
            if record.state is not NoteState.ACCEPTED:
                self.record_violation(
                    f'{record.note.name} is still {record.state}'
                )


@attrs.frozen(kw_only=True)
class Operator:
    """Generates notes on a few items, some against stale revisions."""

    random: random.Random
    team: str

    def write(self, number, configuration):
        name = f'{self.team}-{number}'
        revision = configuration.revision
        budget = f'b{self.random.randrange(4)}'
        account = f'a{self.random.randrange(3)}'
        item = Budget(name=budget, initial_tokens=self.random.randrange(99))
        kind = self.random.randrange(4)
        if kind == 0 or budget not in configuration.budgets:
            return ReleaseNote(
                name=name,
                team=self.team,
                additions=ItemLists(budgets=(item,)),
            )
        if kind == 1:
            lists = ItemLists(budgets=(item,))
            return ReleaseNote(
                name=name,
                team=self.team,
                written_against_revision=revision,
                changes=lists,
            )
        if kind == 2:
            withdrawal = ItemWithdrawal(
                kind=ItemKind.BUDGET,
                name=budget,
                written_against_revision=revision,
            )
            return ReleaseNote(
                name=name,
                team=self.team,
                withdrawals=(withdrawal,),
            )
        member = ClientAccount(
            name=account,
            key_hash=_HASH,
            budgets=(budget,),
        )
        lists = ItemLists(accounts=(member,))
        if account in configuration.accounts:
            return ReleaseNote(
                name=name,
                team=self.team,
                written_against_revision=revision,
                changes=lists,
            )
        return ReleaseNote(name=name, team=self.team, additions=lists)


async def run_random(seed, *, seconds=90, settle_seconds=25):
    """Runs operators under faults; returns the world after recovery."""
    world = World(seed=seed)
    rng = world.random
    async with anyio.create_task_group() as tasks:
        world.start(tasks)
        await world.clock.sleep_ms(3000)
        operators = [Operator(random=rng, team=team) for team in TEAMS]
        for number in range(seconds):
            inject_fault(world, tasks, number)
            for operator in operators:
                if rng.random() < 0.5:
                    vm = rng.choice(list(world.vms.values()))
                    note = operator.write(number, vm.notes.current())
                    tasks.start_soon(world.apply, vm, note)
            await world.clock.sleep_ms(1000)
        world.heal()
        for name, zone in world.names:
            if name not in world.vms:
                world.start_vm(tasks, name, zone)
        await world.clock.sleep_ms(settle_seconds * 1000)
        world.ready = [vm.notes.may_serve() for vm in world.vms.values()]
        world.sequences = {vm.sequence for vm in world.vms.values()}
        world.check_all_accepted()
        world.stop()
        tasks.cancel_scope.cancel()
    return world


def inject_fault(world, tasks, number):
    """Injects or clears at most one random fault, and sets late commits."""
    roll = world.random.random()
    if roll < 0.08:
        world.cut_zone = world.random.choice(('', *ZONES))
    elif roll < 0.12:
        world.store_down = not world.store_down
    elif roll < 0.18:
        world.lost_answer_share = world.random.choice((0, 0.3))
    elif roll < 0.24:
        world.isolated_vm = world.random.choice(('', *world.vms))
    elif roll < 0.32:
        name = world.random.choice(list(world.vms))
        zone = world.vms[name].zone
        world.kill(name)
        world.start_vm(tasks, name, zone)
    world.late_commits = world.random.random() < 0.08
    world.set_faults()
