"""Version moves on one VM: traffic shares, evidence and local fallback."""

import math

import xxhash

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.moves._assignment import BaseVersionAssignment, RunningRequest
from teaseldale.moves._comparison import find_violation
from teaseldale.moves._early_cap import EarlyCap
from teaseldale.moves._evidence import (
    EvidenceCounts,
    EvidenceSample,
    VersionPair,
    counts_of,
)
from teaseldale.moves._plan import largest_early_permille
from teaseldale.moves._windows import EvidenceWindows
from teaseldale.notes import FleetConfiguration, Route, VersionMove
from teaseldale.requests import RequestIdentity

_PERMILLE = 1000
_CONCURRENT_FACTOR = 2
_CONCURRENT_ALLOWANCE = 2  # requests above the share, for short bursts
_LOWERED_MS = 30_000
_LOCAL_PLACE = 'this VM'


class _LocalMove:
    """State of one running move on this VM."""

    def __init__(self, move: VersionMove) -> None:
        self.move = move
        self.pair = VersionPair()
        self.windows = EvidenceWindows()
        self.lowered_until_ms = 0
        self.running: dict[str, int] = {}
        self.cap = EarlyCap(largest_permille=largest_early_permille(move))

    def add(self, version: str, counts: EvidenceCounts) -> None:
        if version == self.move.to_version:
            self.pair = self.pair.plus(VersionPair(new=counts))
        elif version == self.move.from_version:
            self.pair = self.pair.plus(VersionPair(old=counts))

    def has_capacity_for_new(self, share_permille: int) -> bool:
        """Limits the share in flight, as long requests accumulate."""
        new = self.running.get(self.move.to_version, 0)
        total = sum(self.running.values()) + 1
        bound = _CONCURRENT_FACTOR * share_permille * total / _PERMILLE
        return new < math.ceil(bound) + _CONCURRENT_ALLOWANCE


class MoveAssignment(BaseVersionAssignment):
    """Sends the traffic share of the current step to the new version.

    While the view of the notes is stale, no request goes to the new version:
    the move may have been rolled back.
    """

    def __init__(
        self,
        *,
        configuration: FleetConfiguration,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Tracks the running moves of ``configuration``."""
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._moves: dict[str, _LocalMove] = {}  # by route
        self._revision = -1
        self._blocked: set[tuple[str, str]] = set()  # route, version
        self._running: set[RunningRequest] = set()

    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the version for a request; stable across its retries."""
        local = self._move_of_route(route.name)
        if local is None or route.version != local.move.from_version:
            return route.version
        share = self.share_permille(local.move)
        bucket = _bucket_of(local.move.name, request.text)
        if bucket >= share:
            local.cap.count_old()
            return route.version
        if not local.has_capacity_for_new(share):
            return self._fall_back(route, 'concurrency')
        if not local.cap.admit(share):
            return self._fall_back(route, 'largest_share')
        return local.move.to_version

    def _fall_back(self, route: Route, reason: str) -> str:
        self._metrics.increment('move_requests_kept_back', reason)
        return route.version

    def share_permille(self, move: VersionMove) -> int:
        """Returns this VM's current traffic share of the new version."""
        if not self._configuration.follower.contact.fresh:
            return 0
        local = self._moves.get(move.route)
        lowered = local is not None and (
            self._clock.monotonic_ms() < local.lowered_until_ms
        )
        step = self._configuration.follower.head.step_of(move.name)
        return 0 if step is None or lowered else step.share_permille

    def allows(self, route: str, version: str) -> bool:
        """Returns whether a queued request may still use its version."""
        local = self._move_of_route(route)
        if local is not None and version == local.move.to_version:
            return self.share_permille(local.move) > 0
        return (route, version) not in self._blocked

    def begin(self, route: str, version: str) -> RunningRequest:
        """Counts a request as in flight until ``finish`` is called."""
        running = RunningRequest(route=route, version=version)
        local = self._move_of_route(route)
        if local is not None:
            self._running.add(running)
            count = local.running.get(version, 0)
            local.running[version] = count + 1
        return running

    def finish(self, running: RunningRequest) -> None:
        """Removes a request from the in-flight count."""
        if running not in self._running:
            return
        self._running.discard(running)
        local = self._moves.get(running.route)
        if local is not None and local.running.get(running.version, 0):
            local.running[running.version] -= 1

    def record(self, sample: EvidenceSample) -> None:
        """Records the outcome, or the stall, of a request as evidence."""
        local = self._move_of_route(sample.route)
        if local is None:
            return
        counts = counts_of(sample, local.move)
        local.add(sample.version, counts)
        if sample.version == local.move.to_version and not counts.clean:
            self._check_guards(local)

    def evidence(self) -> dict[str, VersionPair]:
        """Returns the counts since the start of each move, by move name."""
        self._move_of_route('')
        return {local.move.name: local.pair for local in self._moves.values()}

    def _move_of_route(self, route: str) -> _LocalMove | None:
        current = self._configuration.current()
        if current.revision != self._revision:
            self._revision = current.revision
            self._sync_moves(tuple(current.moves.values()))
        return self._moves.get(route)

    def _sync_moves(self, moves: tuple[VersionMove, ...]) -> None:
        synced = {}
        self._block_targets()
        for move in moves:
            self._blocked.discard((move.route, move.to_version))
            known = self._moves.get(move.route)
            if known is None or known.move.name != move.name:
                known = _LocalMove(move)
            known.move = move
            synced[move.route] = known
        self._moves = synced
        self._running = {
            running for running in self._running if running.route in synced
        }

    def _block_targets(self) -> None:
        """Blocks the targets of ended moves unless they are in force."""
        self._blocked.update(
            (local.move.route, local.move.to_version)
            for local in self._moves.values()
        )
        routes = self._configuration.current().routes.values()
        in_force = {(route.name, route.version) for route in routes}
        self._blocked -= in_force

    def _check_guards(self, local: _LocalMove) -> None:
        now_ms = self._clock.monotonic_ms()
        finding = find_violation(
            local.move,
            local.windows.advance(now_ms, local.pair),
            reference=local.pair.old,
            place=_LOCAL_PLACE,
        )
        if finding is not None:
            local.lowered_until_ms = now_ms + _LOWERED_MS
            self._metrics.increment('move_shares_lowered', finding.guard)


def _bucket_of(move: str, request: str) -> int:
    text = f'{move}/{request}'
    return xxhash.xxh3_64_intdigest(text.encode()) % _PERMILLE
