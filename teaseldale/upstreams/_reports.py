"""What runners report of themselves: load and cache events."""

import abc
from typing import TypeVar

import attrs
import httpcore
import msgspec

from teaseldale.notes import Upstream
from teaseldale.upstreams._network_backend import StreamNetworkBackend

_MS_PER_SECOND = 1000
_TIMEOUT_MS = 1000
_MAX_CONNECTIONS = 256
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_ReportT = TypeVar('_ReportT')


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of a runner some time ago."""

    running: int  # requests of all VMs
    slot_count: int
    leaving: bool = False  # the runner's own notice that it will stop


@attrs.frozen(kw_only=True)
class CacheChange:
    """A change of a runner's prompt cache; ``action`` as engines name it."""

    sequence: int
    action: str  # "stored" or "evicted"
    block_hash: int


@attrs.frozen(kw_only=True)
class CacheChanges:
    """Changes after a sequence number, late and with gaps."""

    events: tuple[CacheChange, ...] = ()
    block_characters: int = 64  # prompt characters of one block


class BaseRunnerReports(abc.ABC):
    """Reads reports of runners; None when a runner gives none."""

    @abc.abstractmethod
    async def is_up(self, upstream: Upstream) -> bool:
        """Whether the upstream answers on a fresh connection."""

    @abc.abstractmethod
    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Returns the runner's load."""

    @abc.abstractmethod
    async def cache_changes(
        self,
        upstream: Upstream,
        *,
        after: int,
    ) -> CacheChanges | None:
        """Returns changes past the sequence number ``after``."""


class HttpRunnerReports(BaseRunnerReports):
    """Reads reports over HTTP."""

    def __init__(self) -> None:
        """Creates a client without open connections."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            network_backend=StreamNetworkBackend(),
        )
        self._fresh_pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=0,
            network_backend=StreamNetworkBackend(),
        )

    async def is_up(self, upstream: Upstream) -> bool:
        """Asks for the load; services answer that there is no such page."""
        response = await _response(
            self._fresh_pool,
            f'{upstream.url}/load',
        )
        return response is not None and response.status != _STATUS_UNAVAILABLE

    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Reads the runner's load."""
        body = await self._get(f'{upstream.url}/load')
        return _decoded(body, LoadReport)

    async def cache_changes(
        self,
        upstream: Upstream,
        *,
        after: int,
    ) -> CacheChanges | None:
        """Reads the runner's cache events."""
        body = await self._get(f'{upstream.url}/cache_events?after={after}')
        return _decoded(body, CacheChanges)

    async def _get(self, url: str) -> bytes | None:
        response = await _response(self._pool, url)
        if response is None or response.status != _STATUS_OK:
            return None
        return response.content


async def _response(
    pool: httpcore.AsyncConnectionPool,
    url: str,
) -> httpcore.Response | None:
    timeouts = dict.fromkeys(
        ('connect', 'read', 'write', 'pool'),
        _TIMEOUT_MS / _MS_PER_SECOND,
    )
    try:
        return await pool.request(
            'GET',
            url,
            extensions={'timeout': timeouts},
        )
    except (
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ):
        return None


def _decoded(body: bytes | None, kind: type[_ReportT]) -> _ReportT | None:
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
