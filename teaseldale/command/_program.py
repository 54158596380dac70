"""Assembly of one VM's services."""

import random
import uuid

import anyio

from teaseldale.budgets import (
    AddedBudgetRows,
    GrantedSpending,
    TableLedger,
)
from teaseldale.clock import BaseClock, SystemClock
from teaseldale.command._endpoints import add_endpoints
from teaseldale.entry import CallersInterface, RequestParts
from teaseldale.kernel import BaseService, Kernel
from teaseldale.metrics import Metrics
from teaseldale.moves import HttpOrderClient, MovesParts, MovesService
from teaseldale.notes import FleetConfiguration, NotesParts
from teaseldale.operations import OperatorsInterface, OperatorsParts
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.platform import HttpMembershipList, HttpTableService
from teaseldale.requests import HolderParts, WitnessedRegistry
from teaseldale.routing import LeastInFlightChoice, LocalRouter
from teaseldale.settings import Settings, read_secret
from teaseldale.upstreams import HttpEngineClient, HttpServiceClient


def build_kernel(settings: Settings, shutdown: anyio.Event) -> Kernel:
    """Creates all services of one VM in their order of start."""
    clock = SystemClock()
    metrics = Metrics()
    table = HttpTableService(
        base_url=settings.platform.table_url,
        timeout_ms=settings.platform.timeout_ms,
    )
    peers = _peer_network(settings, clock, metrics)
    configuration = FleetConfiguration(
        parts=NotesParts(
            table=table,
            peers=peers,
            clock=clock,
            metrics=metrics,
            budget_rows=AddedBudgetRows(ledger=TableLedger(table=table)),
        ),
    )
    moves = MovesService(
        parts=MovesParts(
            configuration=configuration,
            table=table,
            peers=peers,
            clock=clock,
            metrics=metrics,
            orders=HttpOrderClient(),
        ),
    )
    holder_parts = HolderParts.build(
        table=table,
        peers=peers,
        clock=clock,
        metrics=metrics,
        random_source=random.Random(),
    )
    spending = GrantedSpending(parts=holder_parts)
    registry = WitnessedRegistry(parts=holder_parts)
    operators = OperatorsInterface(
        address=settings.vm.operators_address,
        parts=OperatorsParts(
            is_ready=configuration.may_serve,
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
        moves=moves,
        ledger=TableLedger(table=table),
        peers=peers,
    )
    return _kernel_of(
        operators,
        peers,
        configuration,
        moves,
        spending,
        registry,
        CallersInterface(
            address=settings.vm.callers_address,
            parts=RequestParts(
                configuration=configuration,
                registry=registry,
                spending=spending,
                versions=moves.assignment,
                router=LocalRouter(
                    configuration=configuration,
                    choice=LeastInFlightChoice(),
                ),
                engines=HttpEngineClient(),
                services=HttpServiceClient(),
                clock=clock,
                metrics=metrics,
            ),
            limits=settings.limits,
        ),
    )


def _kernel_of(*services: BaseService) -> Kernel:
    kernel = Kernel()
    for service in services:
        kernel.register(service)
    return kernel


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
        membership=HttpMembershipList(
            base_url=settings.platform.membership_url,
            timeout_ms=settings.platform.timeout_ms,
        ),
        clock=clock,
        metrics=metrics,
    )
