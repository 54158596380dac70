"""Policies that decide on the next action of a move."""

import abc
import enum
from collections.abc import Mapping

import attrs

from teaseldale.moves._comparison import find_violation, inconclusive_guard
from teaseldale.moves._evidence import VersionPair
from teaseldale.moves._plan import make_plan, share_needs_evidence
from teaseldale.moves._windows import EvidenceWindows
from teaseldale.notes import MovePhase, MoveStep, VersionMove

_MIN_STEP_MS = 5000
_MIN_REQUESTS = 20  # at the new version, within a step
_ALL_ZONES = 'all zones'
_SHARE_OF_ALL_ZONES = 0.5  # of the error rate; the zones split the rest


@enum.unique
class MoveAction(enum.StrEnum):
    """Next action of the steering VM."""

    WAIT = 'wait'
    STEP = 'step'
    TAKE_BACK = 'take_back'
    FINISH = 'finish'


@attrs.frozen(kw_only=True)
class MoveDecision:
    """Action with the reason shown to operators."""

    action: MoveAction
    reason: str
    share_permille: int = 0  # of the next step
    step_index: int = 0
    phase: MovePhase = MovePhase.STEPPING


@attrs.frozen(kw_only=True)
class MoveView:
    """Snapshot of a move at one point in time."""

    move: VersionMove
    started_wall_ms: int
    now_wall_ms: int
    step: MoveStep
    zones: Mapping[str, VersionPair]  # evidence since the start, by zone
    silent_zones: tuple[str, ...] = ()  # zones without a recent report

    @property
    def total(self) -> VersionPair:
        """Sum of the evidence of all zones."""
        total = VersionPair()
        for pair in self.zones.values():
            total = total.plus(pair)
        return total


class BaseMovePolicy(abc.ABC):
    """Decides on one move; keeps state between calls."""

    @abc.abstractmethod
    def decide(self, view: MoveView) -> MoveDecision:
        """Returns the next action."""


