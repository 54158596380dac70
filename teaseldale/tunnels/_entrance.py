"""The end of a tunnel at which the relaying VM serves the one that asked."""

from teaseldale.tunnels._handshake import (
    LAST_CHUNK,
    TunnelReply,
    encode_chunk,
    encode_reply,
)
from teaseldale.tunnels._head_reader import HeadReader
from teaseldale.upstreams import EndFinding


class Entrance(HeadReader):
    """Reads the request for a tunnel and sends the runner's bytes."""

    def __init__(self) -> None:
        """Sends bytes as they are until a reply announces chunks."""
        super().__init__()
        self._sends_chunks = False

    def reply(self, reply: TunnelReply) -> None:
        """Sends the answer to the request; it applies to the bytes after it."""
        self.write(encode_reply(reply))
        self._sends_chunks = reply.sends_chunks

    def write(self, content: bytes) -> None:
        """Sends bytes of the runner unless the connection is lost."""
        super().write(encode_chunk(content) if self._sends_chunks else content)

    def write_end(self, finding: EndFinding = EndFinding.NONE) -> None:
        """Sends the end of the runner's direction, and what it was found to be.

        A VM that accepts no chunks can be told of a fault by a reset only.
        """
        if self._sends_chunks and finding.is_complete:
            self._sends_chunks = False
            self.write(LAST_CHUNK)
        elif finding and not (self._sends_chunks or finding.is_complete):
            self.reset()
        super().write_end(finding)
