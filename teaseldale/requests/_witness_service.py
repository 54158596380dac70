"""Witness duties of a VM, and re-replication of settled records."""

from teaseldale.clock import BaseClock
from teaseldale.outcomes import PeerUnreachableError, Step
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.requests._duplicates import DuplicateQueue
from teaseldale.requests._holder import SpendingHolder
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._messages import (
    FenceHolder,
    FenceReply,
    RecordBatch,
    RecordBatchReply,
)
from teaseldale.requests._records import (
    HolderSpending,
    RecordState,
    RecordStore,
    RequestRecord,
)
from teaseldale.requests._witnesses import HolderFencedError, WitnessLinks

_INTERVAL_MS = 2000
_REPLICA_COUNT = 2  # in addition to the one on this VM


class WitnessService:
    """Stores records of runners, and fences holders whose VM is lost."""

    def __init__(
        self,
        *,
        links: WitnessLinks,
        store: RecordStore,
        holder: SpendingHolder,
        duplicates: DuplicateQueue,
        clock: BaseClock,
        peers: BasePeerNetwork,
    ) -> None:
        """Registers the handlers of witness messages."""
        self._links = links
        self._store = store
        self._holder = holder
        self._duplicates = duplicates
        self._clock = clock
        self._peers = peers
        self._witnessed: dict[RequestIdentity, frozenset[str]] = {}
        self._underreplicated: dict[RequestIdentity, None] = {}
        self._last_membership: tuple[frozenset[str], frozenset[str]] | None = (
            None
        )
        peers.handle(
            RecordBatch,
            kind='record_batch',
            reply_type=RecordBatchReply,
            handler=self._store_batch,
        )
        peers.handle(
            FenceHolder,
            kind='fence_holder',
            reply_type=FenceReply,
            handler=self._fence,
        )

    def note_witnessed(self, record: RequestRecord, reached: list[str]) -> None:
        """Notes which peers acknowledged a record of this VM's own run."""
        request = record.request
        if record.state is RecordState.NOT_RUN:
            self._witnessed.pop(request, None)
            self._underreplicated.pop(request, None)
        elif record.state is RecordState.SETTLED:
            self._witnessed[request] = frozenset(reached)
            self._note_underreplicated(record)

    def is_witnessed(self, request: RequestIdentity) -> bool:
        """Whether another VM acknowledged the settled record."""
        return bool(self._witnessed.get(request))

    async def run(self) -> None:
        """Re-replicates records as membership changes; never returns."""
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            self._check_membership()
            for request in tuple(self._underreplicated):
                await self._replicate(request)

    def _check_membership(self) -> None:
        known = frozenset(peer.key for peer in self._peers.known_peers())
        reachable = frozenset(
            peer.key for peer in self._peers.reachable_peers()
        )
        if (known, reachable) == self._last_membership:
            return
        self._last_membership = (known, reachable)
        for request in tuple(self._witnessed):
            if self._store.find(request) is None:
                self._witnessed.pop(request)
        for record in self._store.records():
            if self._is_responsible_for(record):
                self._note_underreplicated(record)

    def _is_responsible_for(self, record: RequestRecord) -> bool:
        if record.state is not RecordState.SETTLED:
            return False
        own = record.runner == self._peers.identity.key
        return own or not self._links.is_reachable(record.runner)

    def _note_underreplicated(self, record: RequestRecord) -> None:
        preferred = self._links.preferred_vm(record.request)
        witnesses = self._witnessed.get(record.request, frozenset())
        at_preferred = (
            preferred == self._peers.identity or preferred.key in witnesses
        )
        if not at_preferred or self._missing_replicas(record):
            self._underreplicated[record.request] = None

    def _missing_replicas(self, record: RequestRecord) -> list[VmIdentity]:
        """Returns the reachable peers that still need a replica."""
        witnesses = self._witnessed.get(record.request, frozenset())
        candidates = self._links.candidates(record.request)
        others = [peer for peer in candidates if peer.key not in witnesses]
        shortfall = _REPLICA_COUNT - len(candidates) + len(others)
        preferred = self._links.preferred_vm(record.request)
        if preferred in others:
            others.remove(preferred)
            return [preferred, *others[: max(0, shortfall - 1)]]
        return others[: max(0, shortfall)]

    async def _replicate(self, request: RequestIdentity) -> None:
        record = self._store.find(request)
        missing = self._missing_replicas(record) if record else []
        if record is None or not missing:
            self._underreplicated.pop(request, None)
            return
        try:
            reached, conflicting = await self._links.send_to_any(
                missing,
                record,
                replica_count=len(missing),
            )
        except HolderFencedError:
            self._holder.fenced_by_peer = True
            return
        if conflicting is not None:
            self._duplicates.check(record, conflicting)
        known = self._witnessed.get(request, frozenset())
        self._witnessed[request] = known.union(reached)
        if reached and record.settlement is not None:
            self._holder.note_witnessed(record.settlement)

    async def _store_batch(
        self,
        sender: VmIdentity,
        batch: RecordBatch,
    ) -> RecordBatchReply:
        if not self._holder.registered:
            raise PeerUnreachableError(
                step=Step.REGISTER,
                peer=self._peers.identity.key,
                reason='not registered as a holder yet',
            )
        if self._store.is_fenced(batch.holder):
            return RecordBatchReply(fenced=True, found=())
        self._store.drop_committed(batch.holder, batch.settled_through)
        return RecordBatchReply(
            fenced=False,
            found=tuple(self._store_record(record) for record in batch.records),
        )

    def _store_record(self, record: RequestRecord) -> RequestRecord | None:
        existing = self._store.merge(record)
        if existing is not None:
            self._duplicates.check(record, existing)
        return existing

    async def _fence(
        self,
        _sender: VmIdentity,
        message: FenceHolder,
    ) -> FenceReply:
        if message.commit:
            return FenceReply(
                reachable=False,
                spending=self._store.fence(message.holder),
            )
        return FenceReply(
            reachable=self._links.is_reachable(message.vm),
            spending=HolderSpending(),
        )
