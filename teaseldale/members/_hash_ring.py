"""Consistent hashing of keys to VMs, for keys that change all the time."""

import bisect
from collections.abc import Mapping

import xxhash

from teaseldale.members._members import BaseFleetMembers, VmEntry

_RING_KEY = 'hash ring'


class HashRing:
    """Assigns each key to one VM in a time logarithmic in their number.

    A VM that joins or leaves moves the keys of one other VM only.
    """

    def __init__(self, *, members: BaseFleetMembers) -> None:
        """Follows the member list."""
        self._members = members
        self._revision = 0
        self._positions: list[tuple[int, str]] = []

    def owner_of(self, key: str) -> str:
        """Returns the VM of a key; empty if no VM is registered."""
        self._refresh_if_changed()
        if not self._positions:
            return ''
        index = bisect.bisect(self._positions, (_hash_of(key), ''))
        return self._positions[index % len(self._positions)][1]

    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the registered VMs by name."""
        return self._members.entries()

    def _refresh_if_changed(self) -> None:
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        self._positions = sorted(
            (_hash_of(f'{_RING_KEY}\0{name}'), name)
            for name in self._members.entries()
        )


def _hash_of(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
