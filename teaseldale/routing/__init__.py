"""Routing of requests to upstreams."""

from typing import TYPE_CHECKING

from teaseldale._lazy_exports import LazyExports

if TYPE_CHECKING:
    from teaseldale.routing._affinity import (
        AffinityChoice,
    )
    from teaseldale.routing._backlog_choice import (
        BacklogChoice,
    )
    from teaseldale.routing._cell_choice import CellChoice
    from teaseldale.routing._choice import (
        BaseUpstreamChoice,
        LeastInFlightChoice,
        LeastReportedChoice,
        PrefixHashChoice,
        RandomChoice,
        RoundRobinChoice,
    )
    from teaseldale.routing._cold_limits import (
        ColdLimits,
        ColdStatement,
    )
    from teaseldale.routing._fleet_router import (
        FleetRouter,
    )
    from teaseldale.routing._limit_holders import (
        BaseLimitHolders,
    )
    from teaseldale.routing._link_window import (
        LinkLoad,
        LinkTotals,
        LinkWindow,
    )
    from teaseldale.routing._overload_admission import (
        OverloadAdmission,
    )
    from teaseldale.routing._overload_estimate import LearnedStart
    from teaseldale.routing._overload_request import (
        OverloadAction,
        OverloadDecision,
        OverloadReason,
        OverloadRequest,
        WaitingTurn,
    )
    from teaseldale.routing._pace_messages import (
        ObservedSlowdown,
        ObservedWork,
        PaceObservation,
        decode_observations,
        encode_observations,
        incarnation_code,
    )
    from teaseldale.routing._part_directory import (
        BasePartOwners,
        PartDirectory,
    )
    from teaseldale.routing._placement_messages import (
        PlacementDelta,
        runner_code,
    )
    from teaseldale.routing._placement_notices import (
        BaseLeavingRunners,
        PlacementDatagram,
        PlacementExchange,
    )
    from teaseldale.routing._pool import (
        Runner,
        UpstreamPool,
    )
    from teaseldale.routing._prefix_index import (
        BLOCK_CHARACTERS,
        CacheAction,
        CacheEvent,
        PrefixIndex,
        prefix_hashes,
    )
    from teaseldale.routing._request import (
        Placement,
        RoutingRequest,
    )
    from teaseldale.routing._retries import (
        RetryBudget,
    )
    from teaseldale.routing._retry_window import (
        RetryWindow,
    )
    from teaseldale.routing._router import (
        BaseRouter,
        LocalRouter,
    )
    from teaseldale.routing._runner_backlog import (
        PlacedWork,
        PlannedWork,
        RunnerBacklog,
        SharedPart,
    )
    from teaseldale.routing._runner_limits import (
        LimitPermit,
        RunnerLimits,
    )
    from teaseldale.routing._runner_pace import (
        RunnerPace,
        RunnerPaces,
    )
    from teaseldale.routing._runner_permits import (
        Permit,
        RunnerPermits,
    )
    from teaseldale.routing._runner_rooms import (
        RunnerRooms,
    )
    from teaseldale.routing._runner_table import (
        RunnerTable,
    )
    from teaseldale.routing._runner_watch import (
        RunnerWatch,
    )
    from teaseldale.routing._slot_owner import (
        LEASE_VALIDITY_MS,
    )
    from teaseldale.routing._start_need import (
        StartNeed,
        need_of,
    )
    from teaseldale.routing._vm_capacity import (
        CapacityRefusal,
        CapacityRequest,
        VmCapacity,
    )

