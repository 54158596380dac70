"""Accepts connections only while there are descriptors for them."""

import asyncio
import socket
from collections.abc import Callable

from teaseldale.logs import StateLog
from teaseldale.web._client_connections import ClientConnections

# Accepted in one turn of the event loop, so that others get their turn.
_MOST_AT_ONCE = 32
_RETRY_SECONDS = 0.05  # while no connection can be opened or closed


class Acceptor:
    """Accepts from one listening socket.

    It looks for room before each connection, whereas a server of the event
    loop accepts all that wait before the first can be refused.
    """

    def __init__(
        self,
        *,
        listener: socket.socket,
        clients: ClientConnections,
        create_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Accepts nothing before ``start``."""
        self._listener = listener
        self._clients = clients
        self._create_protocol = create_protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._log = StateLog(channel='web')

    def start(self) -> None:
        """Accepts connections from now on."""
        self._listener.setblocking(False)
        self._retry = None
        self._loop.add_reader(self._listener, self._accept_waiting)

    def close(self) -> None:
        """Accepts no more connections."""
        self._loop.remove_reader(self._listener)
        if self._retry is not None:
            self._retry.cancel()

    async def wait_closed(self) -> None:
        """Returns at once; open connections are waited for elsewhere."""

    def _accept_waiting(self) -> None:
        for _ in range(_MOST_AT_ONCE):
            if not self._clients.try_open():
                self._pause('no_room')
                return
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                self._clients.note_opened()
                return
            except OSError as error:
                self._clients.note_opened()
                self._pause(str(error.strerror))
                return
            self._begin(connection)

    def _pause(self, reason: str) -> None:
        self._log.routine(
            'accepts_paused',
            server=self._clients.name,
            reason=reason,
            connections=self._clients.count,
        )
        self._loop.remove_reader(self._listener)
        self._retry = self._loop.call_later(_RETRY_SECONDS, self.start)

    def _begin(self, connection: socket.socket) -> None:
        task = self._loop.create_task(self._open(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(
                self._create_protocol,
                connection,
            )
        except OSError as error:
            # The client has closed the connection already.
            self._log.routine('accept_failed', reason=str(error))
            connection.close()
        finally:
            self._clients.note_opened()
