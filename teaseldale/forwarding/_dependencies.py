"""Dependencies shared by all requests of a VM."""

import functools
import random

import attrs

from teaseldale.budgets import AccountGrants
from teaseldale.clock import BaseClock
from teaseldale.forwarding._configuration import ConfigurationHolder
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._crash_reports import CrashReports
from teaseldale.forwarding._link_totals import read_link_totals
from teaseldale.forwarding._pace_reports import PaceReports
from teaseldale.forwarding._process_end import ProcessEnd
from teaseldale.forwarding._runner_announcements import RunnerAnnouncements
from teaseldale.forwarding._runners import RunnerDirectory
from teaseldale.forwarding._version_moves import VersionMoves
from teaseldale.forwarding._wire import BaseWireFormat
from teaseldale.logs import StateLog
from teaseldale.members import FleetCells
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.routing import (
    BacklogChoice,
    LinkWindow,
    OverloadAdmission,
    PartDirectory,
    RetryWindow,
    RunnerLimits,
    RunnerPermits,
    RunnerRooms,
    VmCapacity,
)


@attrs.frozen(kw_only=True)
class ForwardingDependencies:
    """Services and state that admission, dispatch and billing use."""

    wire: BaseWireFormat
    configuration: ConfigurationHolder
    directory: RunnerDirectory
    connections: RunnerConnectionPools
    choice: BacklogChoice
    overload: OverloadAdmission
    cells: FleetCells
    part_directory: PartDirectory
    retries: RetryWindow
    crashes: CrashReports
    limits: RunnerLimits
    rooms: RunnerRooms
    permits: RunnerPermits
    announcements: RunnerAnnouncements
    grants: AccountGrants
    moves: VersionMoves
    clock: BaseClock
    metrics: Metrics
    random_source: random.Random
    log: StateLog
    held_bytes: ByteBudget
    link_bytes_per_s: int = 0  # rate of the VM's link; 0 if it is not known
    pace_reports: PaceReports = attrs.field(factory=PaceReports)
    process_end: ProcessEnd = attrs.field(factory=ProcessEnd)
    capacity: VmCapacity = attrs.field(init=False)

    @capacity.default
    def _make_capacity(self) -> VmCapacity:
        return VmCapacity(
            link=LinkWindow(
                link_bytes_per_s=self.link_bytes_per_s,
                read_totals=functools.partial(read_link_totals, self.metrics),
                clock=self.clock,
            ),
            clock=self.clock,
            metrics=self.metrics,
            random_source=self.random_source,
        )
