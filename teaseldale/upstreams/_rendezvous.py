"""Rendezvous hashing: every VM picks the same of several names."""

from collections.abc import Iterable

import xxhash


def rendezvous(key: str, names: Iterable[str]) -> str:
    """Returns the name that ``key`` hashes to; empty if there is none."""
    return max(names, key=lambda name: _weight(key, name), default='')


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
