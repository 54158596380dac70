"""Registry whose records are replicated among the VMs of the fleet."""

import uuid

import attrs
from anyio.abc import TaskGroup

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.kernel import BaseService
from teaseldale.outcomes import Refusal
from teaseldale.peers import VmIdentity
from teaseldale.requests._answer_reader import AnswerReader
from teaseldale.requests._bill_replication import BillReplicator
from teaseldale.requests._dependencies import HolderDependencies
from teaseldale.requests._following import AnswerFollower
from teaseldale.requests._holder import Settlement
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._intent_guard import IntentGuard
from teaseldale.requests._records import RecordState, RequestRecord
from teaseldale.requests._refusals import (
    key_reused,
    no_grant,
    still_running,
)
from teaseldale.requests._registry import (
    AttachedAnswer,
    BaseRequestRegistry,
    OpenedRequest,
    RequestStatus,
    ReservedFunds,
)
from teaseldale.requests._witness_service import WitnessService
from teaseldale.requests._witnesses import HolderFencedError, WitnessLinks

_TAKEOVER_ATTEMPTS = 4
_FAILED_RUN_POLL_MS = 5


@attrs.define(kw_only=True)
class _Run:
    """A request that this VM runs, or whose answer it reads from a peer."""

    opened: OpenedRequest
    record: RequestRecord
    followed: bool = False  # whether another VM runs it


