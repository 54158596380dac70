"""Assembly of one VM's services."""

import random
import uuid

import anyio

from teaseldale.budgets import GrantedSpending, TableLedger
from teaseldale.clock import BaseClock, SystemClock
from teaseldale.command._endpoints import add_endpoints
from teaseldale.entry import CallersInterface, RequestParts
from teaseldale.kernel import BaseService, Kernel
from teaseldale.metrics import Metrics
from teaseldale.moves import InForceVersion
from teaseldale.notes import TableConfiguration
from teaseldale.operations import OperatorsInterface, OperatorsParts
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.platform import HttpMembershipList, HttpTableService
from teaseldale.requests import HolderParts, WitnessedRegistry
from teaseldale.routing import (
    AffinityChoice,
    FleetRouter,
    PrefixIndex,
    RunnerWatch,
)
from teaseldale.settings import Settings, read_secret
from teaseldale.upstreams import (
    CrashQuarantine,
    HttpEngineClient,
    HttpRunnerReports,
    HttpServiceClient,
)


def build_kernel(settings: Settings, shutdown: anyio.Event) -> Kernel:
    """Creates all services of one VM in their order of start."""
    clock = SystemClock()
    metrics = Metrics()
    table = HttpTableService(
        base_url=settings.platform.table_url,
        timeout_ms=settings.platform.timeout_ms,
        metrics=metrics,
    )
    peers = _peer_network(settings, clock, metrics)
    configuration = TableConfiguration(table=table, clock=clock)
    holder_parts = HolderParts.build(
        table=table,
        peers=peers,
        clock=clock,
        metrics=metrics,
        random_source=random.Random(),
    )
    spending = GrantedSpending(parts=holder_parts)
    registry = WitnessedRegistry(parts=holder_parts)
    router, watch = _routing(settings, configuration, peers, clock, metrics)
    quarantine = CrashQuarantine(
        network=peers,
        reports=HttpRunnerReports(),
        clock=clock,
        metrics=metrics,
    )
    operators = OperatorsInterface(
        address=settings.vm.operators_address,
        parts=OperatorsParts(
            is_ready=lambda: configuration.current().revision > 0,
            metrics=metrics,
            shutdown=shutdown,
            operators_key=read_secret(
                settings.vm.operators_key_file,
                field='vm.operators_key_file',
            ),
        ),
    )
    add_endpoints(
        operators,
        configuration=configuration,
        ledger=TableLedger(table=table),
        peers=peers,
        quarantine=quarantine,
    )
    callers = CallersInterface(
        address=settings.vm.callers_address,
        parts=RequestParts(
            configuration=configuration,
            registry=registry,
            spending=spending,
            versions=InForceVersion(),
            router=router,
            engines=HttpEngineClient(),
            services=HttpServiceClient(),
            clock=clock,
            metrics=metrics,
            quarantine=quarantine,
        ),
        limits=settings.limits,
    )
    return _kernel_of(
        operators,
        peers,
        configuration,
        spending,
        registry,
        quarantine,
        router,
        watch,
        callers,
    )


def _kernel_of(*services: BaseService) -> Kernel:
    kernel = Kernel()
    for service in services:
        kernel.register(service)
    return kernel


def _routing(
    settings: Settings,
    configuration: TableConfiguration,
    peers: PynngPeerNetwork,
    clock: BaseClock,
    metrics: Metrics,
) -> tuple[FleetRouter, RunnerWatch]:
    index = PrefixIndex()
    router = FleetRouter(
        configuration=configuration,
        choice=AffinityChoice(
            index=index,
            clock=clock,
            zone=settings.vm.availability_zone,
            random_source=random.Random(),
        ),
        network=peers,
        clock=clock,
        metrics=metrics,
    )
    watch = RunnerWatch(
        table=router.table,
        index=index,
        reports=HttpRunnerReports(),
        membership=_membership_list(settings, metrics),
        clock=clock,
        metrics=metrics,
    )
    return router, watch


def _membership_list(
    settings: Settings,
    metrics: Metrics,
) -> HttpMembershipList:
    return HttpMembershipList(
        base_url=settings.platform.membership_url,
        timeout_ms=settings.platform.timeout_ms,
        metrics=metrics,
    )


def _peer_network(
    settings: Settings,
    clock: BaseClock,
    metrics: Metrics,
) -> PynngPeerNetwork:
    return PynngPeerNetwork(
        identity=VmIdentity(
            name=settings.vm.name,
            incarnation=uuid.uuid4().hex,
            availability_zone=settings.vm.availability_zone,
            address=settings.vm.peer_address,
        ),
        membership=_membership_list(settings, metrics),
        clock=clock,
        metrics=metrics,
    )
