"""Order of names by hash, the same on every VM."""

from collections.abc import Iterable

import xxhash


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Returns ``names`` by their weight for ``key``, the highest first.

    A name that comes or goes moves no other names against each other.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def rendezvous(key: str, names: Iterable[str]) -> str:
    """Returns the name that ``key`` hashes to; empty if there is none."""
    return max(names, key=lambda name: _weight(key, name), default='')


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
