"""Assembly of a VM's connections to runners, direct ones and tunnels."""

import random

import attrs

from teaseldale.budgets import StoreAccess
from teaseldale.forwarding import (
    CellLimitHolders,
    ConfigurationHolder,
    NodeSettings,
    RelayedRunners,
    RunnerAnnouncements,
    RunnerConnectionPools,
    RunnerDirectory,
)
from teaseldale.members import BaseFleetMembers, FleetCells
from teaseldale.memory import ByteBudget, budget_bytes_of
from teaseldale.platform import PlatformWireFormat
from teaseldale.routing import RunnerLimits, RunnerRooms
from teaseldale.tunnels import (
    PathWatch,
    RelayChoice,
    RelayingConnector,
    RunnerPaths,
    TunnelClient,
    TunnelServer,
)
from teaseldale.upstreams import DirectConnector, SystemTcpNetwork


@attrs.frozen(kw_only=True)
class RunnerTerms:
    """What runners announce, and the services that keep to it."""

    limits: RunnerLimits
    rooms: RunnerRooms
    announcements: RunnerAnnouncements


@attrs.frozen(kw_only=True)
class RunnerLinks:
    """Runners, connections to them, and the services in charge of both."""

    configuration: ConfigurationHolder
    directory: RunnerDirectory
    cells: FleetCells
    terms: RunnerTerms
    connections: RunnerConnectionPools
    server: TunnelServer
    held_bytes: ByteBudget  # for callers, runners and other VMs
    watch: PathWatch


def build_runner_links(
    settings: NodeSettings,
    store: StoreAccess,
    members: BaseFleetMembers,
) -> RunnerLinks:
    """Returns the links of a VM; its services are not started yet."""
    network = SystemTcpNetwork()
    direct = DirectConnector(network=network)
    directory = RunnerDirectory()
    cells = FleetCells(members=members, vm_name=settings.name)
    terms = _build_terms(settings, store, directory, cells, members)
    paths = RunnerPaths(clock=store.clock, metrics=store.metrics)
    relaying = RelayingConnector(
        direct=direct,
        tunnels=TunnelClient(
            network=network,
            choice=RelayChoice(
                members=members,
                vm_name=settings.name,
                clock=store.clock,
                random_source=random.Random(),  # noqa: S311
            ),
            metrics=store.metrics,
        ),
        paths=paths,
        clock=store.clock,
    )
    held_bytes = ByteBudget(
        limit_bytes=budget_bytes_of(settings.memory_bytes),
        metrics=store.metrics,
    )
    configuration = ConfigurationHolder()
    connections = RunnerConnectionPools(
        connector=relaying,
        wire=PlatformWireFormat(),
        configuration=configuration,
        clock=store.clock,
        metrics=store.metrics,
    )
    paths.add_change_listener(connections.apply_path_change)
    return RunnerLinks(
        configuration=configuration,
        directory=directory,
        cells=cells,
        terms=terms,
        connections=connections,
        server=TunnelServer(
            address=(settings.peer_address.ip, settings.peer_address.port),
            network=network,
            policy=RelayedRunners(
                directory=directory,
                announcements=terms.announcements,
                connections=connections,
                wire=PlatformWireFormat(),
            ),
            paths=paths,
            held_bytes=held_bytes,
            metrics=store.metrics,
        ),
        held_bytes=held_bytes,
        watch=PathWatch(
            paths=paths,
            direct=direct,
            relaying=relaying,
            addresses=connections.addresses,
            clock=store.clock,
        ),
    )


def _build_terms(
    settings: NodeSettings,
    store: StoreAccess,
    directory: RunnerDirectory,
    cells: FleetCells,
    members: BaseFleetMembers,
) -> RunnerTerms:
    holders = CellLimitHolders(
        members=members,
        cells=cells,
        directory=directory,
    )
    limits = RunnerLimits(
        vm_name=settings.name,
        holders=holders,
        clock=store.clock,
        metrics=store.metrics,
    )
    rooms = RunnerRooms(
        vm_name=settings.name,
        holders=holders,
        clock=store.clock,
        metrics=store.metrics,
    )
    return RunnerTerms(
        limits=limits,
        rooms=rooms,
        announcements=RunnerAnnouncements(
            directory=directory,
            limits=limits,
            rooms=rooms,
            clock=store.clock,
            metrics=store.metrics,
        ),
    )
