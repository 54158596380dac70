"""Assembly of one VM's services for the ``node`` command."""

import os
import random
import signal
import uuid

import anyio
from anyio.abc import TaskGroup

from teaseldale.budgets import (
    AccountGrants,
    HolderKey,
    StoreAccess,
    VmIncarnation,
)
from teaseldale.clock import PROCESS_START_MS, SystemClock
from teaseldale.command._runner_links import RunnerLinks, build_runner_links
from teaseldale.forwarding import (
    CrashReports,
    FleetState,
    FleetWatch,
    ForwardingDependencies,
    ForwardingEntry,
    MetricsPage,
    MoveStore,
    NodeSettings,
    RequestLog,
    RingPartOwners,
    VersionMoves,
    VmDatagrams,
    VmLoadReporter,
)
from teaseldale.kernel import BaseService, Kernel
from teaseldale.logs import StateLog
from teaseldale.members import (
    AccountKeepers,
    HashRing,
    MemberList,
    VmEntry,
)
from teaseldale.metrics import Metrics
from teaseldale.platform import (
    SETTINGS_VARIABLE,
    PlatformFleetFormat,
    PlatformOrderStatus,
    PlatformStore,
    PlatformWireFormat,
    read_settings_file,
)
from teaseldale.routing import (
    BacklogChoice,
    LearnedStart,
    OverloadAdmission,
    PartDirectory,
    PlacementExchange,
    RetryWindow,
    RunnerPaces,
    RunnerPermits,
)
from teaseldale.settings import SettingsError


def settings_path() -> str:
    """Returns the path of the settings file from the environment.

    Raises ``SettingsError`` if the variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE}: not set')
    return path


def build_node_kernel(settings: NodeSettings) -> Kernel:
    """Returns a kernel with all services of a VM in start order."""
    metrics = Metrics()
    clock = SystemClock()
    store = PlatformStore.at(settings.store_address, metrics)
    start = VmIncarnation(
        holder=HolderKey(vm_name=settings.name, incarnation=uuid.uuid4().hex),
        address=str(settings.peer_address),
        started_ms=PROCESS_START_MS,
        is_first=settings.is_first_start,
    )
    access = StoreAccess(
        table=store,
        feed=store,
        clock=clock,
        metrics=metrics,
        eras=store.eras,
    )
    members = _build_members(start, access)
    links = build_runner_links(settings, access, members)
    parts = _build_dependencies(settings, start, access, members, links)
    kernel = Kernel(step_timeout_ms=settings.grace_ms)
    if settings.metrics_address is not None:
        kernel.register(
            MetricsPage(
                address=settings.metrics_address,
                metrics=metrics,
                client_limits=settings.client_limits,
            ),
        )
    watch = _build_watch(parts, store)
    kernel.register(
        VmLoadReporter(
            runners_age_ms=lambda: watch.runners_age_ms,
            capacity=parts.capacity,
            clock=clock,
            metrics=metrics,
        ),
    )
    kernel.register(SettingsReload())
    kernel.register(watch)
    _register_all(
        kernel,
        members,
        parts.grants,
        parts.moves,
        parts.crashes,
        parts.limits,
        parts.rooms,
        links.watch,
    )
    kernel.register(
        VmDatagrams(
            address=settings.peer_address,
            exchange=PlacementExchange(
                vm_name=settings.name,
                choice=parts.choice,
                leaving_runners=parts.announcements,
                clock=clock,
            ),
            cells=parts.cells,
            members=members,
            grants=parts.grants,
            limits=parts.limits,
            rooms=parts.rooms,
            part_directory=parts.part_directory,
            clock=clock,
            metrics=metrics,
        ),
    )
    kernel.register(
        ForwardingEntry(
            settings=settings,
            parts=parts,
            request_log=RequestLog(clock=clock, metrics=metrics),
            count_tunnels=lambda: links.server.open_count,
            store_age_ms=lambda: watch.runners_age_ms,
        ),
    )
    # Drained first, so that no tunnel is opened while the entry drains.
    kernel.register(links.server)
    return kernel


class SettingsReload(BaseService):
    """Validates the settings file again on SIGHUP, without applying it."""

    def __init__(self) -> None:
        """Creates the service; ``start`` installs the signal handler."""
        self._log = StateLog(channel='settings')

    @property
    def name(self) -> str:
        """Name under which the kernel registers the service."""
        return 'settings_reload'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that handles SIGHUP."""
        tasks.start_soon(self._reload_on_signal)

    async def _reload_on_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload()

    def _reload(self) -> None:
        try:
            settings = read_settings_file(settings_path())
        except SettingsError as error:
            self._log.changed('settings_not_reloaded', reason=str(error))
            return
        self._log.changed('settings_reloaded', node=settings.name)


