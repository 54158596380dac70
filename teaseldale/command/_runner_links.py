"""Assembly of a VM's connections to runners, direct ones and tunnels."""

import random

import attrs

from teaseldale.budgets import StoreAccess
from teaseldale.forwarding import (
    NodeSettings,
    RunnerConnectionPools,
    RunnerDirectory,
)
from teaseldale.members import BaseFleetMembers
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
class RunnerLinks:
    """Connections to runners, and the services that keep them in order."""

    directory: RunnerDirectory
    connections: RunnerConnectionPools
    server: TunnelServer
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
    connections = RunnerConnectionPools(
        connector=relaying,
        clock=store.clock,
        metrics=store.metrics,
    )
    paths.add_change_listener(connections.apply_path_change)
    return RunnerLinks(
        directory=directory,
        connections=connections,
        server=TunnelServer(
            address=(settings.peer_address.ip, settings.peer_address.port),
            network=network,
            accepts=directory.accepts_connections_at,
            paths=paths,
            metrics=store.metrics,
        ),
        watch=PathWatch(
            paths=paths,
            direct=direct,
            relaying=relaying,
            addresses=connections.addresses,
            clock=store.clock,
        ),
    )
