"""What a VM knows of one version order."""

import attrs

from teaseldale.forwarding._runners import VersionOrder
from teaseldale.forwarding._version_evidence import VersionEvidence
from teaseldale.moves import CanaryPolicy, OrderPhase, OrderPlan, VersionPair

# A VM whose view is older than this sends nothing to an unproven version. It
# is a part of the time in which a bad version must be taken back.
_VIEW_MS = 1500


@attrs.define(kw_only=True)
class RunningOrder:
    """An order, its phase and how requests went since."""

    order: VersionOrder
    policy: CanaryPolicy
    plan: OrderPlan
    evidence: VersionEvidence
    phase: OrderPhase = OrderPhase.CANARY
    has_begun: bool = False  # whether the row tells of this order
    started_store_ms: int = 0
    row_revision: int = 0  # of the row of the move
    told: VersionPair = VersionPair()  # evidence that the store has
    total: VersionPair = VersionPair()  # evidence of all VMs, as last read
    next_evidence_ms: int = 0  # monotonic
    read_ms: int | None = None  # monotonic, when the row was last read
    old_keys: set[str] = attrs.field(factory=set)  # rows of earlier orders
    sent_count: int = 0  # requests of this VM since the order
    canary_count: int = 0  # of them to the unproven version

    def is_view_old(self, now_ms: int) -> bool:
        """Whether the order may have been taken back unheard."""
        return self.read_ms is None or now_ms - self.read_ms > _VIEW_MS
