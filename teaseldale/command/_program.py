"""Assembly of one VM's services for the ``serve`` command."""

import random
import uuid

import anyio
import attrs

from teaseldale.budgets import AddedBudgetRows, GrantedSpending, TableLedger
from teaseldale.clock import BaseClock, SystemClock
from teaseldale.command._endpoints import add_endpoints
from teaseldale.entry import CallersInterface, RequestParts
from teaseldale.kernel import Kernel
from teaseldale.metrics import Metrics
from teaseldale.moves import HttpOrderClient, MovesParts, MovesService
from teaseldale.notes import FleetConfiguration, NotesParts
from teaseldale.operations import OperatorsInterface, OperatorsParts
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.requests import HolderParts, WitnessedRegistry
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
class Foundation:
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
    foundation = _build_foundation(settings)
    services = _build_coordination(foundation)
    limits = settings.limits
    end_timeout_ms = limits.balancer_grace_ms + limits.drain_timeout_ms
    kernel = Kernel(end_timeout_ms=end_timeout_ms)
    kernel.register(_build_operators(foundation, services, shutdown))
    kernel.register(foundation.peers)
    kernel.register(services.configuration)
    kernel.register(services.moves)
    kernel.register(services.spending)
    kernel.register(services.registry)
    kernel.register(services.quarantine)
    kernel.register(services.router)
    kernel.register(services.watch)
    kernel.register(_build_callers(foundation, services))
    return kernel


def _build_foundation(settings: Settings) -> Foundation:
    clock = SystemClock()
    metrics = Metrics()
    membership = HttpMembershipList(
        base_url=settings.platform.membership_url,
        timeout_ms=settings.platform.timeout_ms,
        metrics=metrics,
    )
    return Foundation(
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


def _build_coordination(foundation: Foundation) -> CoordinationServices:
    configuration = _build_configuration(foundation)
    index = PrefixIndex()
    router = _build_router(foundation, configuration, index)
    holder_parts = HolderParts.build(
        table=foundation.table,
        peers=foundation.peers,
        clock=foundation.clock,
        metrics=foundation.metrics,
        random_source=random.Random(),
    )
    return CoordinationServices(
        configuration=configuration,
        moves=_build_moves(foundation, configuration),
        spending=GrantedSpending(parts=holder_parts),
        registry=WitnessedRegistry(parts=holder_parts),
        quarantine=CrashQuarantine(
            network=foundation.peers,
            reports=HttpRunnerReports(),
            clock=foundation.clock,
            metrics=foundation.metrics,
        ),
        router=router,
        watch=RunnerWatch(
            table=router.table,
            index=index,
            reports=HttpRunnerReports(),
            membership=foundation.membership,
            clock=foundation.clock,
            metrics=foundation.metrics,
        ),
    )


def _build_configuration(foundation: Foundation) -> FleetConfiguration:
    ledger = TableLedger(table=foundation.table)
    return FleetConfiguration(
        parts=NotesParts(
            table=foundation.table,
            peers=foundation.peers,
            clock=foundation.clock,
            metrics=foundation.metrics,
            budget_rows=AddedBudgetRows(ledger=ledger),
        ),
    )


def _build_moves(
    foundation: Foundation,
    configuration: FleetConfiguration,
) -> MovesService:
    return MovesService(
        parts=MovesParts(
            configuration=configuration,
            table=foundation.table,
            peers=foundation.peers,
            clock=foundation.clock,
            metrics=foundation.metrics,
            orders=HttpOrderClient(),
        ),
    )


def _build_router(
    foundation: Foundation,
    configuration: FleetConfiguration,
    index: PrefixIndex,
) -> FleetRouter:
    return FleetRouter(
        configuration=configuration,
        choice=AffinityChoice(
            index=index,
            clock=foundation.clock,
            zone=foundation.settings.vm.availability_zone,
            random_source=random.Random(),
        ),
        network=foundation.peers,
        clock=foundation.clock,
        metrics=foundation.metrics,
    )


def _build_operators(
    foundation: Foundation,
    services: CoordinationServices,
    shutdown: anyio.Event,
) -> OperatorsInterface:
    settings = foundation.settings
    operators = OperatorsInterface(
        address=settings.vm.operators_address,
        parts=OperatorsParts(
            is_ready=services.configuration.may_serve,
            metrics=foundation.metrics,
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
        ledger=TableLedger(table=foundation.table),
        peers=foundation.peers,
        quarantine=services.quarantine,
    )
    return operators


def _build_callers(
    foundation: Foundation,
    services: CoordinationServices,
) -> CallersInterface:
    return CallersInterface(
        address=foundation.settings.vm.callers_address,
        parts=RequestParts(
            configuration=services.configuration,
            registry=services.registry,
            spending=services.spending,
            versions=services.moves.assignment,
            router=services.router,
            engines=HttpEngineClient(),
            services=HttpServiceClient(),
            clock=foundation.clock,
            metrics=foundation.metrics,
            quarantine=services.quarantine,
        ),
        limits=foundation.settings.limits,
    )
