"""Limits of a VM and what they allow clients."""

import msgspec

from teaseldale.web import ClientLimits, connection_count_of

_BYTES_PER_MB = 1_000_000
_BYTES_PER_MBIT = 125_000
# Memory that a VM may use at the target size.
_DEFAULT_MEMORY_MB = 256


class VmLimits(msgspec.Struct):
    """Limits of a VM, as named in its settings file."""

    # 0 if there is no limit.
    memory_mb: float = msgspec.field(name='MemoryMb', default=0)
    # 0 if the rate is not known.
    link_mbps: float = msgspec.field(name='LinkMbps', default=0)
    descriptor_count: int = msgspec.field(name='MaxFds', default=0)
    # Derived from the descriptors if it is 0.
    connection_count: int = msgspec.field(name='MaxClientConns', default=0)
    pipelined_count: int = msgspec.field(name='MaxPipelined', default=32)
    stall_ms: int = msgspec.field(name='ClientStallMs', default=1000)
    stall_bytes_per_second: int = msgspec.field(
        name='ClientStallBytesPerS',
        default=16_384,
    )
    answer_stall_ms: int = msgspec.field(name='AnswerStallMs', default=30_000)
    discarded_bytes: int = msgspec.field(
        name='MaxDiscardBytes',
        default=4_194_304,
    )


def memory_bytes_of(limits: VmLimits) -> int:
    """Returns the memory that a process may use."""
    memory_mb = limits.memory_mb if limits.memory_mb > 0 else _DEFAULT_MEMORY_MB
    return int(memory_mb * _BYTES_PER_MB)


def link_bytes_per_s_of(limits: VmLimits) -> int:
    """Returns the rate of the VM's link; 0 if it is not known."""
    return max(0, int(limits.link_mbps * _BYTES_PER_MBIT))


def client_limits_of(limits: VmLimits) -> ClientLimits:
    """Returns what all clients together may occupy."""
    most_count = connection_count_of(limits.descriptor_count)
    return ClientLimits(
        connection_count=limits.connection_count or most_count,
        pipelined_count=limits.pipelined_count,
        stall_ms=limits.stall_ms,
        stall_bytes_per_second=limits.stall_bytes_per_second,
        answer_stall_ms=limits.answer_stall_ms,
        discarded_bytes=limits.discarded_bytes,
    )
