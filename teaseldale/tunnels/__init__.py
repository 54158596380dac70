"""Tunnels through other VMs to runners that a VM does not reach itself."""

from teaseldale.tunnels._path_watch import PathWatch
from teaseldale.tunnels._relay_choice import RelayChoice
from teaseldale.tunnels._relay_policy import BaseRelayPolicy
from teaseldale.tunnels._relaying_connector import RelayingConnector
from teaseldale.tunnels._runner_paths import PathChange, RunnerPaths
from teaseldale.tunnels._tunnel import Tunnel
from teaseldale.tunnels._tunnel_client import NoTunnelError, TunnelClient
from teaseldale.tunnels._tunnel_server import TunnelServer

__all__ = (
    'BaseRelayPolicy',
    'NoTunnelError',
    'PathChange',
    'PathWatch',
    'RelayChoice',
    'RelayingConnector',
    'RunnerPaths',
    'Tunnel',
    'TunnelClient',
    'TunnelServer',
)
