"""HTTP exchange with the platform, shared by its clients."""

import abc

import attrs
import httpcore
import msgspec

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError, Step

_MS_PER_SECOND = 1000
_STATUS_OK = 200
_CONNECTION_LIMIT = 16


@attrs.frozen(kw_only=True)
class HttpReply:
    """A whole answer of the platform."""

    status: int
    content: bytes


@attrs.define(kw_only=True)
class _CountedPool:
    pool: httpcore.AsyncConnectionPool
    running_count: int = 0  # calls that use the pool now
    retired: bool = False  # to be closed once no call uses it


class BaseHttpExchange(abc.ABC):
    """Sends JSON to one service of the platform."""

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
        """Returns an answer of any status, or raises ``PlatformError``.

        ``timeout_ms`` replaces the client's own for a call that waits.
        """

    @abc.abstractmethod
    def failed(self, step: Step, reason: str) -> PlatformError:
        """Counts a failure and returns the error that tells of it."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class PlatformHttpClient(BaseHttpExchange):
    """Sends JSON to one platform service over pooled connections.

    A call without answer in time may have met a connection that something on
    the way has forgotten. Later calls then use fresh connections, so that
    each further one of the pool does not cost a call as well.
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

        A connection is given up after ``connect_timeout_ms``, if that is set,
        and each other wait after ``timeout_ms``.
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
        """Returns the body of a 200 answer, or raises ``PlatformError``."""
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
        """Returns an answer of any status, or raises ``PlatformError``."""
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
        return HttpReply(status=response.status, content=response.content)

    async def close(self) -> None:
        """Closes all pooled connections."""
        await self._current.pool.aclose()

    async def _request(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout_ms: int,
    ) -> httpcore.Response:
        used = self._current
        used.running_count += 1
        try:
            return await used.pool.request(
                method,
                self._base_url + path,
                headers={'content-type': 'application/json'},
                content=content,
                extensions=self._extensions(timeout_ms),
            )
        except httpcore.TimeoutException:
            self._retire(used)
            raise
        finally:
            await self._release(used)

    def _extensions(self, timeout_ms: int) -> dict[str, dict[str, float]]:
        timeout_seconds = timeout_ms / _MS_PER_SECOND
        return {
            'timeout': {
                'connect': self._connect_timeout_ms / _MS_PER_SECOND,
                'read': timeout_seconds,
                'write': timeout_seconds,
                'pool': timeout_seconds,
            },
        }

    def _retire(self, used: _CountedPool) -> None:
        if used is self._current:
            self._metrics.increment('platform_connections_renewed')
            used.retired = True
            self._current = _new_pool()

    async def _release(self, used: _CountedPool) -> None:
        used.running_count -= 1
        if used.retired and not used.running_count:
            await used.pool.aclose()

    def failed(self, step: Step, reason: str) -> PlatformError:
        """Counts a failure and returns the error that tells of it."""
        self._metrics.increment('platform_call_failed', reason)
        return PlatformError(step=step, peer=self._base_url, reason=reason)


def _new_pool() -> _CountedPool:
    return _CountedPool(
        pool=httpcore.AsyncConnectionPool(max_connections=_CONNECTION_LIMIT),
    )
