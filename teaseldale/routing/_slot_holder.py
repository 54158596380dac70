"""Slots of this VM: leases from slot owners, or its fixed share."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.routing._pool import Runner
from teaseldale.routing._slot_messages import (
    SlotLease,
    SlotLeases,
    SlotRenewal,
    SlotWant,
)
from teaseldale.routing._slot_owner import LEASE_VALIDITY_MS, SlotOwner
from teaseldale.routing._slot_shares import SlotShares

_RENEWAL_INTERVAL_MS = 500
_MIN_RENEWAL_INTERVAL_MS = 25
_RENEWAL_TIMEOUT_MS = 400
_FALLBACK_DELAY_MS = 2 * LEASE_VALIDITY_MS
_SPARE_SLOTS = 1  # requested beyond those in use, at runners of the own zone
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class _HeldLease:
    slots: int
    until_ms: int  # monotonic, based on the time before sending
    sequence: int  # of the renewal that returned it
    refused: bool  # fewer slots were granted than wanted


@attrs.frozen(kw_only=True)
class SlotDemand:
    """Runners and queued requests for which the router needs slots."""

    runners: tuple[Runner, ...]
    waiting: Mapping[str, int]  # queued requests per runner, by runner name

    def spare_zones(self, own_zone: str) -> frozenset[str]:
        """Returns the zones in which spare slots are requested.

        This is the VM's own zone, or all zones if no runner is in it.
        """
        zones = frozenset(
            runner.upstream.availability_zone for runner in self.runners
        )
        return frozenset((own_zone,)) if own_zone in zones else zones


class SlotHolder(BaseService):
    """Renews slot leases and maintains ``Runner.limit`` of all runners."""

    def __init__(
        self,
        *,
        network: BasePeerNetwork,
        clock: BaseClock,
        metrics: Metrics,
        demand: Callable[[], SlotDemand],
        changed: Callable[[Iterable[Runner]], None],
    ) -> None:
        """Registers the renewal handler.

        ``demand`` is called before each renewal; ``changed`` is called with
        the runners whose limits have changed.
        """
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._demand = demand
        self._changed = changed
        self._identity = network.identity
        self._owner = SlotOwner(clock=clock, identity=self._identity.key)
        self._leases: dict[str, _HeldLease] = {}
        self._started_ms = clock.monotonic_ms()
        self._shares = SlotShares(members=(self._identity.key,))
        self._previous_shares = self._shares
        self._members_changed_ms = self._started_ms
        self._renewal_requested = anyio.Event()
        self._interval_ms = _MIN_RENEWAL_INTERVAL_MS
        self._sequence = 0
        self._draining = False
        network.handle(
            SlotRenewal,
            kind='slot_renewal',
            reply_type=SlotLeases,
            handler=self._handle_renewal,
        )

    @property
    def name(self) -> str:
        """Service name."""
        return 'slots'

    @property
    def owner(self) -> SlotOwner:
        """Slot owner for the runners whose slots this VM leases out."""
        return self._owner

    async def start(self, tasks: TaskGroup) -> None:
        """Starts renewing leases in the background."""
        tasks.start_soon(self._renew_forever)

    async def drain(self) -> None:
        """Sets all limits to 0 and releases the slots that are not in use.

        The others are released by renewals after their requests have ended.
        """
        self._draining = True
        self.apply_limits(self._demand().runners)
        await self.renew()

    def request_renewal(self) -> None:
        """Requests an early renewal because requests are queued."""
        self._renewal_requested.set()

    async def renew(self) -> None:
        """Renews all leases once and applies the resulting limits."""
        self._update_members()
        demand = self._demand()
        wants = self._wants_by_owner(demand)
        async with anyio.create_task_group() as tasks:
            for owner, owned in wants.items():
                tasks.start_soon(self._renew_with_owner, owner, owned)
        self.apply_limits(demand.runners)

    async def request_extra_slot(self, runner: Runner) -> None:
        """Requests one more slot of a runner without waiting for a renewal."""
        runner.demand += 1
        want = self._want_of(runner, 0)
        if want is not None:
            await self._renew_with_owner(
                self._shares.owner_of(runner.name), [want]
            )
            self.apply_limits((runner,))

    def apply_limits(self, runners: Iterable[Runner]) -> None:
        """Updates limits from leases and shares, and reports changed ones."""
        changed = []
        for runner in runners:
            limit = 0 if self._draining else self._limit_of(runner)
            lease = self._leases.get(runner.name)
            runner.refused_slots = lease is None or lease.refused
            if limit > runner.limit:
                self._interval_ms = _MIN_RENEWAL_INTERVAL_MS
            if limit != runner.limit:
                runner.limit = limit
                changed.append(runner)
        self._changed(changed)

    async def _renew_forever(self) -> None:
        while True:
            await self.renew()
            await self._clock.sleep_ms(self._interval_ms)
            remaining_ms = _RENEWAL_INTERVAL_MS - self._interval_ms
            with anyio.move_on_after(remaining_ms / _MS_PER_SECOND):
                await self._renewal_requested.wait()
            if self._renewal_requested.is_set():
                self._interval_ms = min(
                    2 * self._interval_ms,
                    _RENEWAL_INTERVAL_MS,
                )
            self._renewal_requested = anyio.Event()

    async def _renew_with_owner(
        self, owner: str, wants: list[SlotWant]
    ) -> None:
        self._sequence += 1
        renewal = SlotRenewal(sequence=self._sequence, wants=tuple(wants))
        sent_ms = self._clock.monotonic_ms()
        reply = await self._send_renewal(owner, renewal)
        if reply is None:
            self._metrics.increment('slot_renewals', 'unreachable')
            return
        self._metrics.increment('slot_renewals', 'renewed')
        self._store_leases(reply.leases, sent_ms, renewal)

    async def _send_renewal(
        self,
        owner: str,
        renewal: SlotRenewal,
    ) -> SlotLeases | None:
        if owner == self._identity.key:
            return self._owner.renew(owner, renewal, self._shares)
        peer = self._find_peer(owner)
        if peer is None:
            return None
        try:
            reply: SlotLeases = await self._network.request(
                peer,
                renewal,
                timeout_ms=_RENEWAL_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return None
        return reply

    def _store_leases(
        self,
        leases: tuple[SlotLease, ...],
        sent_ms: int,
        renewal: SlotRenewal,
    ) -> None:
        wanted = {want.upstream: want.wanted for want in renewal.wants}
        for lease in leases:
            held = self._leases.get(lease.upstream)
            if held is None or held.sequence < renewal.sequence:
                self._leases[lease.upstream] = _HeldLease(
                    slots=lease.slots,
                    until_ms=sent_ms + LEASE_VALIDITY_MS,
                    sequence=renewal.sequence,
                    refused=lease.slots < wanted.get(lease.upstream, 0),
                )

    async def _handle_renewal(
        self,
        sender: VmIdentity,
        renewal: SlotRenewal,
    ) -> SlotLeases:
        self._update_members()
        return self._owner.renew(sender.key, renewal, self._shares)

    def _wants_by_owner(self, demand: SlotDemand) -> dict[str, list[SlotWant]]:
        wants: dict[str, list[SlotWant]] = defaultdict(list)
        zones = demand.spare_zones(self._identity.availability_zone)
        for runner in demand.runners:
            in_spare_zone = runner.upstream.availability_zone in zones
            extra = (
                demand.waiting.get(runner.name, 0)
                + _SPARE_SLOTS * in_spare_zone
            )
            want = self._want_of(runner, extra)
            if want is not None:
                owner = self._shares.owner_of(runner.name)
                wants[owner].append(want)
        return wants

    def _want_of(self, runner: Runner, extra: int) -> SlotWant | None:
        limit_slots = runner.upstream.slot_count
        share = self._share_of(runner)
        used = runner.used_slots or runner.limit or runner.demand
        if not used and not share:
            return None
        wanted = runner.used_slots + runner.demand + extra
        runner.demand = 0
        if runner.leaving or self._draining:
            wanted = runner.used_slots
        return SlotWant(
            upstream=runner.name,
            limit_slots=limit_slots,
            wanted=min(wanted, limit_slots),
            in_use=runner.used_slots,
            held=runner.limit,
        )

    def _limit_of(self, runner: Runner) -> int:
        now_ms = self._clock.monotonic_ms()
        lease = self._leases.get(runner.name)
        if lease is not None and now_ms < lease.until_ms:
            return lease.slots
        share = self._share_of(runner)
        contact_ms = self._started_ms if lease is None else lease.until_ms
        if now_ms - contact_ms < _FALLBACK_DELAY_MS:
            return min(share, 0 if lease is None else lease.slots)
        return share

    def _share_of(self, runner: Runner) -> int:
        share = self._shares.share_of(
            self._identity.key,
            runner.name,
            runner.upstream.slot_count,
        )
        age_ms = self._clock.monotonic_ms() - self._members_changed_ms
        if age_ms >= _FALLBACK_DELAY_MS:
            return share
        previous = self._previous_shares.share_of(
            self._identity.key,
            runner.name,
            runner.upstream.slot_count,
        )
        return min(share, previous)

    def _update_members(self) -> None:
        keys = [peer.key for peer in self._network.known_peers()]
        members = tuple(sorted((*keys, self._identity.key)))
        if members == self._shares.members:
            return
        self._previous_shares = self._shares
        self._shares = SlotShares(members=members)
        self._members_changed_ms = self._clock.monotonic_ms()
        self._owner.retain(
            self._shares,
            was_alone=len(self._previous_shares.members) == 1,
        )

    def _find_peer(self, key: str) -> VmIdentity | None:
        for peer in self._network.known_peers():
            if peer.key == key:
                return peer
        return None
