"""uvicorn inside our own event loop, without its signal handling."""

import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import uvicorn
from anyio.abc import TaskGroup

from teaseldale.web._exchange import Exchange

_POLL_MS = 5
_MS_PER_SECOND = 1000


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class EmbeddedServer:
    """Serves one address; each exchange runs in its own task."""

    def __init__(
        self,
        *,
        address: str,
        respond: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        """Creates a server for ``address``, an "ip:port"."""
        host, _, port = address.rpartition(':')
        self._respond = respond
        self._server = _Server(
            uvicorn.Config(
                self._application,
                host=host,
                port=int(port),
                loop='none',
                http='httptools',
                interface='asgi3',
                proxy_headers=False,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                timeout_keep_alive=75,
                date_header=False,
                server_header=False,
            ),
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Returns once the address accepts connections."""
        tasks.start_soon(self._server.serve)
        while not self._server.started:
            await anyio.sleep(_POLL_MS / _MS_PER_SECOND)

    async def stop(self) -> None:
        """Stops accepting and waits until open exchanges have ended."""
        self._server.should_exit = True
        while self._server.server_state.connections:
            await anyio.sleep(_POLL_MS / _MS_PER_SECOND)

    async def _application(
        self,
        scope: dict[str, Any],
        receive: Any,
        send: Any,
    ) -> None:
        exchange = Exchange(scope=scope, receive=receive, send=send)
        await self._respond(exchange)
