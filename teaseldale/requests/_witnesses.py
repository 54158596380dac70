"""Selection of witnesses, and replication of records to them."""

import functools
from collections.abc import Iterable, Sequence

import xxhash

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.requests._group_commit import BaseBatchSender, GroupCommit
from teaseldale.requests._holder import SpendingHolder
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._messages import (
    ReadAnswer,
    ReadAnswerReply,
    RecordBatch,
    RecordBatchReply,
)
from teaseldale.requests._records import RequestRecord

_TIMEOUT_MS = 800
_SendOutcome = tuple[bool, RequestRecord | None]


class HolderFencedError(Exception):
    """A witness fenced this VM because its grants are being recovered."""


class _PeerSender(BaseBatchSender[RequestRecord, _SendOutcome]):
    def __init__(
        self,
        *,
        peers: BasePeerNetwork,
        peer: VmIdentity,
        holder: SpendingHolder,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._peer = peer
        self._holder = holder
        self._metrics = metrics

    async def send_batch(
        self,
        batch: Sequence[RequestRecord],
    ) -> list[_SendOutcome]:
        message = RecordBatch(
            holder=self._holder.key,
            settled_through=self._holder.settled_through,
            records=tuple(batch),
        )
        self._metrics.increment('witness_messages')
        reply: RecordBatchReply = await self._peers.request(
            self._peer,
            message,
            timeout_ms=_TIMEOUT_MS,
        )
        if reply.fenced:
            return [(True, None) for _ in batch]
        return [(False, found) for found in reply.found]


class WitnessLinks:
    """Sends records to peers, in one group commit per peer."""

    def __init__(
        self,
        *,
        peers: BasePeerNetwork,
        holder: SpendingHolder,
        metrics: Metrics,
    ) -> None:
        """Sends through the links of ``peers`` on behalf of ``holder``."""
        self._peers = peers
        self._holder = holder
        self._metrics = metrics
        self._groups: dict[str, GroupCommit[RequestRecord, _SendOutcome]] = {}

    def preferred_vm(self, request: RequestIdentity) -> VmIdentity:
        """Returns the preferred VM among all members, including this one."""
        vms = (self._peers.identity, *self._peers.known_peers())
        return min(vms, key=functools.partial(_rank, request))

    def candidates(self, request: RequestIdentity) -> list[VmIdentity]:
        """Returns the reachable peers in order of preference."""
        reachable = self._peers.reachable_peers()
        return sorted(reachable, key=functools.partial(_rank, request))

    def is_reachable(self, vm_key: str) -> bool:
        """Whether a VM is this one or a reachable peer."""
        return vm_key == self._peers.identity.key or any(
            peer.key == vm_key for peer in self._peers.reachable_peers()
        )

    def find_peer(self, vm_key: str) -> VmIdentity | None:
        """Returns the reachable peer with that key, or None."""
        for peer in self._peers.reachable_peers():
            if peer.key == vm_key:
                return peer
        return None

    async def send(
        self,
        peer: VmIdentity,
        record: RequestRecord,
    ) -> RequestRecord | None:
        """Sends a record and returns a conflicting record of another run.

        Raises ``PeerUnreachableError`` or ``HolderFencedError``.
        """
        group = self._groups.get(peer.key)
        if group is None:
            self._drop_stale_groups()
            sender = _PeerSender(
                peers=self._peers,
                peer=peer,
                holder=self._holder,
                metrics=self._metrics,
            )
            group = GroupCommit(sender=sender)
            self._groups[peer.key] = group
        fenced, conflicting = await group.submit(record)
        if fenced:
            raise HolderFencedError
        return conflicting

    async def read_answer(
        self,
        peer: VmIdentity,
        request: RequestIdentity,
    ) -> ReadAnswerReply:
        """Reads an answer of a peer; raises ``PeerUnreachableError``."""
        message = ReadAnswer(request=request, offset=0, character_count=0)
        reply: ReadAnswerReply = await self._peers.request(
            peer,
            message,
            timeout_ms=_TIMEOUT_MS,
        )
        return reply

    async def send_to_any(
        self,
        candidates: Iterable[VmIdentity],
        record: RequestRecord,
        *,
        replica_count: int = 1,
    ) -> tuple[list[str], RequestRecord | None]:
        """Sends to peers in order until ``replica_count`` of them acknowledge.

        Returns the keys of those peers and the first conflicting record.
        """
        reached: list[str] = []
        for peer in candidates:
            try:
                conflicting = await self.send(peer, record)
            except PeerUnreachableError as error:
                self._metrics.increment('witness_retries', error.step)
                continue
            reached.append(peer.key)
            if conflicting is not None or len(reached) >= replica_count:
                return reached, conflicting
        return reached, None

    def _drop_stale_groups(self) -> None:
        known = {peer.key for peer in self._peers.known_peers()}
        for key in self._groups.keys() - known:
            self._groups.pop(key)


def _rank(request: RequestIdentity, vm: VmIdentity) -> int:
    return xxhash.xxh3_64_intdigest(vm.name.encode(), seed=request.hash64)
