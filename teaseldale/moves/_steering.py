"""Steering of version moves by one VM at a time.

Every transaction checks the row of the lease, so that a VM that was paused
beyond its lease cannot change anything. The next holder repeats the actions
that the previous one left unfinished.
"""

from collections.abc import Callable

import attrs
import xxhash
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.moves._local_moves import MoveAssignment
from teaseldale.moves._orders import (
    BaseOrderClient,
    OrderOutcome,
    VersionLoader,
)
from teaseldale.moves._outcome_notes import MoveNames, done_note
from teaseldale.moves._plan import make_plan
from teaseldale.moves._policy import (
    BaseMovePolicy,
    MoveAction,
    MoveDecision,
    MoveView,
    SequentialPolicy,
)
from teaseldale.moves._records import MoveProgress, MoveRecords
from teaseldale.moves._reports import EvidenceReports
from teaseldale.moves._take_back import TakeBack
from teaseldale.notes import (
    FleetConfiguration,
    ItemKind,
    MoveStep,
    NoteState,
    RouteKind,
    StoredHead,
    Upstream,
    VersionMove,
)
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.tables import BaseTableService, TableLease

_TICK_MS = 1000
_CANDIDATES = 3  # VMs that compete for the lease of a move


@attrs.frozen(kw_only=True)
class MovesDependencies:
    """Dependencies of the moves service."""

    configuration: FleetConfiguration
    table: BaseTableService
    peers: BasePeerNetwork
    clock: BaseClock
    metrics: Metrics
    orders: BaseOrderClient
    make_policy: Callable[[], BaseMovePolicy] = SequentialPolicy


@attrs.define(kw_only=True)
class _SteeredMove:
    """State of a move on a VM that competes for its lease."""

    lease: TableLease
    loader: VersionLoader
    policy: BaseMovePolicy
    fencing_number: int = 0
    stored: MoveProgress | None = None