def _register_all(kernel: Kernel, *services: BaseService) -> None:
    for service in services:
        kernel.register(service)


def _build_members(start: VmIncarnation, store: StoreAccess) -> MemberList:
    return MemberList(
        vm_name=start.holder.vm_name,
        entry=VmEntry(
            address=start.address,
            incarnation=start.holder.incarnation,
        ),
        table=store.table,
        feed=store.feed,
        clock=store.clock,
        metrics=store.metrics,
    )


def _build_dependencies(
    settings: NodeSettings,
    start: VmIncarnation,
    store: StoreAccess,
    members: MemberList,
    links: RunnerLinks,
) -> ForwardingDependencies:
    random_source = random.Random()  # noqa: S311
    bounds = settings.retry_bounds
    clock = store.clock
    metrics = store.metrics
    directory = links.directory
    connections = links.connections
    # Runners that share their machines report how long work takes; for others
    # the choice does not depend on measured times.
    paces = RunnerPaces(clock=clock, needs_reports=True, metrics=metrics)
    return ForwardingDependencies(
        wire=PlatformWireFormat(),
        configuration=links.configuration,
        directory=directory,
        connections=connections,
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
            vm_count=lambda: members.vm_count,
            cell=links.cells.runners,
        ),
        cells=links.cells,
        part_directory=PartDirectory(
            vm_name=settings.name,
            owners=RingPartOwners(
                ring=HashRing(members=members),
                cells=links.cells,
            ),
            clock=clock,
            metrics=metrics,
        ),
        retries=RetryWindow(
            clock=clock,
            share=bounds.share,
            extra_count=bounds.extra_count,
            window_ms=bounds.window_ms,
            vm_count=lambda: members.vm_count,
        ),
        limits=links.terms.limits,
        rooms=links.terms.rooms,
        permits=RunnerPermits(
            limits=links.terms.limits,
            rooms=links.terms.rooms,
        ),
        announcements=links.terms.announcements,
        crashes=CrashReports(
            vm_name=settings.name,
            members=members,
            directory=directory,
            connections=connections,
            store=store,
        ),
        grants=AccountGrants(
            start=start,
            keepers=AccountKeepers(members=members, vm_name=settings.name),
            store=store,
        ),
        moves=VersionMoves(
            holder=start.holder,
            limits=settings.exposure,
            vm_count=lambda: members.vm_count,
            directory=directory,
            store=MoveStore(
                table=store.table,
                feed=store.feed,
                status=PlatformOrderStatus(),
            ),
            clock=clock,
            metrics=metrics,
        ),
        clock=clock,
        metrics=metrics,
        random_source=random_source,
        log=StateLog(channel='entry'),
        held_bytes=links.held_bytes,
        link_bytes_per_s=settings.link_bytes_per_s,
    )


def _build_watch(
    parts: ForwardingDependencies, store: PlatformStore
) -> FleetWatch:
    return FleetWatch(
        feed=store,
        format=PlatformFleetFormat(),
        state=FleetState(
            configuration=parts.configuration,
            directory=parts.directory,
            connections=parts.connections,
            choice=parts.choice,
            announcements=parts.announcements,
            grants=parts.grants,
            moves=parts.moves,
        ),
        clock=parts.clock,
        metrics=parts.metrics,
    )
