"""Forwards requests of all routes to the runners of their services."""

from teaseldale.forwarding._configuration import (
    ConfigurationHolder,
    EngineLimits,
    EntryLimits,
    ForwardingConfiguration,
    ForwardingRoute,
    ForwardingService,
    PrepaidAccount,
    RetryPolicy,
    WeightedService,
)
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._crash_reports import CrashReports
from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.forwarding._entry import ForwardingEntry
from teaseldale.forwarding._fleet_watch import (
    BaseFleetFormat,
    FleetState,
    FleetWatch,
    UnreadableRowError,
)
from teaseldale.forwarding._limit_holders import CellLimitHolders
from teaseldale.forwarding._metrics_page import MetricsPage
from teaseldale.forwarding._node import (
    UNLIMITED_RETRIES,
    Address,
    ExposureLimits,
    NodeSettings,
    RetryLimits,
)
from teaseldale.forwarding._part_owners import RingPartOwners
from teaseldale.forwarding._relayed_runners import RelayedRunners
from teaseldale.forwarding._request_log import RequestLog
from teaseldale.forwarding._runner_announcements import RunnerAnnouncements
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
from teaseldale.forwarding._vm_load import VmLoadReporter
from teaseldale.forwarding._wire import (
    Announcement,
    BaseWireFormat,
    ClientRequest,
    Dispatch,
    RunnerLoad,
    RunnerReply,
    TokenUsage,
)

__all__ = (
    'UNLIMITED_RETRIES',
    'Address',
    'Announcement',
    'BaseFleetFormat',
    'BaseOrderStatus',
    'BaseWireFormat',
    'ClientRequest',
    'CellLimitHolders',
    'ConfigurationHolder',
    'CrashReports',
    'RunnerConnectionPools',
    'Dispatch',
    'EngineLimits',
    'ExposureLimits',
    'EntryLimits',
    'FleetWatch',
    'ForwardingConfiguration',
    'ForwardingEntry',
    'ForwardingDependencies',
    'ForwardingRoute',
    'ForwardingRunner',
    'ForwardingService',
    'MetricsPage',
    'MoveStore',
    'NodeSettings',
    'VmDatagrams',
    'VmLoadReporter',
    'PrepaidAccount',
    'RetryPolicy',
    'RelayedRunners',
    'RequestLog',
    'RetryLimits',
    'RingPartOwners',
    'RunnerAnnouncements',
    'RunnerDirectory',
    'RunnerLoad',
    'RunnerReply',
    'TokenUsage',
    'UnreadableRowError',
    'VersionMoves',
    'VersionOrder',
    'FleetState',
    'WeightedService',
)
