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
_COPIES = 2  # replicas in addition to the one on this VM


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
        self._unconfirmed: dict[RequestIdentity, None] = {}
        self._seen: tuple[frozenset[str], frozenset[str]] | None = None
        peers.handle(
            RecordBatch,
            kind='record_batch',
            reply_type=RecordBatchReply,
            handler=self._take_batch,
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
            self._unconfirmed.pop(request, None)
        elif record.state is RecordState.SETTLED:
            self._witnessed[request] = frozenset(reached)
            self._note_unconfirmed(record)

    def is_witnessed(self, request: RequestIdentity) -> bool:
        """Whether another VM acknowledged the settled record."""
        return bool(self._witnessed.get(request))

    async def run(self) -> None:
        """Re-replicates records as membership changes; never returns."""
        while True:
            await self._clock.sleep_ms(_INTERVAL_MS)
            self._follow_membership()
            for request in tuple(self._unconfirmed):
                await self._confirm(request)

    def _follow_membership(self) -> None:
        known = frozenset(peer.key for peer in self._peers.known_peers())
        reachable = frozenset(
            peer.key for peer in self._peers.reachable_peers()
        )
        if (known, reachable) == self._seen:
            return
        self._seen = (known, reachable)
        for request in tuple(self._witnessed):
            if self._store.find(request) is None:
                self._witnessed.pop(request)
        for record in self._store.records():
            if self._is_charge(record):
                self._note_unconfirmed(record)

    def _is_charge(self, record: RequestRecord) -> bool:
        if record.state is not RecordState.SETTLED:
            return False
        own = record.runner == self._peers.identity.key
        return own or not self._links.is_reachable(record.runner)

    def _note_unconfirmed(self, record: RequestRecord) -> None:
        home = self._links.home_of(record.request)
        witnesses = self._witnessed.get(record.request, frozenset())
        at_home = home == self._peers.identity or home.key in witnesses
        if not at_home or self._missing(record):
            self._unconfirmed[record.request] = None

    def _missing(self, record: RequestRecord) -> list[VmIdentity]:
        """Returns the reachable peers that still need a replica."""
        witnesses = self._witnessed.get(record.request, frozenset())
        candidates = self._links.candidates(record.request)
        others = [peer for peer in candidates if peer.key not in witnesses]
        lacking = _COPIES - len(candidates) + len(others)
        home = self._links.home_of(record.request)
        if home in others:
            others.remove(home)
            return [home, *others[: max(0, lacking - 1)]]
        return others[: max(0, lacking)]

    async def _confirm(self, request: RequestIdentity) -> None:
        record = self._store.find(request)
        missing = self._missing(record) if record else []
        if record is None or not missing:
            self._unconfirmed.pop(request, None)
            return
        try:
            reached, found = await self._links.send_to_any(
                missing,
                record,
                wanted=len(missing),
            )
        except HolderFencedError:
            self._holder.fenced_by_peer = True
            return
        if found is not None:
            self._duplicates.check(record, found)
        known = self._witnessed.get(request, frozenset())
        self._witnessed[request] = known.union(reached)
        if reached and record.settlement is not None:
            self._holder.note_witnessed(record.settlement)

    async def _take_batch(
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
        self._store.forget_settled(batch.holder, batch.settled_through)
        return RecordBatchReply(
            fenced=False,
            found=tuple(self._take(record) for record in batch.records),
        )

    def _take(self, record: RequestRecord) -> RequestRecord | None:
        existing = self._store.merge(record)
        if existing is not None:
            self._duplicates.check(record, existing)
        return existing

    async def _fence(
        self,
        _sender: VmIdentity,
        asked: FenceHolder,
    ) -> FenceReply:
        if asked.commit:
            return FenceReply(
                reachable=False,
                spending=self._store.fence(asked.holder),
            )
        return FenceReply(
            reachable=self._links.is_reachable(asked.vm),
            spending=HolderSpending(),
        )
