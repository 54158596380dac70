"""Service that moves the traffic of services to ordered versions.

Each VM counts the outcomes of its own requests at both versions and reads the
counts of the others. Any VM may commit the next step: steps are transactions on
one row, so the first commit wins and a move does not depend on any single VM. A
VM that cannot read the row sends no requests to an unproven version.
"""

import abc
from collections.abc import Callable, Collection

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import HolderKey
from teaseldale.clock import BaseClock
from teaseldale.forwarding._node import ExposureLimits
from teaseldale.forwarding._runners import (
    ForwardingRunner,
    RunnerDirectory,
    VersionOrder,
)
from teaseldale.forwarding._running_order import RunningOrder
from teaseldale.forwarding._version_evidence import (
    AttemptEvidence,
    VersionEvidence,
)
from teaseldale.forwarding._version_rows import (
    EVIDENCE_TABLE,
    MOVES_TABLE,
    EvidenceRow,
    MoveRow,
    evidence_key,
    record_write,
    removal_writes,
)
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.moves import (
    CanaryPolicy,
    OrderDecision,
    OrderPhase,
    OrderPlan,
    VersionPair,
)
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

# Poll interval of the row of a running move. Once all requests are to go to the
# new version, the other VMs have to follow within a fraction of a second.
_POLL_INTERVAL_MS = 100
# Interval of publishing and reading evidence. A bad version has to be rolled
# back within a few seconds.
_EVIDENCE_INTERVAL_MS = 300
# A VM that reads an order for the first time later than this has started since,
# and an earlier incarnation may have sent its part of the early requests.
_EARLY_MS = 1500
_INITIAL_DECISION = OrderDecision(
    phase=OrderPhase.CANARY,
    reason='the order was read',
)


class BaseOrderStatus(abc.ABC):
    """Publishes the progress of orders to operators."""

    @abc.abstractmethod
    def status_write(self, order: VersionOrder, phase: OrderPhase) -> RowWrite:
        """Returns the row write that publishes the phase of an order."""


@attrs.frozen(kw_only=True)
class MoveStore:
    """Store access and the format of the operators' status rows."""

    table: BaseTableService
    feed: BaseRowFeed
    status: BaseOrderStatus


