"""Leasing of a runner's slots by its slot owner.

For every other VM the owner reserves the slots that the VM may use at most:
its lease while that is valid, the larger of lease and fixed share for some time
after expiry, and the fixed share of a VM that has not sent a renewal. Only the
remaining slots are granted, so that the sum stays within the runner's limit
even when VMs are partitioned and fall back to their fixed shares.

A new owner has no record of leases. Until it has received renewals from all
VMs, or all earlier leases have expired, it only confirms slots that VMs already
hold. Revoked slots count as leased until a renewal of the VM shows that it has
released them.
"""

import attrs

from teaseldale.clock import BaseClock
from teaseldale.routing._slot_messages import (
    SlotLease,
    SlotLeases,
    SlotRenewal,
    SlotWant,
)
from teaseldale.routing._slot_shares import SlotShares

LEASE_VALIDITY_MS = 3000
DRAIN_MS = 10_000  # grace period for requests that outlive a lease
_WARM_UP_MS = 2 * LEASE_VALIDITY_MS
_MIN_WARM_UP_MS = 1500


@attrs.define(kw_only=True)
class _GrantedLease:
    slots: int  # maximum that the VM may use
    wanted: int
    expires_ms: int  # monotonic


@attrs.define(kw_only=True)
class _RunnerLeases:
    started_ms: int  # monotonic; time when this VM became the owner
    lent: dict[str, _GrantedLease] = attrs.field(factory=dict)


class SlotOwner:
    """Grants leases for the slots of the runners that this VM owns."""

    def __init__(self, *, clock: BaseClock, identity: str) -> None:
        """Creates an owner without leases; ``identity`` is this VM's key."""
        self._clock = clock
        self._identity = identity
        self._started_ms = clock.monotonic_ms()
        self._leases_by_runner: dict[str, _RunnerLeases] = {}
        self._sequences: dict[str, int] = {}

    def renew(
        self,
        holder: str,
        renewal: SlotRenewal,
        shares: SlotShares,
    ) -> SlotLeases:
        """Grants slots to VM ``holder`` for ``LEASE_VALIDITY_MS``.

        Returns no leases for a duplicate or reordered renewal, and none for
        runners that this VM does not own.
        """
        if renewal.sequence <= self._sequences.get(holder, 0):
            return SlotLeases(leases=())
        self._sequences[holder] = renewal.sequence
        owned = [
            want
            for want in renewal.wants
            if shares.owner_of(want.upstream) == self._identity
        ]
        return SlotLeases(
            leases=tuple(
                SlotLease(
                    upstream=want.upstream,
                    slots=self._lend(holder, want, shares),
                )
                for want in owned
            ),
        )

    def retain(self, shares: SlotShares, *, was_alone: bool) -> None:
        """Drops the leases of runners that other VMs own now.

        With ``was_alone``, which means that the VM knew no other until now, all
        leases are dropped.
        """
        if was_alone:
            self._leases_by_runner.clear()
        self._sequences = {
            holder: sequence
            for holder, sequence in self._sequences.items()
            if holder in shares
        }
        for upstream in tuple(self._leases_by_runner):
            if shares.owner_of(upstream) != self._identity:
                self._leases_by_runner.pop(upstream)

    def lent_slots(self, upstream: str) -> int:
        """Returns the sum of the valid leases of a runner."""
        runner_leases = self._leases_by_runner.get(upstream)
        now_ms = self._clock.monotonic_ms()
        if runner_leases is None:
            return 0
        return sum(
            lent.slots
            for lent in runner_leases.lent.values()
            if lent.expires_ms > now_ms
        )

    def _lend(self, holder: str, want: SlotWant, shares: SlotShares) -> int:
        now_ms = self._clock.monotonic_ms()
        runner_leases = self._leases_by_runner.setdefault(
            want.upstream, _RunnerLeases(started_ms=now_ms)
        )
        _remove_expired(runner_leases, now_ms, shares)
        if self._warming_up(runner_leases, now_ms, shares):
            slots = min(want.held, max(want.wanted, want.in_use))
        else:
            slots = _slots_for(holder, want, runner_leases, now_ms, shares)
        runner_leases.lent[holder] = _GrantedLease(
            slots=max(slots, want.held, want.in_use),
            wanted=want.wanted,
            expires_ms=now_ms + LEASE_VALIDITY_MS,
        )
        return slots

    def _warming_up(
        self,
        runner_leases: _RunnerLeases,
        now_ms: int,
        shares: SlotShares,
    ) -> bool:
        if now_ms - self._started_ms < _MIN_WARM_UP_MS:
            return True
        if now_ms - runner_leases.started_ms >= _WARM_UP_MS:
            return False
        return not all(
            member in runner_leases.lent for member in shares.members
        )


def _slots_for(
    holder: str,
    want: SlotWant,
    runner_leases: _RunnerLeases,
    now_ms: int,
    shares: SlotShares,
) -> int:
    others = {
        member: _reserved_slots(member, want, runner_leases, now_ms, shares)
        for member in (
            *runner_leases.lent,
            *shares.sharers(want.upstream, want.limit_slots),
        )
        if member != holder
    }
    available = max(want.limit_slots - sum(others.values()), 0)
    wanted = {
        member: _wanted_slots(member, reserved, runner_leases, now_ms)
        for member, reserved in others.items()
    }
    wanted[holder] = want.wanted
    entitled = _fair_share(want.limit_slots, wanted, holder)
    previous = runner_leases.lent.get(holder)
    kept = min(want.in_use, previous.slots, available) if previous else 0
    return max(min(want.wanted, entitled, available), kept)


def _reserved_slots(
    member: str,
    want: SlotWant,
    runner_leases: _RunnerLeases,
    now_ms: int,
    shares: SlotShares,
) -> int:
    share = shares.share_of(member, want.upstream, want.limit_slots)
    lent = runner_leases.lent.get(member)
    if lent is None:
        return share
    if lent.expires_ms > now_ms:
        return lent.slots
    return max(lent.slots, share)


def _wanted_slots(
    member: str, reserved: int, runner_leases: _RunnerLeases, now_ms: int
) -> int:
    lent = runner_leases.lent.get(member)
    if lent is None or lent.expires_ms <= now_ms:
        return reserved
    return lent.wanted


def _fair_share(limit_slots: int, wanted: dict[str, int], holder: str) -> int:
    """Returns the max-min fair share of ``holder``."""
    remaining = limit_slots
    order = sorted(wanted, key=lambda member: (wanted[member], member))
    for position, member in enumerate(order):
        granted = min(wanted[member], remaining // (len(order) - position))
        if member == holder:
            return granted
        remaining -= granted
    return 0


def _remove_expired(
    runner_leases: _RunnerLeases, now_ms: int, shares: SlotShares
) -> None:
    for member, lent in tuple(runner_leases.lent.items()):
        ended_ms = now_ms - lent.expires_ms
        if ended_ms > DRAIN_MS or (ended_ms > 0 and member not in shares):
            runner_leases.lent.pop(member)
