"""Seeded workload of version moves, in steps of one second of virtual time.

Requests, their outcomes, the propagation delay of shares and evidence, and
partitions are drawn from one seed. The policy under test, the local
evaluation of evidence and the counters are the code that the VMs run.
"""

import enum
import random
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from teaseldale.moves import (
    BaseMovePolicy,
    EvidenceCounts,
    MoveAction,
    MoveView,
    VersionPair,
)
from teaseldale.moves._comparison import find_violation
from teaseldale.moves._early_cap import EarlyCap
from teaseldale.moves._plan import make_plan
from teaseldale.moves._windows import EvidenceWindows
from teaseldale.notes import MoveStep, VersionMove

ZONES = ('mill', 'port', 'office')
VM_COUNT = 8
VIEW_SECONDS = 3  # age at which a view is too old to use the new version
LOWERED_SECONDS = 30
WATCH_MS = 60_000
DEADLINE_SECONDS = 600
REPORT_SECONDS = 2  # interval between decisions
RATE = 20  # requests per second
LOW_RATE = 0.5
_HANG_TIMEOUT_SECONDS = 3
_LAST_BAD_SECOND = 360


@enum.unique
class FaultKind(enum.StrEnum):
    """Kind of fault that a case injects, if any."""

    GOOD = 'good'
    BAD_OLD = 'bad_old'
    AT_ONCE = 'at_once'
    LATE = 'late'
    UNDER_LOAD = 'under_load'
    ONE_ZONE = 'one_zone'
    SLOW = 'slow'
    HANGING = 'hanging'


BAD_FAULT_KINDS = (
    FaultKind.AT_ONCE,
    FaultKind.LATE,
    FaultKind.UNDER_LOAD,
    FaultKind.ONE_ZONE,
    FaultKind.SLOW,
    FaultKind.HANGING,
)


@attrs.frozen(kw_only=True)
class Case:
    """Parameters of one version move."""

    kind: FaultKind
    seed: int
    requests_per_second: float
    fault_rate: float  # share of requests affected at a faulty version
    base_failure_rate: float  # share of requests that fail at any version
    bad_from_second: int  # start of the fault; used by LATE only
    cut_zone: str  # partitioned zone; empty for none
    cut_from_second: int
    cut_seconds: int

    @property
    def bad(self) -> bool:
        """Whether the move should be rolled back (``TAKE_BACK``)."""
        return self.kind in BAD_FAULT_KINDS


@attrs.define(kw_only=True)
class Result:
    """Outcome of one move."""

    case: Case
    outcome: MoveAction = MoveAction.WAIT
    ended_second: int = DEADLINE_SECONDS
    requests: int = 0
    reached_bad: int = 0
    late_after_take_back: int = 0
    has_reached_bad: bool = False  # whether a request met a faulty version
    reason: str = ''