__getattr__ = LazyExports(  # noqa: WPS413
    __name__,
    {
        'teaseldale.routing._affinity': ('AffinityChoice',),
        'teaseldale.routing._backlog_choice': ('BacklogChoice',),
        'teaseldale.routing._cell_choice': ('CellChoice',),
        'teaseldale.routing._choice': (
            'BaseUpstreamChoice',
            'LeastInFlightChoice',
            'LeastReportedChoice',
            'PrefixHashChoice',
            'RandomChoice',
            'RoundRobinChoice',
        ),
        'teaseldale.routing._cold_limits': (
            'ColdLimits',
            'ColdStatement',
        ),
        'teaseldale.routing._fleet_router': ('FleetRouter',),
        'teaseldale.routing._limit_holders': ('BaseLimitHolders',),
        'teaseldale.routing._link_window': (
            'LinkLoad',
            'LinkTotals',
            'LinkWindow',
        ),
        'teaseldale.routing._overload_admission': ('OverloadAdmission',),
        'teaseldale.routing._overload_estimate': ('LearnedStart',),
        'teaseldale.routing._overload_request': (
            'OverloadAction',
            'OverloadDecision',
            'OverloadReason',
            'OverloadRequest',
            'WaitingTurn',
        ),
        'teaseldale.routing._part_directory': (
            'BasePartOwners',
            'PartDirectory',
        ),
        'teaseldale.routing._pace_messages': (
            'ObservedSlowdown',
            'ObservedWork',
            'PaceObservation',
            'decode_observations',
            'encode_observations',
            'incarnation_code',
        ),
        'teaseldale.routing._placement_messages': (
            'PlacementDelta',
            'runner_code',
        ),
        'teaseldale.routing._placement_notices': (
            'BaseLeavingRunners',
            'PlacementDatagram',
            'PlacementExchange',
        ),
        'teaseldale.routing._pool': (
            'Runner',
            'UpstreamPool',
        ),
        'teaseldale.routing._prefix_index': (
            'BLOCK_CHARACTERS',
            'CacheAction',
            'CacheEvent',
            'PrefixIndex',
            'prefix_hashes',
        ),
        'teaseldale.routing._request': (
            'Placement',
            'RoutingRequest',
        ),
        'teaseldale.routing._retries': ('RetryBudget',),
        'teaseldale.routing._retry_window': ('RetryWindow',),
        'teaseldale.routing._router': (
            'BaseRouter',
            'LocalRouter',
        ),
        'teaseldale.routing._runner_backlog': (
            'PlacedWork',
            'PlannedWork',
            'RunnerBacklog',
            'SharedPart',
        ),
        'teaseldale.routing._runner_limits': (
            'LimitPermit',
            'RunnerLimits',
        ),
        'teaseldale.routing._runner_pace': (
            'RunnerPace',
            'RunnerPaces',
        ),
        'teaseldale.routing._runner_permits': (
            'Permit',
            'RunnerPermits',
        ),
        'teaseldale.routing._runner_rooms': ('RunnerRooms',),
        'teaseldale.routing._runner_table': ('RunnerTable',),
        'teaseldale.routing._runner_watch': ('RunnerWatch',),
        'teaseldale.routing._slot_owner': ('LEASE_VALIDITY_MS',),
        'teaseldale.routing._start_need': (
            'StartNeed',
            'need_of',
        ),
        'teaseldale.routing._vm_capacity': (
            'CapacityRefusal',
            'CapacityRequest',
            'VmCapacity',
        ),
    },
)

__all__ = (
    'AffinityChoice',
    'BLOCK_CHARACTERS',
    'BacklogChoice',
    'BaseLeavingRunners',
    'BaseLimitHolders',
    'BasePartOwners',
    'BaseRouter',
    'BaseUpstreamChoice',
    'CacheAction',
    'CacheEvent',
    'CellChoice',
    'ColdLimits',
    'ColdStatement',
    'FleetRouter',
    'LEASE_VALIDITY_MS',
    'LeastInFlightChoice',
    'LeastReportedChoice',
    'LimitPermit',
    'LinkLoad',
    'LinkTotals',
    'LinkWindow',
    'LocalRouter',
    'LearnedStart',
    'ObservedSlowdown',
    'ObservedWork',
    'OverloadAction',
    'OverloadAdmission',
    'OverloadDecision',
    'OverloadReason',
    'OverloadRequest',
    'PaceObservation',
    'PartDirectory',
    'Permit',
    'PlacedWork',
    'Placement',
    'PlacementDatagram',
    'PlacementDelta',
    'PlacementExchange',
    'PlannedWork',
    'PrefixHashChoice',
    'PrefixIndex',
    'RandomChoice',
    'RetryBudget',
    'RetryWindow',
    'CapacityRefusal',
    'CapacityRequest',
    'RoundRobinChoice',
    'RoutingRequest',
    'Runner',
    'RunnerBacklog',
    'RunnerLimits',
    'RunnerPace',
    'RunnerPaces',
    'RunnerPermits',
    'RunnerRooms',
    'RunnerTable',
    'RunnerWatch',
    'SharedPart',
    'StartNeed',
    'UpstreamPool',
    'VmCapacity',
    'WaitingTurn',
    'decode_observations',
    'encode_observations',
    'incarnation_code',
    'need_of',
    'prefix_hashes',
    'runner_code',
)
