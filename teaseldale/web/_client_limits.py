"""Limits on what the clients of a server may occupy."""

import resource

import attrs

# Descriptors of log files, tables and the event loop itself.
_FILE_COUNT = 200
# Part of the other descriptors that is kept for runners, the store and VMs.
_OUTGOING_SHARE = 0.25
_LEAST_CONNECTIONS = 16


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits of all connections of one or several servers together."""

    connection_count: int
    # Requests that wait on a connection for the answers to earlier ones.
    pipelined_count: int = 32
    # While bytes or connections are short, a client is evicted that sent less
    # than the rate, or took nothing of its answer, for this long.
    stall_ms: int = 1000
    stall_bytes_per_second: int = 16_384
    # A client that takes nothing of an answer for this long is cut off.
    answer_stall_ms: int = 30_000
    # Whether a request runs on without its client, which can ask for the
    # answer again; then a stalled answer may be cut before its end.
    runs_outlast_clients: bool = False
    # Rest of a refused request that is read and dropped, so that the client
    # can read the refusal before the connection is closed.
    discarded_bytes: int = 4_194_304


def connection_count_of(descriptor_count: int) -> int:
    """Returns how many clients may connect to a process.

    ``descriptor_count`` is what the process may open; 0 if only the operating
    system limits it.
    """
    if descriptor_count <= 0:
        descriptor_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    socket_count = descriptor_count - _FILE_COUNT
    return max(
        _LEAST_CONNECTIONS,
        int(socket_count * (1 - _OUTGOING_SHARE)),
    )
