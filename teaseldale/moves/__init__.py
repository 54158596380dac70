"""Version moves: evidence-based rollout of a new version of a route."""

from typing import TYPE_CHECKING

from teaseldale._lazy_exports import LazyExports

if TYPE_CHECKING:
    from teaseldale.moves._assignment import (
        BaseVersionAssignment,
        ConfiguredVersion,
        RunningRequest,
    )
    from teaseldale.moves._canary import (
        CanaryPolicy,
        OrderDecision,
        OrderPhase,
        OrderPlan,
    )
    from teaseldale.moves._endpoints import MoveEndpoints
    from teaseldale.moves._evidence import (
        EvidenceCounts,
        EvidenceSample,
        VersionPair,
    )
    from teaseldale.moves._local_moves import MoveAssignment
    from teaseldale.moves._orders import (
        BaseOrderClient,
        EngineOrder,
        HttpOrderClient,
        OrderOutcome,
    )
    from teaseldale.moves._policy import (
        BaseMovePolicy,
        FixedThresholdPolicy,
        MoveAction,
        MoveDecision,
        MoveView,
        SequentialPolicy,
        TimedRampPolicy,
    )
    from teaseldale.moves._records import (
        MoveProgress,
        MoveState,
        MoveStatus,
    )
    from teaseldale.moves._steering import (
        MovesDependencies,
        MovesService,
    )

__getattr__ = LazyExports(  # noqa: WPS413
    __name__,
    {
        'teaseldale.moves._assignment': (
            'BaseVersionAssignment',
            'ConfiguredVersion',
            'RunningRequest',
        ),
        'teaseldale.moves._canary': (
            'CanaryPolicy',
            'OrderDecision',
            'OrderPhase',
            'OrderPlan',
        ),
        'teaseldale.moves._endpoints': ('MoveEndpoints',),
        'teaseldale.moves._evidence': (
            'EvidenceCounts',
            'EvidenceSample',
            'VersionPair',
        ),
        'teaseldale.moves._local_moves': ('MoveAssignment',),
        'teaseldale.moves._orders': (
            'BaseOrderClient',
            'EngineOrder',
            'HttpOrderClient',
            'OrderOutcome',
        ),
        'teaseldale.moves._policy': (
            'BaseMovePolicy',
            'FixedThresholdPolicy',
            'MoveAction',
            'MoveDecision',
            'MoveView',
            'SequentialPolicy',
            'TimedRampPolicy',
        ),
        'teaseldale.moves._records': (
            'MoveProgress',
            'MoveState',
            'MoveStatus',
        ),
        'teaseldale.moves._steering': (
            'MovesDependencies',
            'MovesService',
        ),
    },
)

__all__ = (
    'BaseMovePolicy',
    'BaseOrderClient',
    'BaseVersionAssignment',
    'CanaryPolicy',
    'EngineOrder',
    'EvidenceCounts',
    'EvidenceSample',
    'FixedThresholdPolicy',
    'HttpOrderClient',
    'ConfiguredVersion',
    'MoveAction',
    'MoveAssignment',
    'MoveDecision',
    'MoveEndpoints',
    'MoveProgress',
    'MoveState',
    'MoveStatus',
    'MoveView',
    'MovesDependencies',
    'MovesService',
    'OrderDecision',
    'OrderOutcome',
    'OrderPhase',
    'OrderPlan',
    'RunningRequest',
    'SequentialPolicy',
    'TimedRampPolicy',
    'VersionPair',
)
