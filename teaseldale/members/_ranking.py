"""Rendezvous hashing of names, identical on all VMs."""

from collections.abc import Iterable

import xxhash


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Returns ``names`` sorted by their weight for ``key``, highest first.

    Adding or removing a name keeps the relative order of the others.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def rendezvous(key: str, names: Iterable[str]) -> str:
    """Returns the name with the highest weight; empty without names."""
    return max(names, key=lambda name: _weight(key, name), default='')


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
