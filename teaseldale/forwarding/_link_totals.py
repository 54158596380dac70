"""Bytes that cross the VM's link, computed from its counters."""

from teaseldale.metrics import Metrics
from teaseldale.routing import LinkTotals

# Counted peers; the names of their counters start with these.
TRAFFIC_PEERS = ('caller', 'client', 'runner', 'tunnel')
_RECEIVED_COUNTERS = (
    *(f'{peer}_bytes_received' for peer in TRAFFIC_PEERS),
    'store_bytes_received',
    'datagram_bytes_received',
)
_SENT_COUNTERS = (
    *(f'{peer}_bytes_sent' for peer in TRAFFIC_PEERS),
    'store_bytes_sent',
    'datagram_bytes_sent',
)
# Headers of IP and TCP relative to the payload of a full packet.
_PACKET_SHARE = 0.04
# Packets that open, acknowledge and close a connection, in each direction.
_CONNECTION_BYTES = 300
_DATAGRAM_BYTES = 28  # headers of IP and UDP


def read_link_totals(metrics: Metrics) -> LinkTotals:
    """Returns the bytes in both directions, with estimated packet headers."""
    connection_bytes = _CONNECTION_BYTES * (
        metrics.counter_value('caller_connections')
        + metrics.counter_value('runner_connections_opened')
    )
    return LinkTotals(
        received_bytes=_total(
            metrics,
            _RECEIVED_COUNTERS,
            connection_bytes
            + _DATAGRAM_BYTES * metrics.counter_value('datagrams_received'),
        ),
        sent_bytes=_total(
            metrics,
            _SENT_COUNTERS,
            connection_bytes
            + _DATAGRAM_BYTES * metrics.counter_value('datagrams_sent'),
        ),
    )


def _total(
    metrics: Metrics,
    counters: tuple[str, ...],
    added_bytes: int,
) -> int:
    payload_bytes = sum(map(metrics.counter_value, counters))
    return int(payload_bytes * (1 + _PACKET_SHARE)) + added_bytes