def make_cases(
    count: int,
    seed: int,
    *,
    low_traffic: bool,
    rate: float = RATE,
) -> list[Case]:
    """Returns ``count`` moves; every second one should finish."""
    rng = random.Random(seed)
    cases = []
    for index in range(count):
        good = index % 2 == 0
        old_is_bad = index % 10 == 4
        kind = BAD_FAULT_KINDS[index // 2 % len(BAD_FAULT_KINDS)]
        if good:
            kind = FaultKind.BAD_OLD if old_is_bad else FaultKind.GOOD
        cases.append(
            Case(
                kind=kind,
                seed=rng.randrange(2**32),
                requests_per_second=LOW_RATE if low_traffic else rate,
                fault_rate=rng.uniform(0.1, 0.6),
                base_failure_rate=rng.choice((0, 0.005, 0.02)),
                bad_from_second=rng.randrange(20, _LAST_BAD_SECOND),
                cut_zone=rng.choice(ZONES) if index % 3 == 0 else '',
                cut_from_second=rng.randrange(5, 200),
                cut_seconds=rng.randrange(30, 120),
            ),
        )
    return cases


def run_case(case: Case, make_policy: Callable[[], BaseMovePolicy]) -> Result:
    """Runs one move to completion."""
    return _Run(case, make_policy(), local_evaluation=True).run()


def run_naive(case: Case, make_policy: Callable[[], BaseMovePolicy]) -> Result:
    """Runs one move without local evaluation of evidence on the VMs."""
    return _Run(case, make_policy(), local_evaluation=False).run()


class _VersionCounters:
    """Mutable counters of one version, cheaper than ``EvidenceCounts``."""

    def __init__(self) -> None:
        self.requests = 0
        self.failures = 0
        self.slow = 0

    def counts(self) -> EvidenceCounts:
        return EvidenceCounts(
            requests=self.requests,
            failures=self.failures,
            slow_first_tokens=self.slow,
        )


class _Vm:
    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.old = _VersionCounters()
        self.new = _VersionCounters()
        self.windows = EvidenceWindows()
        self.share = 0
        self.contact_second = 0
        self.lowered_until = 0
        self.cap = EarlyCap(largest_permille=50)
        # Seconds at which hanging requests time out.
        self.pending_timeouts: deque[int] = deque()

    @property
    def pair(self) -> VersionPair:
        return VersionPair(old=self.old.counts(), new=self.new.counts())


class _Run:
    def __init__(
        self,
        case: Case,
        policy: BaseMovePolicy,
        *,
        local_evaluation: bool,
    ) -> None:
        self.case = case
        self.policy = policy
        self.local_evaluation = local_evaluation
        self.rng = random.Random(case.seed)
        self.vms = [_Vm(ZONES[i % len(ZONES)]) for i in range(VM_COUNT)]
        self.move = VersionMove(
            name='move',
            route='drafts',
            from_version='v1',
            to_version='v2',
            deadline_wall_ms=DEADLINE_SECONDS * 1000,
            watch_ms=WATCH_MS,
        )
        first = make_plan(self.move, 0).shares[0]
        self.step = MoveStep(move='move', share_permille=first)
        self.result = Result(case=case)
        self.reported: dict[str, VersionPair] = {}
        self.taken_back_second: int | None = None

    def run(self) -> Result:
        for second in range(DEADLINE_SECONDS + 1):
            self.propagate_share(second)
            self.serve(second)
            if self.result.outcome in {
                MoveAction.FINISH,
                MoveAction.TAKE_BACK,
            }:
                if second > self.result.ended_second + 10:
                    break
                continue
            if second % REPORT_SECONDS == 0:
                self.collect_evidence(second)
                self.decide(second)
        if self.result.ended_second < DEADLINE_SECONDS:
            left = DEADLINE_SECONDS - second
            self.result.requests += round(left * self.case.requests_per_second)
        return self.result

    def is_partitioned(self, zone: str, second: int) -> bool:
        start = self.case.cut_from_second
        return zone == self.case.cut_zone and (
            start <= second < start + self.case.cut_seconds
        )

    def propagate_share(self, second: int) -> None:
        taken_back = self.result.outcome is MoveAction.TAKE_BACK
        share = 0 if taken_back else self.step.share_permille
        for vm in self.vms:
            if self.is_partitioned(vm.zone, second):
                if second - vm.contact_second > VIEW_SECONDS:
                    vm.share = 0
            elif self.rng.random() < 0.7 or second - vm.contact_second > 1:
                vm.contact_second = second
                vm.share = share

    def serve(self, second: int) -> None:
        finished = self.result.outcome is MoveAction.FINISH
        rate = self.case.requests_per_second
        count = int(rate) + (self.rng.random() < rate % 1)
        for _ in range(count):
            vm = self.vms[int(self.rng.random() * VM_COUNT)]
            self.result.requests += 1
            lowered = second < vm.lowered_until
            share = 0 if lowered else vm.share
            new = self.uses_new_version(vm, share) or finished
            self.serve_request(vm, second, new=new)
        for vm in self.vms:
            while vm.pending_timeouts and vm.pending_timeouts[0] <= second:
                vm.pending_timeouts.popleft()
                vm.new.requests += 1
                vm.new.failures += 1
                self.evaluate(vm, second)

    def uses_new_version(self, vm: _Vm, share: int) -> bool:
        if self.rng.random() * 1000 >= share:
            vm.cap.count_old()
            return False
        return not self.local_evaluation or vm.cap.admit(share)

    def serve_request(self, vm: _Vm, second: int, *, new: bool) -> None:
        bad = new and self.is_bad(vm, second)
        if new:
            self.result.reached_bad += bad
            self.result.has_reached_bad |= bad
            ended = self.taken_back_second
            if ended is not None and second > ended + 5:
                self.result.late_after_take_back += 1
        is_affected = self.rng.random() < self.case.fault_rate
        failed = self.rng.random() < self.case.base_failure_rate
        kind = self.case.kind
        if kind is FaultKind.BAD_OLD and not new:
            failed = failed or is_affected
        if bad and is_affected and kind is FaultKind.HANGING:
            vm.pending_timeouts.append(second + _HANG_TIMEOUT_SECONDS)
            return
        slow = bad and is_affected and kind is FaultKind.SLOW
        failed = failed or (bad and is_affected and not slow)
        counters = vm.new if new else vm.old
        counters.requests += 1
        counters.failures += failed
        counters.slow += slow
        if new and (failed or slow):
            self.evaluate(vm, second)

    def is_bad(self, vm: _Vm, second: int) -> bool:
        kind = self.case.kind
        if kind is FaultKind.LATE:
            return second >= self.case.bad_from_second
        if kind is FaultKind.UNDER_LOAD:
            return self.step.share_permille >= 250
        if kind is FaultKind.ONE_ZONE:
            return vm.zone == ZONES[0]
        return self.case.bad

    def evaluate(self, vm: _Vm, second: int) -> None:
        if not self.local_evaluation:
            return
        violation = find_violation(
            self.move,
            vm.windows.advance(second * 1000, vm.pair),
            reference=vm.pair.old,
            place='this VM',
        )
        if violation is not None:
            vm.lowered_until = second + LOWERED_SECONDS

    def collect_evidence(self, second: int) -> None:
        for zone in ZONES:
            if self.is_partitioned(zone, second):
                continue
            total = VersionPair()
            for vm in self.vms:
                if vm.zone == zone:
                    total = total.plus(vm.pair)
            self.reported[zone] = total

    def decide(self, second: int) -> None:
        silent_zones = tuple(
            zone
            for zone in ZONES
            if zone not in self.reported or self.is_partitioned(zone, second)
        )
        decision = self.policy.decide(
            MoveView(
                move=self.move,
                started_wall_ms=0,
                now_wall_ms=second * 1000,
                step=self.step,
                zones=self.reported,
                silent_zones=silent_zones,
            ),
        )
        if decision.action is MoveAction.STEP:
            self.step = attrs.evolve(
                self.step,
                share_permille=decision.share_permille,
                step_index=decision.step_index,
                phase=decision.phase,
                entered_wall_ms=second * 1000,
            )
        elif decision.action is not MoveAction.WAIT:
            self.result.outcome = decision.action
            self.result.ended_second = second
            if decision.action is MoveAction.TAKE_BACK:
                self.taken_back_second = second
        self.result.reason = decision.reason


def exposures(results: list[Result]) -> Iterator[float]:
    """Yields the percentage of requests that each bad version received."""
    for result in results:
        if result.case.bad:
            yield 100 * result.reached_bad / max(result.requests, 1)
