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
_LEAST_WARM_UP_MS = 1500


@attrs.define(kw_only=True)
class _Lent:
    slots: int  # maximum that the VM may use
    wanted: int
    expires_ms: int  # monotonic


@attrs.define(kw_only=True)
class _Book:
    started_ms: int  # monotonic; time when this VM became the owner
    lent: dict[str, _Lent] = attrs.field(factory=dict)


class SlotOwner:
    """Grants leases for the slots of the runners that this VM owns."""

    def __init__(self, *, clock: BaseClock, identity: str) -> None:
        """Creates an owner without leases; ``identity`` is this VM's key."""
        self._clock = clock
        self._identity = identity
        self._started_ms = clock.monotonic_ms()
        self._books: dict[str, _Book] = {}
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
            self._books.clear()
        self._sequences = {
            holder: sequence
            for holder, sequence in self._sequences.items()
            if holder in shares
        }
        for upstream in tuple(self._books):
            if shares.owner_of(upstream) != self._identity:
                self._books.pop(upstream)

    def lent_slots(self, upstream: str) -> int:
        """Returns the sum of the valid leases of a runner."""
        book = self._books.get(upstream)
        now_ms = self._clock.monotonic_ms()
        if book is None:
            return 0
        return sum(
            lent.slots
            for lent in book.lent.values()
            if lent.expires_ms > now_ms
        )

    def _lend(self, holder: str, want: SlotWant, shares: SlotShares) -> int:
        now_ms = self._clock.monotonic_ms()
        book = self._books.setdefault(want.upstream, _Book(started_ms=now_ms))
        _forget_ended(book, now_ms, shares)
        if self._warming_up(book, now_ms, shares):
            slots = min(want.held, max(want.wanted, want.in_use))
        else:
            slots = _slots_for(holder, want, book, now_ms, shares)
        book.lent[holder] = _Lent(
            slots=max(slots, want.held, want.in_use),
            wanted=want.wanted,
            expires_ms=now_ms + LEASE_VALIDITY_MS,
        )
        return slots

    def _warming_up(
        self,
        book: _Book,
        now_ms: int,
        shares: SlotShares,
    ) -> bool:
        if now_ms - self._started_ms < _LEAST_WARM_UP_MS:
            return True
        if now_ms - book.started_ms >= _WARM_UP_MS:
            return False
        return not all(member in book.lent for member in shares.members)


def _slots_for(
    holder: str,
    want: SlotWant,
    book: _Book,
    now_ms: int,
    shares: SlotShares,
) -> int:
    others = {
        member: _counted(member, want, book, now_ms, shares)
        for member in (
            *book.lent,
            *shares.sharers(want.upstream, want.limit_slots),
        )
        if member != holder
    }
    left = max(want.limit_slots - sum(others.values()), 0)
    wanted = {
        member: _wanted(member, counted, book, now_ms)
        for member, counted in others.items()
    }
    wanted[holder] = want.wanted
    entitled = _fair_part(want.limit_slots, wanted, holder)
    earlier = book.lent.get(holder)
    kept = min(want.in_use, earlier.slots, left) if earlier else 0
    return max(min(want.wanted, entitled, left), kept)


def _counted(
    member: str,
    want: SlotWant,
    book: _Book,
    now_ms: int,
    shares: SlotShares,
) -> int:
    share = shares.share_of(member, want.upstream, want.limit_slots)
    lent = book.lent.get(member)
    if lent is None:
        return share
    if lent.expires_ms > now_ms:
        return lent.slots
    return max(lent.slots, share)


def _wanted(member: str, counted: int, book: _Book, now_ms: int) -> int:
    lent = book.lent.get(member)
    if lent is None or lent.expires_ms <= now_ms:
        return counted
    return lent.wanted


def _fair_part(limit_slots: int, wanted: dict[str, int], holder: str) -> int:
    """Returns the max-min fair share of ``holder``."""
    left = limit_slots
    order = sorted(wanted, key=lambda member: (wanted[member], member))
    for position, member in enumerate(order):
        part = min(wanted[member], left // (len(order) - position))
        if member == holder:
            return part
        left -= part
    return 0


def _forget_ended(book: _Book, now_ms: int, shares: SlotShares) -> None:
    for member, lent in tuple(book.lent.items()):
        ended_ms = now_ms - lent.expires_ms
        if ended_ms > DRAIN_MS or (ended_ms > 0 and member not in shares):
            book.lent.pop(member)
