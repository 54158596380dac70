"""Canary policy for a version that an operator orders with a deadline.

A small share of the requests goes to the new version until little time is left,
then all requests do. The bound on the share of requests that a bad version
may receive applies to the whole period: what the canary leaves of the bound
determines for how long before the deadline all requests may go to the new
version.
"""

import enum

import attrs

from teaseldale.moves._comparison import find_violation, unproven_guard
from teaseldale.moves._evidence import VersionPair
from teaseldale.moves._windows import EvidenceWindows
from teaseldale.notes import VersionMove

# Part of the bound used by the canary; the rest is for the full phase.
_CANARY_SHARE = 0.4
# Part of the bound that the plan uses; request arrivals are uneven.
_PLANNED_SHARE = 0.8
# Part of the extra requests that the canary uses, as early as possible, so that
# their evidence is complete before the deadline.
_EARLY_SHARE = 0.8
# Limit on the early canary's share of a VM's requests, which keeps requests of
# the old version to compare with.
_MAX_CANARY_SHARE = 0.5
# Excess of bad requests that the evidence has to exclude before all requests go
# to the new version, so that one of which little is known does not pass. Small
# services have too few requests to exclude a smaller excess.
_MAX_EXCESS = 0.4
# Between the last step and the deadline. Operators poll the state, and read it
# up to a second after it is written.
_RESERVE_MS = 1200
# Excess of failures or slow responses, in percentage points, that makes a
# version bad.
_GUARD_PERCENT = 5
_ALL_VMS = 'all VMs'


@enum.unique
class OrderPhase(enum.StrEnum):
    """Phase of the rollout of an ordered version."""

    CANARY = 'canary'  # a small share of the requests uses it
    FULL = 'full'  # all requests use it, the old version still runs
    COMPLETED = 'completed'
    TAKEN_BACK = 'taken_back'

    @property
    def is_final(self) -> bool:
        """Whether the order has ended."""
        return self in {OrderPhase.COMPLETED, OrderPhase.TAKEN_BACK}


@attrs.frozen(kw_only=True)
class OrderDecision:
    """Next phase of an order and the reason for it."""

    phase: OrderPhase
    reason: str


@attrs.frozen(kw_only=True)
class OrderPlan:
    """Schedule of an order, derived from its bounds."""

    duration_ms: int  # from the order to its deadline
    share_limit: float  # of requests until the deadline, for a bad version
    extra_count: int = 0  # requests of a bad version in addition to the share

    @property
    def canary_share(self) -> float:
        """Share of the requests that the canary receives."""
        return self.share_limit * _CANARY_SHARE

    @property
    def early_count(self) -> float:
        """Requests that the canary receives in addition to its share."""
        return self.extra_count * _EARLY_SHARE

    def canary_count(self, request_count: int, early_count: float) -> float:
        """Returns how many of a VM's requests the canary may receive.

        ``early_count`` is the VM's part of ``early_count`` of the plan.
        """
        return min(
            request_count * self.canary_share + early_count,
            request_count * max(_MAX_CANARY_SHARE, self.canary_share),
        )

    @property
    def full_from_ms(self) -> int:
        """Start of the full phase, in milliseconds after the order."""
        remaining_share = self.share_limit * _PLANNED_SHARE - self.canary_share
        full_ms = self.duration_ms * remaining_share / (1 - self.canary_share)
        return int(self.completed_from_ms - full_ms)

    @property
    def completed_from_ms(self) -> int:
        """Time of completion, in milliseconds after the order."""
        return self.duration_ms - _RESERVE_MS


class CanaryPolicy:
    """Decides on one order; keeps state between calls."""

    def __init__(self, *, plan: OrderPlan) -> None:
        """Creates a policy for ``plan`` without evidence."""
        self._plan = plan
        self._windows = EvidenceWindows()

    def decide(
        self,
        *,
        phase: OrderPhase,
        elapsed_ms: int,
        evidence: VersionPair,
    ) -> OrderDecision | None:
        """Returns the next phase, or None to wait.

        ``evidence`` and ``elapsed_ms`` are counted from the order.
        """
        worse = self._find_violation(elapsed_ms, evidence)
        if worse is not None:
            return OrderDecision(phase=OrderPhase.TAKEN_BACK, reason=worse)
        if phase is OrderPhase.CANARY:
            return self._end_canary(elapsed_ms, evidence)
        if elapsed_ms >= self._plan.completed_from_ms:
            reason = 'all requests went there until the deadline'
            return OrderDecision(phase=OrderPhase.COMPLETED, reason=reason)
        return None

    def _find_violation(
        self, elapsed_ms: int, evidence: VersionPair
    ) -> str | None:
        finding = find_violation(
            _GUARDS,
            self._windows.advance(elapsed_ms, evidence),
            reference=evidence.old,
            place=_ALL_VMS,
        )
        return None if finding is None else finding.text

    def _end_canary(
        self,
        elapsed_ms: int,
        evidence: VersionPair,
    ) -> OrderDecision | None:
        if elapsed_ms < self._plan.full_from_ms:
            return None
        request_count = evidence.new.requests
        guard = unproven_guard(evidence, allowed_excess=_MAX_EXCESS)
        if guard is None:
            reason = (
                f'{request_count} requests at the new version were not worse'
            )
            return OrderDecision(phase=OrderPhase.FULL, reason=reason)
        if elapsed_ms < self._plan.completed_from_ms:
            return None
        reason = f'{request_count} requests leave too little evidence: {guard}'
        return OrderDecision(phase=OrderPhase.TAKEN_BACK, reason=reason)


# The comparison only reads the guards of a move.
_GUARDS = VersionMove(
    name='',
    route='',
    from_version='',
    to_version='',
    deadline_wall_ms=0,
    failure_guard_percent=_GUARD_PERCENT,
)
