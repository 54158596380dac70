"""Counters of the bytes exchanged with one kind of peer."""

from teaseldale.metrics._metrics import Metrics


class PeerTraffic:
    """Counts bytes and new connections of one kind of peer.

    The counters are named after the kind, for example
    ``caller_bytes_received``, ``caller_bytes_sent`` and ``caller_connections``.
    """

    def __init__(self, *, metrics: Metrics, peer: str) -> None:
        """Counts in ``metrics``; ``peer`` is the start of the names."""
        self._metrics = metrics
        self._received_name = f'{peer}_bytes_received'
        self._sent_name = f'{peer}_bytes_sent'
        self._connections_name = f'{peer}_connections'

    def note_received(self, received_bytes: int) -> None:
        """Counts bytes that were read from a socket."""
        self._metrics.increment(self._received_name, amount=received_bytes)

    def note_sent(self, sent_bytes: int) -> None:
        """Counts bytes that were handed to a transport."""
        self._metrics.increment(self._sent_name, amount=sent_bytes)

    def note_connection(self) -> None:
        """Counts a new connection."""
        self._metrics.increment(self._connections_name)
