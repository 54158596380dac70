"""Decision on a version that an operator orders for a service by a deadline.

A small share of the requests goes to the new version until little time is
left, then all do. The bound on what a bad version may get holds over the whole
time: what the small share leaves of it is the time for which all requests may
go to the new version before the deadline.
"""

import enum

import attrs

from teaseldale.moves._comparison import find_worse
from teaseldale.moves._evidence import VersionPair
from teaseldale.moves._windows import EvidenceWindows
from teaseldale.notes import VersionMove

# Part of the bound that the small share takes. The rest is for the end.
_CANARY_SHARE = 0.4
# Part of the bound that is planned for; requests do not come evenly.
_PLANNED_SHARE = 0.8
_LEAST_REQUESTS = 20  # at the new version, before all requests go there
# From the last step to the deadline: a round of the VMs and a transaction.
_RESERVE_MS = 350
# Excess of failures or slow answers, in percent, at which a version is bad.
_GUARD_PERCENT = 5
_ALL_VMS = 'all VMs'


@enum.unique
class OrderPhase(enum.StrEnum):
    """How far an ordered version has got."""

    CANARY = 'canary'  # a small share of the requests goes there
    FULL = 'full'  # all requests go there, the old version still runs
    COMPLETED = 'completed'
    TAKEN_BACK = 'taken_back'

    @property
    def is_final(self) -> bool:
        """Whether nothing more is decided."""
        return self in {OrderPhase.COMPLETED, OrderPhase.TAKEN_BACK}


@attrs.frozen(kw_only=True)
class OrderDecision:
    """The phase to enter, and why."""

    phase: OrderPhase
    reason: str


@attrs.frozen(kw_only=True)
class OrderPlan:
    """Times of an order, worked out from its bounds."""

    duration_ms: int  # from the order to its deadline
    share_limit: float  # of all requests until the deadline, for a bad version

    @property
    def canary_share(self) -> float:
        """Share of the requests that go to the new version at first."""
        return self.share_limit * _CANARY_SHARE

    @property
    def full_from_ms(self) -> int:
        """Time after the order from which all requests go there."""
        left = self.share_limit * _PLANNED_SHARE - self.canary_share
        full_ms = self.duration_ms * left / (1 - self.canary_share)
        return int(self.duration_ms - max(full_ms, _RESERVE_MS))

    @property
    def completed_from_ms(self) -> int:
        """Time after the order at which it is completed."""
        return self.duration_ms - _RESERVE_MS


class CanaryPolicy:
    """Decides on one order; keeps what it needs between calls."""

    def __init__(self, *, plan: OrderPlan) -> None:
        """Starts without evidence."""
        self._plan = plan
        self._windows = EvidenceWindows()

    def decide(
        self,
        *,
        phase: OrderPhase,
        elapsed_ms: int,
        evidence: VersionPair,
    ) -> OrderDecision | None:
        """Returns the next phase; None to wait.

        ``evidence`` counts since the order, ``elapsed_ms`` is the time since.
        """
        worse = self._worse(elapsed_ms, evidence)
        if worse is not None:
            return OrderDecision(phase=OrderPhase.TAKEN_BACK, reason=worse)
        if phase is OrderPhase.CANARY:
            return self._end_canary(elapsed_ms, evidence)
        if elapsed_ms >= self._plan.completed_from_ms:
            reason = 'all requests went there until the deadline'
            return OrderDecision(phase=OrderPhase.COMPLETED, reason=reason)
        return None

    def _worse(self, elapsed_ms: int, evidence: VersionPair) -> str | None:
        finding = find_worse(
            _GUARDS,
            self._windows.look(elapsed_ms, evidence),
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
        seen = evidence.new.requests
        if seen >= _LEAST_REQUESTS:
            reason = f'{seen} requests at the new version were not worse'
            return OrderDecision(phase=OrderPhase.FULL, reason=reason)
        if elapsed_ms < self._plan.duration_ms:
            return None
        reason = f'{seen} requests at the new version by the deadline'
        return OrderDecision(phase=OrderPhase.TAKEN_BACK, reason=reason)


# The guards are all that the comparison reads of a move.
_GUARDS = VersionMove(
    name='',
    route='',
    from_version='',
    to_version='',
    deadline_wall_ms=0,
    failure_guard_percent=_GUARD_PERCENT,
)
