"""Datagrams with which VMs tell each other their placements."""

import zlib

import msgspec

# Kinds, the first byte of a datagram. A notice has all counts of its sender and
# replaces earlier ones; a delta has some of them. Builds that cannot read
# deltas ignore their kind.
PLACEMENT_NOTICE = b'p'
PLACEMENT_DELTA = b'P'


class RunnerCounts(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One VM's requests at one runner; encoded as an array."""

    runner: str
    running_count: int
    unread_tokens: int


class ReadPart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A shared prompt part that was sent to a runner."""

    runner: str
    part_id: str


class PlacementNotice(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    kw_only=True,
):
    """Placement counts that a VM sends to VMs that read no deltas."""

    vm_name: str
    counts: tuple[RunnerCounts, ...]  # runners with work of this VM
    new_parts: tuple[ReadPart, ...]  # since the sender's previous notice
    # Incarnations that have announced in answers that they leave. VMs of
    # earlier versions send none, and ignore those of others.
    leaving: tuple[str, ...] = ()


class PlacementDelta(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    kw_only=True,
):
    """Counts at some runners, which replace earlier ones at these runners.

    Runners are named by ``runner_code``. Counts are totals and no differences,
    so that each of them makes up for lost ones of its runner.
    """

    vm_name: str
    number: int  # increases with each delta of the sender
    # For each runner its code, running requests and unread tokens.
    counts: tuple[tuple[int, int, int], ...]
    new_parts: tuple[tuple[int, str], ...]  # runner code and part id
    leaving: tuple[str, ...]  # as in ``PlacementNotice``
    # Random number of the sender's process; 0 from earlier builds.
    process_id: int = 0
    # Encoded ``PaceObservation``. VMs of earlier builds send none, and ignore
    # those of others.
    paces: bytes = b''


def encode_delta(delta: PlacementDelta) -> bytes:
    """Encodes a delta, without paces if it has none.

    Deltas share a small byte budget: each byte delays the next one.
    """
    fields = msgspec.structs.astuple(delta)
    if not delta.paces:
        fields = fields[:-1]
    return msgspec.msgpack.encode(fields)


def runner_code(runner: str) -> int:
    """Returns the short name of a runner in deltas."""
    return zlib.crc32(runner.encode())
