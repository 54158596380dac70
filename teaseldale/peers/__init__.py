"""Messaging between VMs: typed requests and replies, and heartbeats."""

from teaseldale.peers._cells import CELL_LIMIT_VMS, CellIdentity, CellMap
from teaseldale.peers._codec import (
    EncodedMessage,
    MalformedMessageError,
    MessageCodec,
    UnknownMessageError,
    since,
)
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._network import BasePeerNetwork, Handler
from teaseldale.peers._pynng_network import PynngPeerNetwork

__all__ = (
    'CELL_LIMIT_VMS',
    'BasePeerNetwork',
    'CellIdentity',
    'CellMap',
    'EncodedMessage',
    'Handler',
    'MalformedMessageError',
    'MessageCodec',
    'PynngPeerNetwork',
    'UnknownMessageError',
    'VmIdentity',
    'since',
)
