"""Pooled HTTP client shared by the clients of the platform's services."""

import abc
from collections.abc import Sequence
from typing import TypeVar

import attrs
import httpcore
import msgspec

from teaseldale.fetching import FetchedResponse, FetchLimits, fetch
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError, Step

_MS_PER_SECOND = 1000
_STATUS_OK = 200
_CONNECTION_LIMIT = 16
_DecodedT = TypeVar('_DecodedT')
_BODY_LIMITS = FetchLimits(body_bytes=16_777_216)


@attrs.frozen(kw_only=True)
class HttpReply:
    """HTTP response of the platform with its complete body."""

    status: int
    content: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()


@attrs.define(kw_only=True)
class _CountedPool:
    pool: httpcore.AsyncConnectionPool
    running_count: int = 0  # calls in flight on this pool
    retired: bool = False  # close it when its last call ends


class BaseHttpExchange(abc.ABC):
    """Interface of a JSON client for one service of the platform."""

    @abc.abstractmethod
    async def exchange(
        self,
        *,
        step: Step,
        method: str,
        path: str,
        body: object = None,
        timeout_ms: int | None = None,
    ) -> HttpReply:
        """Returns the response, whatever its status.

        ``timeout_ms`` overrides the client's own time-out, for long polls.
        Raises ``PlatformError`` on a time-out, network or protocol error.
        """

    @abc.abstractmethod
    def failed(self, step: Step, reason: str) -> PlatformError:
        """Counts a failed call and returns the error to raise."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

    def decode(
        self,
        step: Step,
        content: bytes,
        decoder: msgspec.json.Decoder[_DecodedT],
    ) -> _DecodedT:
        """Returns a decoded JSON answer.

        Raises ``PlatformError`` if the answer is truncated or malformed.
        """
        try:
            return decoder.decode(content)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise self.failed(step, 'unreadable answer') from error


class PlatformHttpClient(BaseHttpExchange):
    """Sends JSON to one platform service over pooled connections.

    A call that times out may have used a connection whose state was lost on
    the network path, and other pooled connections may be dead as well. Later
    calls therefore use a new pool; otherwise each dead connection would cost
    one call. Calls in flight finish on the old pool.
    """

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: int,
        metrics: Metrics | None = None,
        connect_timeout_ms: int | None = None,
    ) -> None:
        """Creates a client for ``base_url``, such as ``http://10.0.0.1:80``.

        ``connect_timeout_ms`` limits the time to connect and defaults to
        ``timeout_ms``, which limits each read, write and wait for the pool.
        """
        self._base_url = base_url
        self._metrics = metrics or Metrics()
        self._timeout_ms = timeout_ms
        self._connect_timeout_ms = connect_timeout_ms or timeout_ms
        self._current = _new_pool()

    async def call(
        self,
        *,
        step: Step,
        method: str,
        path: str,
        body: object = None,
    ) -> bytes:
        """Returns the body of a 200 response, or raises ``PlatformError``."""
        reply = await self.exchange(
            step=step,
            method=method,
            path=path,
            body=body,
        )
        if reply.status != _STATUS_OK:
            raise self.failed(step, f'status {reply.status}')
        return reply.content

    async def exchange(
        self,
        *,
        step: Step,
        method: str,
        path: str,
        body: object = None,
        timeout_ms: int | None = None,
    ) -> HttpReply:
        """Returns the response, whatever its status.

        Raises ``PlatformError`` on a time-out, network or protocol error.
        """
        content = b'' if body is None else msgspec.json.encode(body)
        self._metrics.increment('store_calls')
        self._metrics.increment('store_bytes_sent', amount=len(content))
        try:
            response = await self._request(
                method,
                path,
                content,
                timeout_ms or self._timeout_ms,
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise self.failed(step, type(error).__name__) from error
        self._metrics.increment(
            'store_bytes_received',
            amount=len(response.content),
        )
        return HttpReply(
            status=response.status,
            content=response.content,
            headers=response.headers,
        )

    async def close(self) -> None:
        """Closes all pooled connections."""
        await self._current.pool.aclose()

    async def _request(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout_ms: int,
    ) -> FetchedResponse:
        counted_pool = self._current
        counted_pool.running_count += 1
        try:
            return await fetch(
                counted_pool.pool,
                method=method,
                url=self._base_url + path,
                limits=_BODY_LIMITS,
                headers={'content-type': 'application/json'},
                content=content,
                timeouts=self._timeouts(timeout_ms),
            )
        except httpcore.TimeoutException:
            self._replace_pool(counted_pool)
            raise
        finally:
            await self._release(counted_pool)

    def _timeouts(self, timeout_ms: int) -> dict[str, float]:
        timeout_seconds = timeout_ms / _MS_PER_SECOND
        return {
            'connect': self._connect_timeout_ms / _MS_PER_SECOND,
            'read': timeout_seconds,
            'write': timeout_seconds,
            'pool': timeout_seconds,
        }

    def _replace_pool(self, counted_pool: _CountedPool) -> None:
        if counted_pool is self._current:
            self._metrics.increment('platform_connections_renewed')
            counted_pool.retired = True
            self._current = _new_pool()

    async def _release(self, counted_pool: _CountedPool) -> None:
        counted_pool.running_count -= 1
        if counted_pool.retired and not counted_pool.running_count:
            await counted_pool.pool.aclose()

    def failed(self, step: Step, reason: str) -> PlatformError:
        """Counts a failed call and returns the error to raise."""
        self._metrics.increment('platform_call_failed', reason)
        return PlatformError(step=step, peer=self._base_url, reason=reason)


def _new_pool() -> _CountedPool:
    return _CountedPool(
        pool=httpcore.AsyncConnectionPool(max_connections=_CONNECTION_LIMIT),
    )
