"""A VM's forwarding entry in virtual time, without a network."""

import random

import attrs

from teaseldale.budgets import (
    AccountGrants,
    HolderKey,
    StoreAccess,
    VmIncarnation,
)
from teaseldale.fakes import FakeTableService
from teaseldale.forwarding import (
    Address,
    CellLimitHolders,
    ConfigurationHolder,
    CrashReports,
    EngineLimits,
    EntryLimits,
    ExposureLimits,
    ForwardingConfiguration,
    ForwardingDependencies,
    ForwardingEntry,
    ForwardingRoute,
    ForwardingRunner,
    ForwardingService,
    MoveStore,
    NodeSettings,
    PrepaidAccount,
    RequestLog,
    RetryLimits,
    RetryPolicy,
    RingPartOwners,
    RunnerAnnouncements,
    RunnerDirectory,
    VersionMoves,
    WeightedService,
)
from teaseldale.logs import StateLog
from teaseldale.members import (
    AccountKeepers,
    BaseFleetMembers,
    FixedMembers,
    FleetCells,
    HashRing,
    VmEntry,
)
from teaseldale.memory import ByteBudget, budget_bytes_of
from teaseldale.metrics import Metrics
from teaseldale.platform import PlatformOrderStatus, PlatformWireFormat
from teaseldale.routing import (
    BacklogChoice,
    LearnedStart,
    OverloadAdmission,
    PartDirectory,
    RetryWindow,
    RunnerLimits,
    RunnerPaces,
    RunnerPermits,
    RunnerRooms,
)
from teaseldale.tables import InMemoryTable

MEMORY_BYTES = 300_000_000
REPETITIONS = {
    'safe': (RetryPolicy.SAFE, False),
    'once': (RetryPolicy.ONCE, False),
    'stream': (RetryPolicy.STREAM, False),
    'resumable': (RetryPolicy.STREAM, True),
}
BODY_LIMIT_BYTES = 100
_ADDRESS = Address(ip='127.0.0.1', port=1)
_EXPOSURE = ExposureLimits(share=0.1, extra_count=50)


class ListedMembers(FixedMembers):
    """A member list from which a test can remove VMs."""

    def __init__(self, *, entries):
        super().__init__(entries=entries)
        self._removals = 0

    @property
    def revision(self):
        return 1 + self._removals

    def remove(self, names):
        self._removals += 1
        for name in names:
            self._entries.pop(name)


def fixed_members(count):
    """Returns a member list of ``vm-0`` and so on."""
    return ListedMembers(
        entries={
            f'vm-{number}': VmEntry(
                address=f'127.0.0.1:{number + 1}',
                incarnation='1',
            )
            for number in range(count)
        },
    )


def make_configuration(kind, runner_limit):
    """Returns a configuration with one route of a kind and one account."""
    repetition, is_resumable = REPETITIONS[kind]
    return ForwardingConfiguration(
        version=1,
        routes=(
            ForwardingRoute(
                name='route',
                host='h',
                path_prefix='/a/',
                repetition=repetition,
                services=(WeightedService(service='s', weight=1),),
                runner_limit=runner_limit,
                timeout_ms=1000,
                objective_ms=100,
                priority=1,
                is_resumable=is_resumable,
            ),
        ),
        services={
            's': ForwardingService(
                name='s',
                connection_limit=10,
                engine=EngineLimits(
                    slot_count=4,
                    memory_tokens=100_000,
                    tokens_per_event=5,
                ),
            )
        },
        accounts=(
            PrepaidAccount(name='a', keys=('key',), prepaid_tokens=1_000_000),
        ),
        limits=EntryLimits(body_bytes=BODY_LIMIT_BYTES),
    )


def make_runner(number, *, slot_count=4):
    """Returns the first incarnation of a runner."""
    return ForwardingRunner(
        runner_id=f'i-{number}',
        started_wall_ms=1,
        service='s',
        address=Address(ip='10.0.0.9', port=number + 1),
        availability_zone='z',
        version='v1',
        slot_count=slot_count,
    )