class WitnessedRegistry(BaseRequestRegistry, BaseService):
    """Finds earlier runs at witnesses chosen by rendezvous hashing.

    A witness gets a record before the dispatch and before the end of the
    answer. Non-repeatable requests also have an intent in the table service.
    """

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Creates the registry and registers its message handlers."""
        self._parts = parts
        self._store = parts.store
        parts.holder.needs_witness = True
        self._links = WitnessLinks(
            peers=parts.peers,
            holder=parts.holder,
            metrics=parts.metrics,
        )
        self._witness = WitnessService(
            links=self._links,
            store=parts.store,
            holder=parts.holder,
            duplicates=parts.duplicates,
            clock=parts.clock,
            peers=parts.peers,
        )
        self._guard = IntentGuard(
            table=parts.table,
            clock=parts.clock,
            metrics=parts.metrics,
            vm_key=parts.peers.identity.key,
        )
        self._follower = AnswerFollower(peers=parts.peers, clock=parts.clock)
        self._runs: dict[RequestIdentity, _Run] = {}
        self._tasks: TaskGroup | None = None
        self._replicator = BillReplicator(
            parts=parts,
            links=self._links,
            witness=self._witness,
        )
        self._reader = AnswerReader(
            peers=parts.peers,
            find_running=self._find_running,
            store=parts.store,
            guard=self._guard,
        )

    @property
    def name(self) -> str:
        """Name of the service in the kernel."""
        return 'requests'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts re-replication of records and retries of intent writes."""
        self._tasks = tasks
        tasks.start_soon(self._witness.run)
        tasks.start_soon(self._guard.run)

    async def open(
        self,
        *,
        request: RequestIdentity,
        digest: str,
        repeatable: bool,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        """Attaches to an earlier run on this VM or a peer, or claims it."""
        running = await self._find_active_run(request)
        if running is not None:
            if running.opened.digest != digest:
                return key_reused()
            return AttachedAnswer(answer=running.opened.answer)
        run = self._new_run(request, digest, repeatable=repeatable)
        self._runs[request] = run
        try:
            outcome = await self._find_or_claim(run)
        except BaseException:
            self._runs.pop(request, None)
            raise
        if not isinstance(outcome, OpenedRequest) and not run.followed:
            self._runs.pop(request, None)
        if isinstance(outcome, Refusal):
            run.opened.answer.fail(outcome)
        return outcome

    def record_funds(self, opened: OpenedRequest, funds: ReservedFunds) -> None:
        """Adds the reservation to the record of the run."""
        run = self._runs[opened.request]
        run.record = attrs.evolve(
            run.record,
            holder=funds.holder,
            budgets=funds.budgets,
            reserved_tokens=funds.tokens,
        )

    async def record_dispatch(
        self,
        opened: OpenedRequest,
        *,
        upstream: str,
        reserved_tokens: int,
    ) -> Refusal | None:
        """Replicates the record before any byte is sent to ``upstream``."""
        run = self._runs[opened.request]
        run.record = attrs.evolve(run.record, state=RecordState.DISPATCHED)
        self._store.merge(run.record)
        if not self._may_spend(run):
            return no_grant('The grant has lapsed; ask again.')
        try:
            reached = await self._replicator.replicate(run.record)
        except HolderFencedError:
            return no_grant('The grants of this VM are recovered; ask again.')
        if not (reached or self._replicator.is_alone):
            return no_grant('No other VM is reachable as a witness.')
        if not self._may_spend(run):
            return no_grant('The grant has lapsed; ask again.')
        return None

    async def finish(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
        settlement: Settlement,
    ) -> Refusal | None:
        """Replicates the bill; a refusal says that it is not durable."""
        run = self._runs[opened.request]
        run.record = attrs.evolve(
            run.record,
            state=RecordState.SETTLED,
            settlement=settlement,
            stored=stored,
        )
        existing = self._store.merge(run.record)
        if existing is not None:
            self._parts.duplicates.check(run.record, existing)
        try:
            durable = await self._replicator.make_durable(
                run.record, settlement
            )
            if durable and not opened.repeatable:
                await self._guard.store_outcome(opened, stored)
        finally:
            self._runs.pop(opened.request, None)
        return (
            None if durable else still_running(self._parts.peers.identity.key)
        )

    async def abandon(
        self,
        opened: OpenedRequest,
        *,
        not_run: bool,
        settlement: Settlement | None = None,
    ) -> None:
        """Releases the claim if nothing ran; otherwise keeps the record."""
        run = self._runs[opened.request]
        state = RecordState.SETTLED if settlement else RecordState.NOT_RUN
        record = attrs.evolve(run.record, state=state, settlement=settlement)
        self._store.merge(record)
        try:
            await self._replicator.replicate(record)
        except HolderFencedError:
            self._parts.metrics.increment('records_fenced')
        try:
            if not opened.repeatable:
                await self._guard.abandon(opened, not_run=not_run)
        finally:
            self._runs.pop(opened.request, None)

    async def status(self, request: RequestIdentity) -> RequestStatus:
        """Returns the status from local records or the intents table."""
        if request in self._runs:
            return RequestStatus.RUNNING
        record = self._store.find(request)
        if record is not None and record.stored is not None:
            return RequestStatus.FINISHED
        return await self._guard.status(request, self._links)

    async def _find_active_run(self, request: RequestIdentity) -> _Run | None:
        running = self._runs.get(request)
        while running is not None and running.opened.answer.refusal is not None:
            await self._parts.clock.sleep_ms(_FAILED_RUN_POLL_MS)
            running = self._runs.get(request)
        return running

    def _new_run(
        self,
        request: RequestIdentity,
        digest: str,
        *,
        repeatable: bool,
    ) -> _Run:
        attempt = uuid.uuid4().hex
        return _Run(
            opened=OpenedRequest(
                request=request,
                digest=digest,
                answer=AnswerLog(),
                repeatable=repeatable,
                attempt=attempt,
            ),
            record=RequestRecord(
                request=request,
                digest=digest,
                runner=self._parts.peers.identity.key,
                holder=self._parts.holder.key,
                repeatable=repeatable,
                attempt=attempt,
                state=RecordState.CLAIMED,
            ),
        )

    async def _find_or_claim(
        self,
        run: _Run,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        if not run.opened.repeatable:
            return await self._find_or_write_intent(run)
        for _ in range(_TAKEOVER_ATTEMPTS):
            try:
                existing = await self._claim(run.record)
            except HolderFencedError:
                self._parts.holder.fenced_by_peer = True
                return no_grant('The grants of this VM are recovered.')
            if existing is None:
                return run.opened
            outcome = await self._use_existing(run, existing)
            if outcome is not None:
                return outcome
            run.record = attrs.evolve(run.record, takeover_of=existing.runner)
        return still_running('local')

    async def _find_or_write_intent(
        self,
        run: _Run,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        existing = self._store.find(run.opened.request)
        if existing is not None and existing.stored is not None:
            return await self._use_existing(run, existing) or still_running(
                'local'
            )
        outcome = await self._guard.commit_intent(run.opened, self._links)
        if outcome is None:
            return run.opened
        if isinstance(outcome, Refusal):
            return outcome
        return await self._use_existing(run, outcome) or still_running('local')

    async def _claim(self, record: RequestRecord) -> RequestRecord | None:
        existing = self._store.merge(record)
        if existing is not None:
            return existing
        candidates = self._links.candidates(record.request)
        _, conflicting = await self._links.send_to_any(candidates, record)
        return conflicting

    async def _use_existing(
        self,
        run: _Run,
        existing: RequestRecord,
    ) -> AttachedAnswer | Refusal | None:
        """Returns None if the other run will not produce an answer."""
        if existing.digest != run.opened.digest:
            return key_reused()
        if existing.stored is not None:
            return self._replay(run, existing, existing.stored)
        peer = self._links.find_peer(existing.runner)
        if peer is None:
            return None
        reply = await self._follower.read_once(peer, run.opened.request)
        if reply is None:
            return still_running(peer.key)
        if reply.failed:
            return None
        self._follow(run, peer)
        return AttachedAnswer(answer=run.opened.answer)

    def _replay(
        self,
        run: _Run,
        existing: RequestRecord,
        stored: StoredAnswer,
    ) -> AttachedAnswer | Refusal:
        local = existing.runner == self._parts.peers.identity.key
        if local and not self._replicator.is_durable(existing):
            return still_running(existing.runner)
        self._parts.metrics.increment('answers_replayed')
        return AttachedAnswer(answer=AnswerLog.replayed(stored))

    def _follow(self, run: _Run, peer: VmIdentity) -> None:
        if self._tasks is None:
            raise RuntimeError('Start the registry before opening requests.')
        run.followed = True
        self._parts.metrics.increment('answers_followed')
        self._tasks.start_soon(self._follow_to_end, run, peer)

    async def _follow_to_end(self, run: _Run, peer: VmIdentity) -> None:
        request = run.opened.request
        try:
            await self._follower.follow(peer, request, run.opened.answer)
        finally:
            if self._runs.get(request) is run:
                self._runs.pop(request)

    def _may_spend(self, run: _Run) -> bool:
        holder = self._parts.holder
        return holder.valid and run.record.holder == holder.key

    def _find_running(self, request: RequestIdentity) -> AnswerLog | None:
        run = self._runs.get(request)
        if run is None or run.followed:
            return None
        return run.opened.answer
