"""Forwards requests of all routes to the runners of their services."""

from teaseldale.forwarding._configuration import (
    ConfigurationHolder,
    EngineLimits,
    EntryLimits,
    ForwardingConfiguration,
    ForwardingRoute,
    ForwardingService,
    PrepaidAccount,
    Repetition,
    WeightedService,
)
from teaseldale.forwarding._connection_book import ConnectionBook
from teaseldale.forwarding._entry import ForwardingEntry
from teaseldale.forwarding._fleet_watch import (
    BaseFleetFormat,
    FleetWatch,
    UnreadableRowError,
    WatchedState,
)
from teaseldale.forwarding._metrics_page import MetricsPage
from teaseldale.forwarding._node import Address, NodeSettings, RetryBounds
from teaseldale.forwarding._parts import ForwardingParts
from teaseldale.forwarding._request_log import RequestLog
from teaseldale.forwarding._runners import (
    ForwardingRunner,
    RunnerDirectory,
    VersionOrder,
)
from teaseldale.forwarding._version_moves import (
    BaseOrderStatus,
    MoveStore,
    VersionMoves,
)
from teaseldale.forwarding._vm_datagrams import VmDatagrams
from teaseldale.forwarding._vm_load import VmLoad
from teaseldale.forwarding._wire import (
    BaseWireFormat,
    ClientRequest,
    Dispatch,
    RunnerLoad,
    RunnerReply,
    TokenUsage,
)

__all__ = (
    'Address',
    'BaseFleetFormat',
    'BaseOrderStatus',
    'BaseWireFormat',
    'ClientRequest',
    'ConfigurationHolder',
    'ConnectionBook',
    'Dispatch',
    'EngineLimits',
    'EntryLimits',
    'FleetWatch',
    'ForwardingConfiguration',
    'ForwardingEntry',
    'ForwardingParts',
    'ForwardingRoute',
    'ForwardingRunner',
    'ForwardingService',
    'MetricsPage',
    'MoveStore',
    'NodeSettings',
    'VmDatagrams',
    'VmLoad',
    'PrepaidAccount',
    'Repetition',
    'RequestLog',
    'RetryBounds',
    'RunnerDirectory',
    'RunnerLoad',
    'RunnerReply',
    'TokenUsage',
    'UnreadableRowError',
    'VersionMoves',
    'VersionOrder',
    'WatchedState',
    'WeightedService',
)