class VersionMoves(BaseService):
    """Runs version orders together with the other VMs."""

    def __init__(
        self,
        *,
        holder: HolderKey,
        limits: ExposureLimits | None,
        vm_count: Callable[[], int],
        directory: RunnerDirectory,
        store: MoveStore,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """``limits`` bound the requests that a bad version receives.

        Without limits, orders are reported and not carried out. The extra
        ones are divided among the VMs that ``vm_count`` counts. ``holder``
        identifies this incarnation of the VM; each incarnation publishes its
        own counts.
        """
        self._holder = holder
        self._limits = limits
        self._vm_count = vm_count
        self._directory = directory
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._running: dict[str, RunningOrder] = {}
        self._has_order = anyio.Event()  # set by the first order
        self._log = StateLog(channel='moves')

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'version_moves'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that advances running orders."""
        tasks.start_soon(self._run)

    def apply_order(self, order: VersionOrder) -> None:
        """Begins an order; ignores it unless its revision is newer."""
        known = self._running.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        if self._limits is None:
            self._metrics.increment('version_orders_ignored')
            self._log.changed(
                'version_order_ignored',
                service=order.service,
                version=order.version,
                reason='the settings limit no exposure',
            )
            return
        plan = OrderPlan(
            duration_ms=order.duration_ms,
            share_limit=self._limits.share,
            extra_count=self._limits.extra_count,
        )
        self._has_order.set()
        self._running[order.service] = RunningOrder(
            order=order,
            policy=CanaryPolicy(plan=plan),
            plan=plan,
            evidence=VersionEvidence(clock=self._clock),
        )
        self._directory.withhold_version(order.service, order.version)
        self._log.changed(
            'version_ordered',
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
        )

    def keep_only_orders(self, services: Collection[str | None]) -> None:
        """Drops the orders of all services not in ``services``."""
        for service in tuple(self._running):
            if service not in services:
                self.drop_order(service)

    def drop_order(self, service: str) -> None:
        """Drops the order of a service whose order row was removed."""
        if self._running.pop(service, None) is not None:
            self._directory.lift_restrictions(service)
            self._log.changed('version_order_removed', service=service)

    def select_unproven(self, service: str) -> tuple[ForwardingRunner, ...]:
        """Returns the unproven version's runners if the request goes to it.

        Returns an empty tuple if the request is routed as usual.
        """
        running = self._running.get(service)
        if running is None or running.phase.is_final:
            return ()
        running.sent_count += 1
        if running.is_view_stale(self._clock.monotonic_ms()):
            return ()
        if running.phase is OrderPhase.CANARY and not running.take_canary():
            return ()
        return self._directory.unproven(service)

    def begin_attempt(
        self,
        runner: ForwardingRunner,
        *,
        route: str,
    ) -> AttemptEvidence | None:
        """Returns the evidence of an attempt; None without a running order."""
        running = self._running.get(runner.service)
        if running is None or running.phase.is_final:
            return None
        return running.evidence.begin(
            route=route,
            is_new=runner.version == running.order.version,
        )

    def is_unproven(self, runner: ForwardingRunner) -> bool:
        """Returns whether an order is running for the runner's version."""
        running = self._running.get(runner.service)
        return (
            running is not None
            and not running.phase.is_final
            and runner.version == running.order.version
        )

    async def _run(self) -> None:
        while True:
            await self._has_order.wait()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            for running in tuple(self._running.values()):
                if not running.phase.is_final:
                    await self._try_round(running)

    async def _try_round(self, running: RunningOrder) -> None:
        try:
            await self._round(running)
        except PlatformError as error:
            self._metrics.increment('move_rounds_failed', error.reason)
        except msgspec.DecodeError as error:
            # Another release may have written the row; the next round may
            # read a valid one.
            self._metrics.increment('rows_unreadable', MOVES_TABLE)
            self._log.changed(
                'row_unreadable',
                table=MOVES_TABLE,
                key=running.order.service,
                reason=str(error),
            )

    async def _round(self, running: RunningOrder) -> None:
        is_first_read = running.read_ms is None
        moves = await self._store.feed.read_all(MOVES_TABLE)
        self._apply_move_rows(running, moves.rows)
        age_ms = moves.store_ms - running.started_store_ms
        if is_first_read and (not running.is_recorded or age_ms <= _EARLY_MS):
            vm_count = max(1, self._vm_count())
            running.early_count = running.plan.early_count / vm_count
        if running.phase.is_final:
            return
        if not running.is_recorded:
            running.started_store_ms = moves.store_ms
            await self._commit_step(running, _INITIAL_DECISION)
            return
        await self._exchange_evidence(running)
        decision = running.policy.decide(
            phase=running.phase,
            elapsed_ms=moves.store_ms - running.started_store_ms,
            evidence=running.total,
        )
        if decision is not None:
            await self._commit_step(running, decision)

    async def _exchange_evidence(self, running: RunningOrder) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms >= running.next_evidence_ms:
            running.next_evidence_ms = now_ms + _EVIDENCE_INTERVAL_MS
            running.evidence.examine_running()
            await self._publish_evidence(running)
            running.total = await self._read_evidence(running)

    async def _publish_evidence(self, running: RunningOrder) -> None:
        pair = running.evidence.pair
        if pair == running.published:
            return
        key = evidence_key(running.order.service, self._holder.text)
        row = EvidenceRow(
            order_revision=running.order.revision,
            pair=pair,
            output_times=running.evidence.output_times.own,
            event_times=running.evidence.event_times.own,
        )
        await self._store.table.commit(
            make_transaction(
                checks=(),
                writes=(record_write(EVIDENCE_TABLE, key, row),),
            ),
        )
        running.published = pair

    async def _read_evidence(self, running: RunningOrder) -> VersionPair:
        rows = (await self._store.feed.read_all(EVIDENCE_TABLE)).rows
        stored = self._decode_evidence(running, rows)
        own_key = evidence_key(running.order.service, self._holder.text)
        others = [row for key, row in stored.items() if key != own_key]
        running.evidence.output_times.replace_others(
            row.output_times for row in others
        )
        running.evidence.event_times.replace_others(
            row.event_times for row in others
        )
        total = VersionPair()
        for row in stored.values():
            total = total.plus(row.pair)
        return total

    def _decode_evidence(
        self,
        running: RunningOrder,
        rows: tuple[Row, ...],
    ) -> dict[str, EvidenceRow]:
        """Returns the rows of an order by key; notes those of earlier ones."""
        prefix = evidence_key(running.order.service, '')
        decoded: dict[str, EvidenceRow] = {}
        for row in rows:
            if row.value is None or not row.key.startswith(prefix):
                continue
            stored = msgspec.msgpack.decode(row.value, type=EvidenceRow)
            if stored.order_revision == running.order.revision:
                decoded[row.key] = stored
            else:
                running.stale_keys.add(row.key)
        return decoded

    def _apply_move_rows(
        self,
        running: RunningOrder,
        rows: tuple[Row, ...],
    ) -> None:
        running.read_ms = self._clock.monotonic_ms()
        for row in rows:
            if row.key != running.order.service or row.value is None:
                continue
            stored = msgspec.msgpack.decode(row.value, type=MoveRow)
            running.row_revision = row.revision
            if stored.order_revision != running.order.revision:
                # The row is of an earlier order and gets replaced.
                continue
            running.is_recorded = True
            running.started_store_ms = stored.started_store_ms
            self._enter_phase(running, stored.phase, 'another VM has decided')

    async def _commit_step(
        self,
        running: RunningOrder,
        decision: OrderDecision,
    ) -> None:
        order = running.order
        row = MoveRow(
            order_revision=order.revision,
            phase=decision.phase,
            started_store_ms=running.started_store_ms,
        )
        outcome = await self._store.table.commit(
            make_transaction(
                checks=(
                    RowCheck(
                        table=MOVES_TABLE,
                        key=order.service,
                        revision=running.row_revision,
                    ),
                ),
                writes=(
                    record_write(MOVES_TABLE, order.service, row),
                    self._store.status.status_write(order, decision.phase),
                    *removal_writes(running.stale_keys),
                ),
            ),
        )
        if isinstance(outcome, Committed):
            running.is_recorded = True
            running.stale_keys.clear()
            running.row_revision = outcome.revision
            self._enter_phase(running, decision.phase, decision.reason)

    def _enter_phase(
        self,
        running: RunningOrder,
        phase: OrderPhase,
        reason: str,
    ) -> None:
        if running.phase is phase:
            return
        order = running.order
        running.phase = phase
        if phase is OrderPhase.COMPLETED:
            self._directory.use_only_version(order.service, order.version)
        self._metrics.increment('version_steps', phase)
        new = running.evidence.pair.new
        self._log.changed(
            'version_step',
            service=order.service,
            version=order.version,
            phase=phase,
            reason=reason,
            requests=new.requests,
            failures=new.failures,
            slow_outputs=new.slow_first_tokens,
            slow_streams=new.large_token_gaps,
        )
