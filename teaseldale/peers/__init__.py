"""Links between VMs: typed messages, request and reply, heartbeats."""

from teaseldale.peers._codec import MessageCodec, UnknownMessageError
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._network import BasePeerNetwork, Handler
from teaseldale.peers._pynng_network import PynngPeerNetwork

__all__ = (
    'BasePeerNetwork',
    'Handler',
    'MessageCodec',
    'PynngPeerNetwork',
    'UnknownMessageError',
    'VmIdentity',
)
