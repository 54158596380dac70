"""A runner on loopback that answers each connection with given bytes."""

import asyncio
import contextlib
import socket
import struct

_BACKLOG = 16
_ABORTIVE_CLOSE = struct.pack('ii', 1, 0)
_PIECE_BYTES = 16_384


class ListeningRunner:
    """Accepts connections until it ends; sends an answer on each."""

    def __init__(
        self,
        *,
        answer,
        ends=False,
        ends_direction=True,
        reset_after_ms=None,
        pause_ms=0,
    ):
        """Closes the listener before the answer's end if ``ends`` is set.

        The parts of the answer are sent ``pause_ms`` apart. Without
        ``ends_direction``, nothing but a reset ends the answer.
        """
        self._pause_ms = pause_ms
        self.sent_bytes = 0
        self._answer = answer
        self._ends = ends
        self._ends_direction = ends_direction
        self._reset_after_ms = reset_after_ms
        self._listener = socket.create_server(
            ('127.0.0.1', 0),
            backlog=_BACKLOG,
        )
        self._listener.setblocking(False)
        self._tasks = set()
        self.ip, self.port = self._listener.getsockname()

    @contextlib.asynccontextmanager
    async def serving(self):
        """Serves connections within the block."""
        accepting = asyncio.create_task(self._accept())
        try:
            yield self
        finally:
            tasks = {accepting, *self._tasks}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._listener.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            connection.setblocking(False)
            self._tasks.add(asyncio.create_task(self._serve(connection)))

    async def _serve(self, connection):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError), connection:
            if not await loop.sock_recv(connection, _PIECE_BYTES):
                return
            for part in self._answer:
                await loop.sock_sendall(connection, part)
                self.sent_bytes += len(part)
                await _pause(self._pause_ms)
            if self._ends:
                loop.remove_reader(self._listener)
                self._listener.close()
            if self._ends_direction:
                connection.shutdown(socket.SHUT_WR)
            if self._reset_after_ms is not None:
                await _pause(self._reset_after_ms)
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    _ABORTIVE_CLOSE,
                )


async def _pause(duration_ms):
    """Does not give way without a duration, so that bytes and end coincide."""
    if duration_ms:
        await asyncio.sleep(duration_ms / 1000)
