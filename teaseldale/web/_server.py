"""uvicorn embedded in a running event loop, without signal handling."""

import asyncio
import contextlib
import functools
import logging
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio
import uvicorn
from anyio.abc import TaskGroup

from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.web._acceptor import Acceptor
from teaseldale.web._client_connections import (
    ClientConnections,
    unlimited_clients,
)
from teaseldale.web._exchange import CallerGoneError, Exchange, NoRoomError
from teaseldale.web._head_limits import HeadLimits, HeadLimitsSource
from teaseldale.web._parse_refusals import no_room
from teaseldale.web._protocol import GuardedProtocol

_POLL_MS = 5
# Interval of the shutdown poll; long, because most polls find nothing to do.
_SHUTDOWN_POLL_MS = 500
_MS_PER_SECOND = 1000
_BACKLOG = 2048


class _Server(uvicorn.Server):
    def __init__(
        self,
        config: uvicorn.Config,
        clients: ClientConnections,
    ) -> None:
        super().__init__(config)
        self._clients = clients

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        acceptors = [
            Acceptor(
                listener=listener,
                clients=self._clients,
                create_protocol=self._create_protocol,
            )
            for listener in sockets or ()
        ]
        for acceptor in acceptors:
            acceptor.start()
        self.servers: Any = acceptors
        self.started = True

    def _create_protocol(self) -> asyncio.Protocol:
        protocol_class: Any = self.config.http_protocol_class
        protocol: asyncio.Protocol = protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state={},
        )
        return protocol

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def main_loop(self) -> None:
        # uvicorn itself polls for shutdown ten times a second and sets default
        # headers that are not used here.
        while not self.should_exit:
            await anyio.sleep(_SHUTDOWN_POLL_MS / _MS_PER_SECOND)


class EmbeddedServer:
    """HTTP server on one address; each exchange runs in its own task."""

    def __init__(
        self,
        *,
        address: str,
        respond: Callable[[Exchange], Awaitable[None]],
        metrics: Metrics | None = None,
        refusals_counter: str = 'refusals',
        peer: str = 'client',
        limits: HeadLimitsSource = HeadLimits,
        clients: ClientConnections | None = None,
    ) -> None:
        """Creates a server for ``address``, given as "ip:port".

        Requests refused before ``respond`` is called are counted in
        ``refusals_counter`` of ``metrics``, and the bytes of connections in
        counters whose names start with ``peer``. ``clients`` bounds what
        clients occupy; None if they are trusted.
        """
        self._address = address
        self._respond = respond
        self._metrics = metrics or Metrics()
        self._refusals_counter = refusals_counter
        self.limits = limits  # called for each request
        self._log = StateLog(channel='web')
        logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
        connections = clients or unlimited_clients(self._metrics)
        self._server = _Server(
            uvicorn.Config(
                self._application,
                loop='none',
                http=functools.partial(  # type: ignore[arg-type]
                    GuardedProtocol,
                    on_refused=self._count_refused,
                    limits=limits,
                    traffic=PeerTraffic(metrics=self._metrics, peer=peer),
                    clients=connections,
                ),
                interface='asgi3',
                proxy_headers=False,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                date_header=False,
                server_header=False,
            ),
            connections,
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Starts serving; returns once the address accepts connections.

        Raises ``OSError`` if the address cannot be bound.
        """
        listener = _listen(self._address)
        tasks.start_soon(self._server.serve, [listener])
        while not self._server.started:
            await anyio.sleep(_POLL_MS / _MS_PER_SECOND)

    async def stop(self) -> None:
        """Stops accepting connections and waits until open ones have ended."""
        self._server.should_exit = True
        while self._server.server_state.connections:
            await anyio.sleep(_POLL_MS / _MS_PER_SECOND)

    def _count_refused(self, refusal: Refusal) -> None:
        self._metrics.increment(self._refusals_counter, refusal.code)

    async def _application(
        self,
        scope: dict[str, Any],
        receive: Any,
        send: Any,
    ) -> None:
        exchange = Exchange(scope=scope, receive=receive, send=send)
        try:
            await self._respond(exchange)
        except CallerGoneError:
            self._metrics.increment('callers_gone')
        except NoRoomError:
            refusal = no_room()
            self._count_refused(refusal)
            await exchange.refuse(refusal)
        except Exception as error:
            await self._handle_error(exchange, error)

    async def _handle_error(self, exchange: Exchange, error: Exception) -> None:
        reason = type(error).__name__
        self._metrics.increment('responder_failures', reason)
        self._log.changed('responder_failed', reason=reason, text=str(error))
        await exchange.refuse(_internal_error())


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    try:
        return socket.create_server(
            (host.strip('[]'), int(port)),
            family=family,
            backlog=_BACKLOG,
        )
    except OSError as error:
        raise OSError(f'{address}: {error.strerror}') from error


def _internal_error() -> Refusal:
    return Refusal(
        code=RefusalCode.INTERNAL_ERROR,
        message='The VM failed; send the request again with its key.',
        not_run=False,
        step=Step.PARSE,
    )
