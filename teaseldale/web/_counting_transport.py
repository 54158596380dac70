"""Transport that counts the bytes that a server writes."""

from typing import Any

from teaseldale.metrics import PeerTraffic


class CountingTransport:
    """Counts written bytes; everything else is left to the transport.

    uvicorn writes to the transport of its protocol in several places, so that
    the bytes can only be counted here.
    """

    def __init__(self, *, transport: Any, traffic: PeerTraffic) -> None:
        """Wraps ``transport`` and counts in ``traffic``."""
        self._transport = transport
        self._traffic = traffic

    def __getattr__(self, name: str) -> Any:
        """Returns the attribute of the transport."""
        return getattr(self._transport, name)

    def write(self, content: bytes) -> None:
        """Counts and sends bytes."""
        self._traffic.note_sent(len(content))
        self._transport.write(content)