class SequentialPolicy(BaseMovePolicy):
    """Advances on evidence and rolls back once the new version is worse."""

    def __init__(self) -> None:
        """Creates a policy without evidence."""
        self._windows: dict[str, EvidenceWindows] = {}
        self._step_index = -1
        self._step_base = VersionPair()

    def decide(self, view: MoveView) -> MoveDecision:
        """Returns the next action."""
        if view.step.step_index != self._step_index:
            self._enter_step(view)
        worse = self._find_violation(view)
        if worse is not None:
            return _take_back(worse)
        if view.now_wall_ms >= view.move.deadline_wall_ms:
            return self._decide_at_deadline(view)
        if view.step.phase is MovePhase.WATCHING:
            return self._decide_watch(view)
        return self._decide_step(view)

    def _enter_step(self, view: MoveView) -> None:
        self._step_index = view.step.step_index
        self._step_base = view.total
        for place, pair in self._evidence_by_place(view).items():
            windows = self._windows.setdefault(place, EvidenceWindows())
            windows.restart(view.now_wall_ms, pair)

    def _evidence_by_place(self, view: MoveView) -> dict[str, VersionPair]:
        return {**view.zones, _ALL_ZONES: view.total}

    def _find_violation(self, view: MoveView) -> str | None:
        groups = self._evidence_by_place(view)
        for place, pair in groups.items():
            windows = self._windows.setdefault(place, EvidenceWindows())
            finding = find_violation(
                view.move,
                windows.advance(view.now_wall_ms, pair),
                reference=pair.old,
                place=place,
                error_share=_error_share(place, len(view.zones)),
            )
            if finding is not None:
                return finding.text
        return None

    def _decide_at_deadline(self, view: MoveView) -> MoveDecision:
        missing = self._missing_evidence(view, 1000)
        if missing is None or view.move.finish_without_evidence:
            reason = missing or 'the evidence is enough'
            return MoveDecision(action=MoveAction.FINISH, reason=reason)
        return _take_back(f'too little evidence by the deadline: {missing}')

    def _decide_watch(self, view: MoveView) -> MoveDecision:
        watched_ms = view.now_wall_ms - view.step.entered_wall_ms
        if watched_ms < view.move.watch_ms:
            return _wait('the watch period')
        missing = self._missing_evidence(view, 1000)
        if missing is not None:
            return _wait(missing)
        return MoveDecision(
            action=MoveAction.FINISH,
            reason='the watch period is over',
        )

    def _decide_step(self, view: MoveView) -> MoveDecision:
        plan = make_plan(view.move, view.started_wall_ms)
        index = min(view.step.step_index + 1, plan.last_index)
        share = plan.shares[index]
        missing = self._missing_evidence(view, share)
        planned = view.now_wall_ms >= plan.latest_wall_ms[index]
        if view.now_wall_ms < plan.earliest_wall_ms[index]:
            return _wait('the planned time of the next step')
        early = not share_needs_evidence(view.move, share)
        if missing is not None and not (early and planned):
            return _wait(missing)
        last = index == plan.last_index
        return MoveDecision(
            action=MoveAction.STEP,
            reason=missing or 'the evidence is enough',
            share_permille=share,
            step_index=index,
            phase=MovePhase.WATCHING if last else MovePhase.STEPPING,
        )

    def _missing_evidence(self, view: MoveView, share: int) -> str | None:
        if view.silent_zones:
            listed = ', '.join(view.silent_zones)
            return f'evidence from {listed}'
        step_requests = view.total.since(self._step_base).new.requests
        if step_requests < _MIN_REQUESTS:
            return (
                f'{_MIN_REQUESTS} requests at this step, {step_requests} so far'
            )
        step_elapsed_ms = view.now_wall_ms - view.step.entered_wall_ms
        if step_elapsed_ms < _MIN_STEP_MS:
            return 'the shortest time of a step'
        guard = inconclusive_guard(view.move, view.total, share)
        return None if guard is None else f'evidence on {guard}'


class TimedRampPolicy(BaseMovePolicy):
    """Naive baseline: raises the share by time alone."""

    def decide(self, view: MoveView) -> MoveDecision:
        """Returns the step that the schedule prescribes."""
        plan = make_plan(view.move, view.started_wall_ms)
        if view.now_wall_ms >= view.move.deadline_wall_ms:
            return MoveDecision(action=MoveAction.FINISH, reason='the deadline')
        due = sum(view.now_wall_ms >= latest for latest in plan.latest_wall_ms)
        index = max(due - 1, 0)
        if index <= view.step.step_index:
            return _wait('the next planned step')
        return MoveDecision(
            action=MoveAction.STEP,
            reason='the plan',
            share_permille=plan.shares[index],
            step_index=index,
        )


class FixedThresholdPolicy(TimedRampPolicy):
    """Naive baseline: a timed ramp that stops at a fixed failure rate."""

    def __init__(self, *, min_requests: int = _MIN_REQUESTS) -> None:
        """Applies the threshold from ``min_requests`` requests on."""
        self._min_requests = min_requests

    def decide(self, view: MoveView) -> MoveDecision:
        """Rolls back above the failure guard, else follows the schedule."""
        new = view.total.new
        limit = view.move.failure_guard_percent / 100
        enough = new.requests >= self._min_requests
        if enough and new.failures / new.requests > limit:
            return _take_back('the fixed threshold of failures')
        return super().decide(view)


def _error_share(place: str, zone_count: int) -> float:
    if place == _ALL_ZONES:
        return _SHARE_OF_ALL_ZONES
    return (1 - _SHARE_OF_ALL_ZONES) / zone_count


def _wait(reason: str) -> MoveDecision:
    return MoveDecision(action=MoveAction.WAIT, reason=reason)


def _take_back(reason: str) -> MoveDecision:
    return MoveDecision(action=MoveAction.TAKE_BACK, reason=reason)