@attrs.frozen(kw_only=True)
class EntryOptions:
    """What differs between the VMs of a test."""

    connections: object
    clock: object
    configuration: object = None
    runners: tuple = ()
    members: BaseFleetMembers = attrs.field(factory=lambda: fixed_members(1))
    vm_name: str = 'vm-0'
    table: FakeTableService = attrs.field(
        factory=lambda: FakeTableService(
            state=InMemoryTable(),
            random_source=random.Random(1),
        ),
    )
    seed: int = 1
    held_bytes_limit: int = budget_bytes_of(MEMORY_BYTES)


def make_entry(options):
    """Returns the entry of a VM and its dependencies."""
    metrics = Metrics()
    clock = options.clock
    table = options.table
    members = options.members
    directory = RunnerDirectory()
    holder = ConfigurationHolder()
    if options.configuration is not None:
        directory.replace_all(options.runners)
        holder.adopt_if_newer(options.configuration)
    vm_holder = HolderKey(vm_name=options.vm_name, incarnation='1')
    random_source = random.Random(options.seed)
    store = StoreAccess(table=table, feed=table, clock=clock, metrics=metrics)
    cells = FleetCells(members=members, vm_name=options.vm_name)
    holders = CellLimitHolders(
        members=members,
        cells=cells,
        directory=directory,
    )
    limits = RunnerLimits(
        vm_name=options.vm_name,
        holders=holders,
        clock=clock,
        metrics=metrics,
    )
    rooms = RunnerRooms(
        vm_name=options.vm_name,
        holders=holders,
        clock=clock,
        metrics=metrics,
    )
    paces = RunnerPaces(clock=clock, needs_reports=True)
    parts = ForwardingDependencies(
        wire=PlatformWireFormat(),
        configuration=holder,
        directory=directory,
        connections=options.connections,
        choice=BacklogChoice(
            clock=clock,
            random_source=random_source,
            paces=paces,
        ),
        overload=OverloadAdmission(
            clock=clock,
            metrics=metrics,
            random_source=random_source,
            estimate=LearnedStart(paces=paces),
            vm_count=lambda: len(members.entries()),
            cell=cells.runners,
        ),
        cells=cells,
        part_directory=PartDirectory(
            vm_name=options.vm_name,
            owners=RingPartOwners(
                ring=HashRing(members=members),
                cells=cells,
            ),
            clock=clock,
            metrics=metrics,
        ),
        retries=RetryWindow(
            clock=clock,
            share=0.2,
            extra_count=56,
            window_ms=10_000,
            vm_count=lambda: len(members.entries()),
        ),
        limits=limits,
        rooms=rooms,
        permits=RunnerPermits(limits=limits, rooms=rooms),
        held_bytes=ByteBudget(
            limit_bytes=options.held_bytes_limit,
            metrics=metrics,
        ),
        announcements=RunnerAnnouncements(
            directory=directory,
            limits=limits,
            rooms=rooms,
            clock=clock,
            metrics=metrics,
        ),
        crashes=CrashReports(
            vm_name=options.vm_name,
            members=members,
            directory=directory,
            connections=options.connections,
            store=store,
        ),
        grants=AccountGrants(
            start=VmIncarnation(
                holder=vm_holder,
                address='127.0.0.1:1',
                started_ms=0,
            ),
            keepers=AccountKeepers(members=members, vm_name=options.vm_name),
            store=store,
        ),
        moves=VersionMoves(
            holder=vm_holder,
            limits=_EXPOSURE,
            vm_count=lambda: len(members.entries()),
            directory=directory,
            store=MoveStore(
                table=table,
                feed=table,
                status=PlatformOrderStatus(),
            ),
            clock=clock,
            metrics=metrics,
        ),
        clock=clock,
        metrics=metrics,
        random_source=random_source,
        log=StateLog(channel='test'),
    )
    entry = ForwardingEntry(
        settings=_settings(options.vm_name),
        parts=parts,
        request_log=RequestLog(clock=clock, metrics=metrics),
    )
    return entry, parts


def _settings(vm_name):
    return NodeSettings(
        name=vm_name,
        availability_zone='z',
        callers_address=_ADDRESS,
        readiness_address=_ADDRESS,
        metrics_address=None,
        peer_address=_ADDRESS,
        store_address=_ADDRESS,
        retry_bounds=RetryLimits(share=0.2, extra_count=56, window_ms=10_000),
        grace_ms=8000,
        exposure=_EXPOSURE,
        memory_bytes=MEMORY_BYTES,
    )
