"""Deterministic division of a runner's slots among VMs."""

from collections.abc import Sequence

import xxhash

from teaseldale.members import rendezvous


class SlotShares:
    """Fixed shares and slot owners for one set of live VMs."""

    def __init__(self, *, members: Sequence[str]) -> None:
        """Divides slots among ``members``, given in any order."""
        self.members = tuple(sorted(members))
        self._positions = {
            member: position for position, member in enumerate(self.members)
        }
        self._owners: dict[str, str] = {}

    def __contains__(self, member: str) -> bool:
        """Whether the VM is one of the members."""
        return member in self._positions

    def owner_of(self, upstream: str) -> str:
        """Returns the VM that grants leases for the runner's slots."""
        owner = self._owners.get(upstream)
        if owner is None:
            owner = rendezvous(upstream, self.members)
            self._owners[upstream] = owner
        return owner

    def share_of(self, member: str, upstream: str, limit_slots: int) -> int:
        """Returns the slots that a VM may use while it is partitioned.

        The shares of all members add up to ``limit_slots``.
        """
        position = self._positions.get(member)
        if position is None:
            return 0
        count = len(self.members)
        whole, extra = divmod(limit_slots, count)
        distance = (position - _first_position(upstream)) % count
        return whole + 1 if distance < extra else whole

    def sharers(self, upstream: str, limit_slots: int) -> Sequence[str]:
        """Returns the VMs whose share is at least one slot."""
        count = len(self.members)
        if limit_slots >= count:
            return self.members
        first = _first_position(upstream)
        return [
            self.members[(first + step) % count] for step in range(limit_slots)
        ]


def _first_position(upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(upstream.encode())
