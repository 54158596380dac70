"""Fakes for in-process tests: virtual time, table service and peers."""

from teaseldale.fakes._pause import PauseGate
from teaseldale.fakes._peers import FakePeerFabric, FakePeerNetwork
from teaseldale.fakes._table import FakeTableService
from teaseldale.fakes._tcp_network import (
    CutMode,
    FakeTcpFabric,
    FakeTcpNetwork,
)
from teaseldale.fakes._virtual_time import (
    VirtualClock,
    keep_loop_busy,
    run_in_virtual_time,
)

__all__ = (
    'CutMode',
    'FakePeerFabric',
    'FakePeerNetwork',
    'FakeTableService',
    'FakeTcpFabric',
    'FakeTcpNetwork',
    'PauseGate',
    'VirtualClock',
    'keep_loop_busy',
    'run_in_virtual_time',
)
