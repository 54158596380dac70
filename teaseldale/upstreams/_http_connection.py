"""Connections for httpcore pools that parse responses with httptools."""

import asyncio
import time
from collections.abc import AsyncIterator

import httpcore

from teaseldale.upstreams._response_protocol import ResponseProtocol

_KEEP_ALIVE_SECONDS = 60
_HEAD_METHOD = b'HEAD'
_LINE_END = b'\r\n'


class UpstreamPool(httpcore.AsyncConnectionPool):
    """Connection pool for streams of many small events."""

    def __init__(
        self,
        *,
        max_connections: int,
        reuses_connections: bool = True,
    ) -> None:
        """Creates a pool; without reuse, no connection is kept alive."""
        super().__init__(
            max_connections=max_connections,
            max_keepalive_connections=(
                max_connections if reuses_connections else 0
            ),
            keepalive_expiry=_KEEP_ALIVE_SECONDS,
        )

    def create_connection(
        self,
        origin: httpcore.Origin,
    ) -> httpcore.AsyncConnectionInterface:
        """Returns a connection that is opened by its first request."""
        return UpstreamConnection(origin=origin)


class UpstreamConnection(httpcore.AsyncConnectionInterface):
    """HTTP/1.1 connection that serves one request at a time."""

    def __init__(self, *, origin: httpcore.Origin) -> None:
        """Creates a connection that is opened by its first request."""
        self._origin = origin
        self._transport: asyncio.Transport | None = None
        self._protocol: ResponseProtocol | None = None
        self._is_busy = False
        self._is_closed = False
        self._idle_since = time.monotonic()

    async def handle_async_request(
        self,
        request: httpcore.Request,
    ) -> httpcore.Response:
        """Sends a request and returns when the response head has arrived."""
        if self._is_busy or self._is_closed:
            raise httpcore.ConnectionNotAvailable
        self._is_busy = True
        try:
            return await self._exchange(request)
        except BaseException:
            self._close()
            raise

    async def aclose(self) -> None:
        """Closes the connection."""
        self._close()

    def info(self) -> str:
        """Returns a description of the connection."""
        return repr(self)

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Returns whether the connection belongs to ``origin``."""
        return origin == self._origin

    def is_available(self) -> bool:
        """Returns whether the connection can take a request now."""
        return self.is_idle() and not self.is_closed()

    def has_expired(self) -> bool:
        """Returns whether the connection is lost or past its keep-alive."""
        if self._protocol is None or self._is_busy:
            return False
        idle_seconds = time.monotonic() - self._idle_since
        return self._protocol.is_lost or idle_seconds > _KEEP_ALIVE_SECONDS

    def is_idle(self) -> bool:
        """Returns whether the connection is open and serves no request."""
        return self._protocol is not None and not self._is_busy

    def is_closed(self) -> bool:
        """Returns whether the connection is closed for good."""
        return self._is_closed

    def release(self) -> None:
        """Ends a request; closes the connection if it cannot be reused."""
        self._is_busy = False
        self._idle_since = time.monotonic()
        if self._protocol is None or not self._protocol.can_be_reused:
            self._close()

    async def _exchange(self, request: httpcore.Request) -> httpcore.Response:
        timeouts = request.extensions.get('timeout', {})
        transport, protocol = await self._ensure_connected(
            timeouts.get('connect')
        )
        protocol.expect()
        transport.write(_encode_head(request))
        async for chunk in _body_chunks(request):
            transport.write(chunk)
            await protocol.drain(timeouts.get('write'))
        await protocol.wait_for_head(timeouts.get('read'))
        return httpcore.Response(
            status=protocol.status,
            headers=protocol.headers,
            content=_Body(
                connection=self,
                protocol=protocol,
                timeout_seconds=timeouts.get('read'),
                is_empty=request.method == _HEAD_METHOD,
            ),
        )

    async def _ensure_connected(
        self,
        timeout_seconds: float | None,
    ) -> tuple[asyncio.Transport, ResponseProtocol]:
        if self._protocol is None:
            opened = await _connect(self._origin, timeout_seconds)
            self._transport = opened[0]
            self._protocol = opened[1]
        if self._transport is None:
            raise httpcore.ConnectError('the connection was closed')
        return self._transport, self._protocol

    def _close(self) -> None:
        self._is_closed = True
        self._is_busy = False
        if self._transport is not None:
            self._transport.close()


class _Body:
    def __init__(
        self,
        *,
        connection: UpstreamConnection,
        protocol: ResponseProtocol,
        timeout_seconds: float | None,
        is_empty: bool,
    ) -> None:
        self._connection = connection
        self._protocol = protocol
        self._timeout_seconds = timeout_seconds
        self._is_empty = is_empty

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while not self._is_empty:
            received = await self._protocol.read(self._timeout_seconds)
            if not received:
                return
            yield received

    async def aclose(self) -> None:
        self._connection.release()


async def _connect(
    origin: httpcore.Origin,
    timeout_seconds: float | None,
) -> tuple[asyncio.Transport, ResponseProtocol]:
    try:
        async with asyncio.timeout(timeout_seconds):
            return await asyncio.get_running_loop().create_connection(
                ResponseProtocol,
                origin.host.decode(),
                origin.port,
            )
    except TimeoutError as timeout:
        raise httpcore.ConnectTimeout from timeout
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error


async def _body_chunks(request: httpcore.Request) -> AsyncIterator[bytes]:
    if isinstance(request.stream, bytes):
        yield request.stream
        return
    async for chunk in request.stream:  # type: ignore[union-attr]
        yield chunk


def _encode_head(request: httpcore.Request) -> bytes:
    lines = [b'%s %s HTTP/1.1' % (request.method, request.url.target)]
    lines.extend(b'%s: %s' % header for header in request.headers)
    if any(b'\r' in line or b'\n' in line for line in lines):
        raise httpcore.LocalProtocolError('header contains a line break')
    return _LINE_END.join((*lines, b'', b''))