class MovesService(BaseService):
    """Assigns versions on this VM and steers moves while it holds the lease."""

    def __init__(self, *, parts: MovesDependencies) -> None:
        """Creates the service without any move."""
        self._parts = parts
        self.assignment = MoveAssignment(
            configuration=parts.configuration,
            clock=parts.clock,
            metrics=parts.metrics,
        )
        self.reports = EvidenceReports(
            assignment=self.assignment,
            configuration=parts.configuration,
            peers=parts.peers,
            clock=parts.clock,
        )
        self.take_back = TakeBack(
            configuration=parts.configuration,
            clock=parts.clock,
        )
        self.records = MoveRecords(
            table=parts.table,
            book=parts.configuration.book,
        )
        self._steered: dict[str, _SteeredMove] = {}
        self._log = StateLog(channel='moves')

    @property
    def name(self) -> str:
        """Name of the service in the kernel."""
        return 'moves'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the reporting and steering loops."""
        tasks.start_soon(self.reports.run)
        tasks.start_soon(self._run_steering)

    async def _run_steering(self) -> None:
        while True:
            await self._parts.clock.sleep_ms(_TICK_MS)
            moves = self._parts.configuration.current().moves
            for name in self._steered.keys() - moves.keys():
                self._steered.pop(name)
            for move in moves.values():
                await self._try_steer(move)
            held = sum(steered.lease.held for steered in self._steered.values())
            self._parts.metrics.set_gauge('moves_steered', held)

    async def _try_steer(self, move: VersionMove) -> None:
        if not self._is_candidate(move.name):
            return
        try:
            await self._steer(move)
        except PlatformError as error:
            self._parts.metrics.increment('moves_steering_failed', error.step)

    def _is_candidate(self, move: str) -> bool:
        own = self._parts.peers.identity
        vms = (own, *self._parts.peers.reachable_peers())

        def rank(vm: VmIdentity) -> int:  # noqa: WPS430
            return xxhash.xxh3_64_intdigest(f'{move}/{vm.key}'.encode())

        return own in sorted(vms, key=rank)[:_CANDIDATES]

    async def _steer(self, move: VersionMove) -> None:
        configuration = self._parts.configuration
        record = configuration.follower.state.records[ItemKind.MOVE, move.name]
        names = MoveNames(move=move.name, sequence=record.sequence)
        steered = self._steered_move(names)
        if not await self._acquire_lease(steered):
            return
        read = await configuration.follower.refresh()
        if configuration.current().moves.get(move.name) != move:
            return
        if not await self._load(move, steered):
            return
        step = read.head.step_of(move.name)
        if step is None or step.steering_vm != self._parts.peers.identity.key:
            await self._take_over(read, move, step, steered)
            return
        view = self._view(read, move, step)
        decision = steered.policy.decide(view)
        if steered.lease.held:
            await self._act(read, names, view, decision, steered)

    def _steered_move(self, names: MoveNames) -> _SteeredMove:
        steered = self._steered.get(names.move)
        if steered is None:
            steered = _SteeredMove(
                lease=TableLease(
                    table=self._parts.table,
                    clock=self._parts.clock,
                    name=f'move/{names.key}',
                    holder=self._parts.peers.identity.key,
                ),
                loader=VersionLoader(
                    client=self._parts.orders,
                    clock=self._parts.clock,
                    move_key=names.key,
                ),
                policy=self._parts.make_policy(),
            )
            self._steered[names.move] = steered
        return steered

    async def _acquire_lease(self, steered: _SteeredMove) -> bool:
        lease = steered.lease
        if lease.renewal_due and not await lease.renew():
            return False
        if lease.fencing_number != steered.fencing_number:
            steered.fencing_number = lease.fencing_number
            steered.policy = self._parts.make_policy()
        return lease.held

    async def _load(self, move: VersionMove, steered: _SteeredMove) -> bool:
        upstreams = self._upstreams_of(move)
        outcome = await steered.loader.load(upstreams, steered.fencing_number)
        if outcome is OrderOutcome.FENCED:
            self._parts.metrics.increment('moves_orders', outcome)
            return False
        missing = steered.loader.missing(upstreams)
        return len(missing) < len(upstreams) or not upstreams

    def _upstreams_of(self, move: VersionMove) -> tuple[Upstream, ...]:
        current = self._parts.configuration.current()
        if current.routes[move.route].kind is RouteKind.SERVICE:
            return ()
        return tuple(
            upstream
            for upstream in current.upstreams_by_route.get(move.route, ())
            if upstream.version == move.to_version
        )

    async def _take_over(
        self,
        read: StoredHead,
        move: VersionMove,
        step: MoveStep | None,
        steered: _SteeredMove,
    ) -> None:
        own_key = self._parts.peers.identity.key
        if step is None:
            now_ms = self._parts.clock.wall_ms()
            step = MoveStep(
                move=move.name,
                share_permille=make_plan(move, now_ms).shares[0],
                started_wall_ms=now_ms,
                entered_wall_ms=now_ms,
            )
        adopted = attrs.evolve(step, steering_vm=own_key)
        await self._replace_step(read, adopted, steered)
        self._log.changed('move_steered_here', move=move.name)

    def _view(
        self,
        read: StoredHead,
        move: VersionMove,
        step: MoveStep,
    ) -> MoveView:
        return MoveView(
            move=move,
            started_wall_ms=step.started_wall_ms,
            now_wall_ms=self._parts.clock.wall_ms(),
            step=step,
            zones=self.reports.zones(move.name),
            silent_zones=self.reports.silent_zones(read.head.zones),
        )

    async def _act(
        self,
        read: StoredHead,
        names: MoveNames,
        view: MoveView,
        decision: MoveDecision,
        steered: _SteeredMove,
    ) -> None:
        reason = decision.reason
        if decision.action is MoveAction.STEP:
            await self._enter_step(read, view, decision, steered)
        elif decision.action is MoveAction.TAKE_BACK:
            guards = (steered.lease.ownership_check(),)
            await self.take_back.run(names.move, reason, guards)
            self._log.changed('move_taken_back', move=names.move, why=reason)
        elif decision.action is MoveAction.FINISH:
            reason = await self._finish(names, view, steered) or reason
        await self._store_progress(names, view, reason, steered)

    async def _enter_step(
        self,
        read: StoredHead,
        view: MoveView,
        decision: MoveDecision,
        steered: _SteeredMove,
    ) -> None:
        step = attrs.evolve(
            view.step,
            share_permille=decision.share_permille,
            step_index=decision.step_index,
            phase=decision.phase,
            entered_wall_ms=view.now_wall_ms,
        )
        await self._replace_step(read, step, steered)

    async def _replace_step(
        self,
        read: StoredHead,
        step: MoveStep,
        steered: _SteeredMove,
    ) -> None:
        others = tuple(
            other for other in read.head.move_steps if other.move != step.move
        )
        await self._parts.configuration.book.replace_head(
            read,
            attrs.evolve(read.head, move_steps=(*others, step)),
            steered.lease.ownership_check(),
        )

    async def _finish(
        self,
        names: MoveNames,
        view: MoveView,
        steered: _SteeredMove,
    ) -> str | None:
        configuration = self._parts.configuration
        status = await configuration.progress.status(names.done)
        if status is not None and status.state is NoteState.CANCELLED:
            return f'nothing: {names.done} was cancelled; take the move back'
        if status is not None:
            zones = ', '.join(status.pending_zones)
            return f'note {names.done} to be accepted in {zones}'
        record = configuration.follower.state.records[ItemKind.MOVE, names.move]
        note = done_note(
            names,
            record.team,
            view.move,
            configuration.current(),
        )
        outcome = await configuration.intake.stage(
            note,
            (steered.lease.ownership_check(),),
        )
        return outcome.message if isinstance(outcome, Refusal) else None

    async def _store_progress(
        self,
        names: MoveNames,
        view: MoveView,
        reason: str,
        steered: _SteeredMove,
    ) -> None:
        total = view.total
        progress = MoveProgress(
            move=names.move,
            sequence=names.sequence,
            route=view.move.route,
            from_version=view.move.from_version,
            to_version=view.move.to_version,
            share_permille=view.step.share_permille,
            waiting_for=reason,
            old_requests=total.old.requests,
            new_requests=total.new.requests,
        )
        if _is_significant(steered.stored, progress):
            await self.records.store(progress, steered.lease.ownership_check())
            steered.stored = progress


def _is_significant(
    stored: MoveProgress | None, progress: MoveProgress
) -> bool:
    if stored is None:
        return True
    has_doubled = progress.new_requests > 2 * stored.new_requests
    return (
        has_doubled
        or progress.share_permille != stored.share_permille
        or _reason_kind(progress) != _reason_kind(stored)
    )


def _reason_kind(progress: MoveProgress) -> str:
    return progress.waiting_for.rstrip('0123456789 sofar,')
