"""Clients of the load and cache-event endpoints of runners."""

import abc
from typing import TypeVar

import attrs
import httpcore
import msgspec

from teaseldale.fetching import FetchedResponse, FetchLimits, fetch
from teaseldale.metrics import Metrics
from teaseldale.notes import Upstream
from teaseldale.upstreams._http_connection import UpstreamPool

_MS_PER_SECOND = 1000
_TIMEOUT_MS = 1000
_MAX_CONNECTIONS = 256
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_LIMITS = FetchLimits(body_bytes=262_144, total_ms=2 * _TIMEOUT_MS)
_TIMEOUTS = dict.fromkeys(
    ('connect', 'read', 'write', 'pool'),
    _TIMEOUT_MS / _MS_PER_SECOND,
)
_ReportT = TypeVar('_ReportT')


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of a runner at the time of its report."""

    running: int  # requests from all VMs
    slot_count: int
    leaving: bool = False  # the runner announces that it will stop


@attrs.frozen(kw_only=True)
class CacheChange:
    """Change of a runner's prompt cache, in the terms of the engine."""

    sequence: int
    action: str  # "stored" or "evicted"
    block_hash: int


@attrs.frozen(kw_only=True)
class CacheChanges:
    """Changes after a sequence number; may be delayed and incomplete."""

    events: tuple[CacheChange, ...] = ()
    block_characters: int = 64  # prompt characters of one block


class BaseRunnerReports(abc.ABC):
    """Reads reports of runners; returns None if no report is available."""

    @abc.abstractmethod
    async def is_up(self, upstream: Upstream) -> bool:
        """Returns whether the upstream responds on a new connection."""

    @abc.abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Returns the load of a runner."""

    @abc.abstractmethod
    async def cache_changes(
        self,
        upstream: Upstream,
        *,
        after: int,
    ) -> CacheChanges | None:
        """Returns the changes after the sequence number ``after``."""


class HttpRunnerReports(BaseRunnerReports):
    """Reads reports over HTTP."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Creates a client; counts reports that cannot be read."""
        self._metrics = metrics
        self._pool = UpstreamPool(max_connections=_MAX_CONNECTIONS)
        self._fresh_pool = UpstreamPool(
            max_connections=_MAX_CONNECTIONS,
            reuses_connections=False,
        )

    async def is_up(self, upstream: Upstream) -> bool:
        """Requests the load page; any response other than 503 means up.

        Plain services have no such page and respond with 404.
        """
        response = await self._fetch(self._fresh_pool, f'{upstream.url}/load')
        return response is not None and response.status != _STATUS_UNAVAILABLE

    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Returns the load from ``/load``."""
        body = await self._get(f'{upstream.url}/load')
        return _decode_report(body, LoadReport)

    async def cache_changes(
        self,
        upstream: Upstream,
        *,
        after: int,
    ) -> CacheChanges | None:
        """Returns the cache events from ``/cache_events``."""
        body = await self._get(f'{upstream.url}/cache_events?after={after}')
        return _decode_report(body, CacheChanges)

    async def _get(self, url: str) -> bytes | None:
        response = await self._fetch(self._pool, url)
        if response is None or response.status != _STATUS_OK:
            return None
        return response.content

    async def _fetch(
        self,
        pool: httpcore.AsyncConnectionPool,
        url: str,
    ) -> FetchedResponse | None:
        try:
            return await fetch(
                pool,
                method='GET',
                url=url,
                limits=_LIMITS,
                timeouts=_TIMEOUTS,
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            self._metrics.increment(
                'runner_reports_failed',
                type(error).__name__,
            )
            return None


def _decode_report(body: bytes | None, kind: type[_ReportT]) -> _ReportT | None:
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
