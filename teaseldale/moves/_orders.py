"""Orders to engines to load the new version of a move.

The id of an order is a function of the move and the engine. Repeated and late
orders are therefore idempotent, even at an engine that ignores fencing
numbers. No order unloads anything that a newer steering VM could need.
"""

import abc
import enum
from collections.abc import Iterable

import attrs
import httpcore
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.notes import Upstream

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_TIMEOUT_SECONDS = 2
_RESEND_INTERVAL_MS = 60_000
_LOADS_PER_TICK = 2  # the weight store is rate-limited


@enum.unique
class OrderOutcome(enum.StrEnum):
    """Response of an engine to an order."""

    TAKEN = 'taken'
    FENCED = 'fenced'  # the engine has orders of a newer steering VM
    FAILED = 'failed'


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Order in the form in which it is sent."""

    order_id: str
    fencing_number: int
    action: str
    version: str


class BaseOrderClient(abc.ABC):
    """Sends orders to engines."""

    @abc.abstractmethod
    async def send(
        self, upstream: Upstream, order: EngineOrder
    ) -> OrderOutcome:
        """Sends an order once; returns ``FAILED`` on errors."""


class HttpOrderClient(BaseOrderClient):
    """Sends orders as JSON; an engine without that endpoint needs no load."""

    def __init__(self) -> None:
        """Creates a client; connections are opened on demand."""
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)
        self._extensions = {
            'timeout': {
                'connect': _TIMEOUT_SECONDS,
                'read': _TIMEOUT_SECONDS,
                'write': _TIMEOUT_SECONDS,
                'pool': _TIMEOUT_SECONDS,
            },
        }

    async def send(
        self, upstream: Upstream, order: EngineOrder
    ) -> OrderOutcome:
        """Sends an order once, without a retry."""
        try:
            response = await self._pool.request(
                'POST',
                f'{upstream.url}/orders',
                headers={'content-type': 'application/json'},
                content=msgspec.json.encode(order),
                extensions=self._extensions,
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ):
            return OrderOutcome.FAILED
        if response.status == _STATUS_CONFLICT:
            return OrderOutcome.FENCED
        if response.status in {_STATUS_OK, _STATUS_NOT_FOUND}:
            return OrderOutcome.TAKEN
        return OrderOutcome.FAILED


class VersionLoader:
    """Orders the upstreams of a move to load its version, in batches."""

    def __init__(
        self,
        *,
        client: BaseOrderClient,
        clock: BaseClock,
        move_key: str,
    ) -> None:
        """Sends orders through ``client``; ``move_key`` identifies the move."""
        self._client = client
        self._clock = clock
        self._move_key = move_key
        self._loaded_ms: dict[str, int] = {}

    async def load(
        self,
        upstreams: Iterable[Upstream],
        fencing_number: int,
    ) -> OrderOutcome:
        """Sends the next due orders; the caller must stop on ``FENCED``."""
        due = [
            upstream for upstream in upstreams if self._is_due(upstream.name)
        ]
        for upstream in due[:_LOADS_PER_TICK]:
            outcome = await self._client.send(
                upstream,
                EngineOrder(
                    order_id=f'{self._move_key}-load-{upstream.name}',
                    fencing_number=fencing_number,
                    action='load_version',
                    version=upstream.version,
                ),
            )
            if outcome is OrderOutcome.FENCED:
                return outcome
            if outcome is OrderOutcome.TAKEN:
                self._loaded_ms[upstream.name] = self._clock.monotonic_ms()
        return OrderOutcome.TAKEN

    def missing(self, upstreams: Iterable[Upstream]) -> tuple[str, ...]:
        """Returns the names of upstreams that have not accepted the order."""
        return tuple(
            upstream.name
            for upstream in upstreams
            if upstream.name not in self._loaded_ms
        )

    def _is_due(self, name: str) -> bool:
        loaded_ms = self._loaded_ms.get(name)
        if loaded_ms is None:
            return True
        return self._clock.monotonic_ms() - loaded_ms > _RESEND_INTERVAL_MS
