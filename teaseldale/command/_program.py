"""Assembly of one VM's services for the ``serve`` command."""

import random
import uuid

import anyio
import attrs

from teaseldale.budgets import AddedBudgetRows, GrantedSpending, TableLedger
from teaseldale.clock import BaseClock, SystemClock
from teaseldale.command._endpoints import add_endpoints
from teaseldale.entry import CallersInterface, RequestDependencies
from teaseldale.kernel import Kernel
from teaseldale.metrics import Metrics
from teaseldale.moves import HttpOrderClient, MovesDependencies, MovesService
from teaseldale.notes import FleetConfiguration, NotesDependencies
from teaseldale.operations import OperatorsDependencies, OperatorsInterface
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.requests import HolderDependencies, WitnessedRegistry
from teaseldale.routing import (
    AffinityChoice,
    FleetRouter,
    PrefixIndex,
    RunnerWatch,
)
from teaseldale.settings import Settings, read_secret
from teaseldale.tables import (
    BaseMembershipList,
    BaseTableService,
    HttpMembershipList,
    HttpTableService,
)
from teaseldale.upstreams import (
    CrashQuarantine,
    HttpEngineClient,
    HttpRunnerReports,
    HttpServiceClient,
)


@attrs.frozen(kw_only=True)
class SharedDependencies:
    """Dependencies that the services of a VM share."""

    settings: Settings
    clock: BaseClock
    metrics: Metrics
    table: BaseTableService
    membership: BaseMembershipList
    peers: PynngPeerNetwork


@attrs.frozen(kw_only=True)
class CoordinationServices:
    """Services that coordinate with other VMs."""

    configuration: FleetConfiguration
    moves: MovesService
    spending: GrantedSpending
    registry: WitnessedRegistry
    quarantine: CrashQuarantine
    router: FleetRouter
    watch: RunnerWatch


def build_kernel(settings: Settings, shutdown: anyio.Event) -> Kernel:
    """Returns a kernel with all services of a VM in start order."""
    shared = _build_shared(settings)
    services = _build_coordination(shared)
    limits = settings.limits
    step_timeout_ms = limits.balancer_grace_ms + limits.drain_timeout_ms
    kernel = Kernel(step_timeout_ms=step_timeout_ms)
    kernel.register(_build_operators(shared, services, shutdown))
    kernel.register(shared.peers)
    kernel.register(services.configuration)
    kernel.register(services.moves)
    kernel.register(services.spending)
    kernel.register(services.registry)
    kernel.register(services.quarantine)
    kernel.register(services.router)
    kernel.register(services.watch)
    kernel.register(_build_callers(shared, services))
    return kernel


def _build_shared(settings: Settings) -> SharedDependencies:
    clock = SystemClock()
    metrics = Metrics()
    membership = HttpMembershipList(
        base_url=settings.platform.membership_url,
        timeout_ms=settings.platform.timeout_ms,
        metrics=metrics,
    )
    return SharedDependencies(
        settings=settings,
        clock=clock,
        metrics=metrics,
        table=HttpTableService(
            base_url=settings.platform.table_url,
            timeout_ms=settings.platform.timeout_ms,
            metrics=metrics,
        ),
        membership=membership,
        peers=PynngPeerNetwork(
            identity=VmIdentity(
                name=settings.vm.name,
                incarnation=uuid.uuid4().hex,
                availability_zone=settings.vm.availability_zone,
                address=settings.vm.peer_address,
            ),
            membership=membership,
            clock=clock,
            metrics=metrics,
        ),
    )


def _build_coordination(shared: SharedDependencies) -> CoordinationServices:
    configuration = _build_configuration(shared)
    index = PrefixIndex()
    router = _build_router(shared, configuration, index)
    holder_parts = HolderDependencies.build(
        table=shared.table,
        peers=shared.peers,
        clock=shared.clock,
        metrics=shared.metrics,
        random_source=random.Random(),
    )
    return CoordinationServices(
        configuration=configuration,
        moves=_build_moves(shared, configuration),
        spending=GrantedSpending(parts=holder_parts),
        registry=WitnessedRegistry(parts=holder_parts),
        quarantine=CrashQuarantine(
            network=shared.peers,
            reports=HttpRunnerReports(metrics=shared.metrics),
            clock=shared.clock,
            metrics=shared.metrics,
        ),
        router=router,
        watch=RunnerWatch(
            table=router.table,
            index=index,
            reports=HttpRunnerReports(metrics=shared.metrics),
            membership=shared.membership,
            clock=shared.clock,
            metrics=shared.metrics,
        ),
    )


def _build_configuration(shared: SharedDependencies) -> FleetConfiguration:
    ledger = TableLedger(table=shared.table)
    return FleetConfiguration(
        parts=NotesDependencies(
            table=shared.table,
            peers=shared.peers,
            clock=shared.clock,
            metrics=shared.metrics,
            budget_rows=AddedBudgetRows(ledger=ledger),
        ),
    )


def _build_moves(
    shared: SharedDependencies,
    configuration: FleetConfiguration,
) -> MovesService:
    return MovesService(
        parts=MovesDependencies(
            configuration=configuration,
            table=shared.table,
            peers=shared.peers,
            clock=shared.clock,
            metrics=shared.metrics,
            orders=HttpOrderClient(),
        ),
    )


def _build_router(
    shared: SharedDependencies,
    configuration: FleetConfiguration,
    index: PrefixIndex,
) -> FleetRouter:
    return FleetRouter(
        configuration=configuration,
        choice=AffinityChoice(
            index=index,
            clock=shared.clock,
            zone=shared.settings.vm.availability_zone,
            random_source=random.Random(),
        ),
        network=shared.peers,
        clock=shared.clock,
        metrics=shared.metrics,
    )


def _build_operators(
    shared: SharedDependencies,
    services: CoordinationServices,
    shutdown: anyio.Event,
) -> OperatorsInterface:
    settings = shared.settings
    operators = OperatorsInterface(
        address=settings.vm.operators_address,
        dependencies=OperatorsDependencies(
            is_ready=services.configuration.may_serve,
            metrics=shared.metrics,
            shutdown=shutdown,
            operators_key=read_secret(
                settings.vm.operators_key_file,
                field='vm.operators_key_file',
            ),
        ),
    )
    add_endpoints(
        operators,
        configuration=services.configuration,
        moves=services.moves,
        ledger=TableLedger(table=shared.table),
        peers=shared.peers,
        quarantine=services.quarantine,
    )
    return operators


def _build_callers(
    shared: SharedDependencies,
    services: CoordinationServices,
) -> CallersInterface:
    return CallersInterface(
        address=shared.settings.vm.callers_address,
        parts=RequestDependencies(
            configuration=services.configuration,
            registry=services.registry,
            spending=services.spending,
            versions=services.moves.assignment,
            router=services.router,
            engines=HttpEngineClient(),
            services=HttpServiceClient(),
            clock=shared.clock,
            metrics=shared.metrics,
            quarantine=services.quarantine,
        ),
        limits=shared.settings.limits,
    )
