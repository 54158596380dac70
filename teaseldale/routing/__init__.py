"""Choice of the upstream that runs a request."""

from teaseldale.routing._affinity import AffinityChoice
from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._choice import (
    BaseUpstreamChoice,
    LeastInFlightChoice,
    LeastReportedChoice,
    PrefixHashChoice,
    RandomChoice,
    RoundRobinChoice,
)
from teaseldale.routing._fleet_router import FleetRouter
from teaseldale.routing._placement_notices import PlacementExchange
from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._prefix_index import (
    BLOCK_CHARACTERS,
    CacheAction,
    CacheEvent,
    PrefixIndex,
    prefix_hashes,
)
from teaseldale.routing._request import Placement, RoutingRequest
from teaseldale.routing._retries import RetryBudget
from teaseldale.routing._retry_window import RetryWindow
from teaseldale.routing._router import BaseRouter, LocalRouter
from teaseldale.routing._runner_backlog import (
    PlacedWork,
    PlannedWork,
    RunnerBacklog,
    SharedPart,
)
from teaseldale.routing._runner_table import RunnerTable
from teaseldale.routing._runner_watch import RunnerWatch
from teaseldale.routing._slot_owner import LEASE_VALIDITY_MS

__all__ = (
    'BLOCK_CHARACTERS',
    'LEASE_VALIDITY_MS',
    'AffinityChoice',
    'BacklogChoice',
    'BaseRouter',
    'BaseUpstreamChoice',
    'CacheAction',
    'CacheEvent',
    'FleetRouter',
    'LeastInFlightChoice',
    'LeastReportedChoice',
    'LocalRouter',
    'PlacedWork',
    'Placement',
    'PlacementExchange',
    'PlannedWork',
    'PrefixHashChoice',
    'PrefixIndex',
    'RandomChoice',
    'RetryBudget',
    'RetryWindow',
    'RoundRobinChoice',
    'RoutingRequest',
    'Runner',
    'RunnerBacklog',
    'RunnerTable',
    'RunnerWatch',
    'SharedPart',
    'UpstreamPool',
    'prefix_hashes',
)
