"""State of one version order on this VM."""

import attrs

from teaseldale.forwarding._runners import VersionOrder
from teaseldale.forwarding._version_evidence import VersionEvidence
from teaseldale.moves import CanaryPolicy, OrderPhase, OrderPlan, VersionPair

# A VM with an older view sends no requests to an unproven version. The limit is
# a fraction of the time within which a bad version must be rolled back.
_MAX_VIEW_AGE_MS = 1500


@attrs.define(kw_only=True)
class RunningOrder:
    """A version order with its phase and the evidence gathered so far."""

    order: VersionOrder
    policy: CanaryPolicy
    plan: OrderPlan
    evidence: VersionEvidence
    phase: OrderPhase = OrderPhase.CANARY
    is_recorded: bool = False  # whether the stored row is of this order
    started_store_ms: int = 0
    row_revision: int = 0  # of the row of the move
    published: VersionPair = VersionPair()  # own evidence last written
    total: VersionPair = VersionPair()  # of all VMs, as last read
    next_evidence_ms: int = 0  # monotonic
    read_ms: int | None = None  # monotonic time of last read
    stale_keys: set[str] = attrs.field(factory=set)  # of earlier orders' rows
    sent_count: int = 0  # requests of this VM since the order began
    canary_count: int = 0  # of these, sent to the unproven version
    early_count: float = 0  # this VM's part of the early canary requests

    def take_canary(self) -> bool:
        """Counts a request of the canary; returns whether one is allowed."""
        allowed = self.plan.canary_count(self.sent_count, self.early_count)
        if self.canary_count + 1 > allowed:
            return False
        self.canary_count += 1
        return True

    def is_view_stale(self, now_ms: int) -> bool:
        """Returns whether the view is too old to exclude a rollback."""
        return self.read_ms is None or now_ms - self.read_ms > _MAX_VIEW_AGE_MS
