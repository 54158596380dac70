"""Reads the head that begins a tunnel's connection."""

import asyncio

from teaseldale.tunnels._handshake import HEAD_END, MAX_HEAD_BYTES
from teaseldale.tunnels._pipe import PipeEnd


class HeadReader(PipeEnd):
    """End of a pipe whose connection begins with a head."""

    def __init__(self) -> None:
        """Expects a head; bytes after it are part of the tunnel."""
        super().__init__()
        self._received = bytearray()
        loop = asyncio.get_running_loop()
        self._head: asyncio.Future[bytes] = loop.create_future()

    async def read_head(self, timeout_seconds: float) -> bytes:
        """Returns the head.

        Raises ``OSError`` if the connection ends before it or it takes too
        long, and ``ValueError`` if it is too long.
        """
        async with asyncio.timeout(timeout_seconds):
            return await self._head

    def data_received(self, received: bytes) -> None:
        """Collects the head, then forwards."""
        if self._head.done():
            super().data_received(received)
            return
        self._received += received
        head, separator, rest = bytes(self._received).partition(HEAD_END)
        if separator and not rest:
            self._head.set_result(head + HEAD_END)
        elif separator or len(self._received) > MAX_HEAD_BYTES:
            self._head.set_exception(ValueError('the head is malformed'))

    def eof_received(self) -> bool:
        """Fails an incomplete head, or forwards the end."""
        if self._head.done():
            return super().eof_received()
        self._head.set_exception(ConnectionError('ended before the head'))
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails an incomplete head, or ends the pipe."""
        if not self._head.done():
            self._head.set_exception(ConnectionError('lost before the head'))
        super().connection_lost(error)
