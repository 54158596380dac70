"""Replication of bills, so that they survive the loss of the runner."""

from teaseldale.requests._dependencies import HolderDependencies
from teaseldale.requests._holder import Settlement
from teaseldale.requests._records import RecordState, RequestRecord
from teaseldale.requests._witness_service import WitnessService
from teaseldale.requests._witnesses import HolderFencedError, WitnessLinks

_COMMIT_TIMEOUT_MS = 1500
_COMMIT_POLL_MS = 50
_RUN_REPLICAS = 1
_BILL_REPLICAS = 2


class BillReplicator:
    """Replicates the records of runs and bills to witnesses."""

    def __init__(
        self,
        *,
        parts: HolderDependencies,
        links: WitnessLinks,
        witness: WitnessService,
    ) -> None:
        """Sends through ``links``; notes the reached peers at ``witness``."""
        self._parts = parts
        self._links = links
        self._witness = witness

    async def replicate(self, record: RequestRecord) -> bool:
        """Sends a record and returns whether a witness acknowledged it.

        Raises ``HolderFencedError`` if a witness has fenced this holder.
        """
        settled = record.state is RecordState.SETTLED
        replica_count = _RUN_REPLICAS
        if settled or not self._parts.table.available:
            replica_count = _BILL_REPLICAS
        try:
            reached, conflicting = await self._links.send_to_any(
                self._links.candidates(record.request),
                record,
                replica_count=replica_count,
            )
        except HolderFencedError:
            self._parts.holder.fenced_by_peer = True
            raise
        if conflicting is not None:
            self._parts.duplicates.check(record, conflicting)
        self._witness.note_witnessed(record, reached)
        settlement = record.settlement
        if settlement is not None and (reached or self.is_alone):
            self._parts.holder.note_witnessed(settlement)
        return bool(reached)

    async def make_durable(
        self,
        record: RequestRecord,
        settlement: Settlement,
    ) -> bool:
        """Replicates a bill and returns whether it is durable.

        In a fleet of one VM, waits until the table service has the bill.
        """
        try:
            witnessed = await self.replicate(record)
        except HolderFencedError:
            return False
        if witnessed or not settlement.holder:
            return True
        return self.is_alone and await self._wait_for_commit(settlement)

    @property
    def is_alone(self) -> bool:
        """Whether the fleet has no other VM that can act as a witness."""
        return not self._parts.peers.known_peers()

    def is_durable(self, record: RequestRecord) -> bool:
        """Whether the bill of a settled record is durable enough to replay."""
        settlement = record.settlement
        if settlement is None or not settlement.holder:
            return True
        if self._witness.is_witnessed(record.request):
            return True
        return self.is_alone and self._parts.holder.is_committed(settlement)

    async def _wait_for_commit(self, settlement: Settlement) -> bool:
        clock = self._parts.clock
        deadline_ms = clock.monotonic_ms() + _COMMIT_TIMEOUT_MS
        while clock.monotonic_ms() < deadline_ms:
            if self._parts.holder.is_committed(settlement):
                return True
            await clock.sleep_ms(_COMMIT_POLL_MS)
        return False
