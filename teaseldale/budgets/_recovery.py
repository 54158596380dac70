"""Recovery of the grants of VMs that have terminated."""

from collections.abc import Iterable

import attrs
import xxhash

from teaseldale.budgets._grant_rows import (
    HOLDERS_TABLE,
    HolderState,
    ReadHolder,
    decode_holder,
)
from teaseldale.budgets._holder_close import HolderClose
from teaseldale.outcomes import PeerUnreachableError, PlatformError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.requests import (
    HOLDER_DRIFT_MS,
    FenceHolder,
    FenceReply,
    HolderDependencies,
    HolderSpending,
    IntentTable,
    RequestRecord,
    Settlement,
)
from teaseldale.tables import Committed, make_transaction

_INTERVAL_MS = 2000
_SCAN_INTERVAL_MS = 30_000
_TIMEOUT_MS = 800
_CLOSED_RETENTION_MS = 86_400_000
_CLOSING = frozenset((HolderState.CLOSING, HolderState.BILLING))


@attrs.frozen(kw_only=True)
class _Observation:
    write_count: int
    since_ms: int  # first seen, on this VM's monotonic clock


class HolderRecovery:
    """Releases the unspent tokens of a lost VM and bills its spending.

    A holder is closed once the VMs of all other holders have refused to be
    witnesses for it. No reply is required from a VM that has not renewed
    within its validity, by this VM's clock, and is not on the membership list,
    nor from one whose address is used by another process.
    """

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Recovers holders of the fleet that ``parts.peers`` connects."""
        self._parts = parts
        self._close = HolderClose(parts=parts)
        self._intents = IntentTable(table=parts.table)
        self._observed: dict[str, _Observation] = {}
        self._rows: tuple[ReadHolder, ...] = ()
        self._scanned_ms = 0
        self._reachable_keys: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Scans for lost holders until cancelled."""
        while True:
            await self._parts.clock.sleep_ms(_INTERVAL_MS)
            if not self._is_due():
                continue
            try:
                await self._scan_and_recover()
            except PlatformError as error:
                self._parts.metrics.increment('recovery_retries', error.step)

    def _is_due(self) -> bool:
        now_ms = self._parts.clock.monotonic_ms()
        seen = frozenset(vm.key for vm in self._reachable())
        if seen != self._reachable_keys:
            self._reachable_keys = seen
            return True
        if now_ms - self._scanned_ms >= _SCAN_INTERVAL_MS:
            return True
        return any(self._is_lost(row) for row in self._rows)

    def _is_lost(self, row: ReadHolder) -> bool:
        if row.row.state in _CLOSING:
            return True
        live = row.row.state is HolderState.OPEN
        return live and self._find_peer(row.row.vm) is None

    async def _scan_and_recover(self) -> None:
        self._rows = await self._scan()
        self._scanned_ms = self._parts.clock.monotonic_ms()
        for row in self._rows:
            if row.row.state is HolderState.CLOSED:
                await self._drop_closed(row)
            elif self._is_lost(row) and _is_coordinator(self._reachable(), row):
                await self._recover(row)

    async def _scan(self) -> tuple[ReadHolder, ...]:
        raw_rows = await self._parts.table.scan(table=HOLDERS_TABLE)
        rows = tuple(decode_holder(row) for row in raw_rows)
        now_ms = self._parts.clock.monotonic_ms()
        earlier = self._observed
        self._observed = {}
        for row in rows:
            seen = earlier.get(row.key)
            if seen is None or seen.write_count != row.row.write_count:
                seen = _Observation(
                    write_count=row.row.write_count,
                    since_ms=now_ms,
                )
            self._observed[row.key] = seen
        return rows

    async def _drop_closed(self, row: ReadHolder) -> None:
        self._parts.store.fence(row.key)
        self._parts.store.drop_holder(row.key)
        old = self._has_expired(row, _CLOSED_RETENTION_MS)
        if old and _is_coordinator(self._reachable(), row):
            await self._parts.table.commit(
                make_transaction(
                    checks=(row.check(),),
                    writes=(row.write(None),),
                ),
            )

    async def _recover(self, row: ReadHolder) -> None:
        closing = await self._to_closing(row)
        if closing is None:
            return
        billing = await self._to_billing(closing)
        if billing is not None and await self._close.close(billing):
            self._parts.metrics.increment('holders_recovered')

    async def _to_closing(self, row: ReadHolder) -> ReadHolder | None:
        if row.row.state is not HolderState.OPEN:
            return row
        if not await self._all_refuse_holder(row):
            return None
        closing = await self._update_state(row, state=HolderState.CLOSING)
        if closing is not None:
            self._parts.metrics.increment('holders_fenced')
            self._rows = await self._scan()
        return closing

    async def _to_billing(self, row: ReadHolder) -> ReadHolder | None:
        if row.row.state is HolderState.BILLING:
            return row
        spending = await self._fence(row)
        if spending is None:
            return None
        return await self._update_state(
            row,
            state=HolderState.BILLING,
            recovered=(
                *_bills(row, spending),
                *await self._bills_in_doubt(spending),
            ),
        )

    async def _bills_in_doubt(
        self,
        spending: list[HolderSpending],
    ) -> list[Settlement]:
        """Bills attempts whose intent has no recorded outcome."""
        bills: list[Settlement] = []
        for record in _unfinished(spending):
            intent = (await self._intents.read(record.request)).row
            if intent is None or intent.attempt != record.attempt:
                continue
            if intent.stored is None:
                bills.append(_bill_in_doubt(record))
        return bills

    async def _all_refuse_holder(self, row: ReadHolder) -> bool:
        if self._has_expired(row) and not _is_listed(row, self._parts.peers):
            return True
        vms = self._other_vms(row)
        if vms is None:
            return False
        for vm in vms:
            reply = await self._request_fence(vm, row, commit=False)
            if reply is None or reply.reachable:
                return False
        return True

    async def _fence(self, row: ReadHolder) -> list[HolderSpending] | None:
        vms = self._other_vms(row)
        if vms is None:
            return None
        spending = [self._parts.store.fence(row.key)]
        owner = self._find_peer(row.row.vm)
        if owner is not None and owner != self._parts.peers.identity:
            vms.append(owner)
        for vm in vms:
            reply = await self._request_fence(vm, row, commit=True)
            if reply is None:
                return None
            spending.append(reply.spending)
        return spending

    async def _request_fence(
        self,
        vm: VmIdentity,
        row: ReadHolder,
        *,
        commit: bool,
    ) -> FenceReply | None:
        request = FenceHolder(holder=row.key, vm=row.row.vm, commit=commit)
        try:
            reply: FenceReply = await self._parts.peers.request(
                vm,
                request,
                timeout_ms=_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return None
        return reply

    async def _update_state(
        self,
        row: ReadHolder,
        *,
        state: HolderState,
        recovered: tuple[Settlement, ...] = (),
    ) -> ReadHolder | None:
        changed = attrs.evolve(row.row, state=state, recovered=recovered)
        outcome = await self._parts.table.commit(
            make_transaction(
                checks=(row.check(),),
                writes=(row.write(changed),),
            ),
        )
        if not isinstance(outcome, Committed):
            return None
        return attrs.evolve(row, row=changed, revision=outcome.revision)

    def _other_vms(self, lost: ReadHolder) -> list[VmIdentity] | None:
        """Returns the other holders' VMs; None if one may be partitioned."""
        candidates: list[VmIdentity] = []
        for row in self._rows:
            peer = self._find_peer(row.row.vm)
            if peer is not None:
                candidates.append(peer)
            elif self._may_be_partitioned(row, lost):
                return None
        own = self._parts.peers.identity
        return [
            peer
            for peer in dict.fromkeys(candidates)
            if peer != own and peer.key != lost.row.vm
        ]

    def _may_be_partitioned(self, row: ReadHolder, lost: ReadHolder) -> bool:
        if row.row.vm == lost.row.vm or row.row.state is HolderState.CLOSED:
            return False
        if _is_replaced(row, self._reachable()):
            return False
        return _is_listed(row, self._parts.peers) or not self._has_expired(row)

    def _has_expired(self, row: ReadHolder, extra_ms: int = 0) -> bool:
        seen = self._observed.get(row.key)
        if seen is None or seen.write_count != row.row.write_count:
            return False
        age_ms = self._parts.clock.monotonic_ms() - seen.since_ms
        validity_ms = self._parts.holder.validity_ms + HOLDER_DRIFT_MS
        return age_ms > validity_ms + extra_ms

    def _find_peer(self, vm: str) -> VmIdentity | None:
        for peer in self._reachable():
            if peer.key == vm:
                return peer
        return None

    def _reachable(self) -> tuple[VmIdentity, ...]:
        peers = self._parts.peers
        return (peers.identity, *peers.reachable_peers())


def _is_listed(row: ReadHolder, peers: BasePeerNetwork) -> bool:
    return any(peer.key == row.row.vm for peer in peers.known_peers())


def _is_replaced(row: ReadHolder, reachable: Iterable[VmIdentity]) -> bool:
    """Whether a reachable VM uses the address of the holder's VM."""
    return any(
        peer.address == row.row.address and peer.key != row.row.vm
        for peer in reachable
    )


def _is_coordinator(reachable: tuple[VmIdentity, ...], row: ReadHolder) -> bool:
    """Whether this VM, first of ``reachable``, recovers the holder."""
    return reachable[0] == min(reachable, key=lambda vm: _rank(vm, row.key))


def _rank(vm: VmIdentity, holder: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{vm.name}/{holder}'.encode())


def _bills(
    row: ReadHolder,
    spending: Iterable[HolderSpending],
) -> list[Settlement]:
    settlements: dict[int, Settlement] = {}
    for part in spending:
        settlements.update(
            (settlement.sequence, settlement) for settlement in part.settlements
        )
    return [
        settlement
        for sequence, settlement in sorted(settlements.items())
        if sequence > row.row.settled_through
    ]


def _unfinished(spending: Iterable[HolderSpending]) -> list[RequestRecord]:
    finished: set[str] = set()
    in_doubt: dict[str, RequestRecord] = {}
    for part in spending:
        finished.update(part.finished)
        in_doubt.update((record.attempt, record) for record in part.in_doubt)
    return [
        record
        for attempt, record in in_doubt.items()
        if attempt not in finished
    ]


def _bill_in_doubt(record: RequestRecord) -> Settlement:
    return Settlement(
        holder=record.holder,
        sequence=0,
        budgets=record.budgets,
        used_tokens=record.reserved_tokens,
        request=record.request.text,
    )
