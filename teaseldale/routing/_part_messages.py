"""Datagrams by which VMs find runners that cache a shared prompt part."""

import msgspec

PART_PLACED = b'h'
PART_QUERY = b'f'
PART_ANSWER = b'g'


class PartPlaced(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tells the owner of a part that a prompt with it was sent to a runner."""

    part_id: str
    runner: str


class PartQuery(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks the owner of a part which runner caches it."""

    vm_name: str  # that asks
    query_id: int
    part_id: str


class PartAnswer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Answers a query; the runner is empty if none is known."""

    query_id: int
    runner: str = ''
