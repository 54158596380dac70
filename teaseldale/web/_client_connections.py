"""Connections of clients and the choice of those to close first."""

import abc
import asyncio
import enum
import heapq
import math
import sys
from collections.abc import Iterator

import attrs

from teaseldale.logs import StateLog
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.web._client_limits import ClientLimits

# Part of the connections that is closed at once when there are too many, so
# that not every new one needs a search.
_EVICTED_SHARE = 64
_MS_PER_SECOND = 1000
# After a search that found too little; searches for each refused request would
# take the processor from others.
_SEARCH_INTERVAL_MS = 50
# For balancers and collectors, which use a few connections and send no bodies.
_RESERVED_CONNECTIONS = 32
_RESERVED_BYTES = 4_000_000


@enum.unique
class EvictionClass(enum.IntEnum):
    """Kinds of connections that may be closed, first ones first."""

    REFUSED = 0  # only the rest of a refused request is read
    NO_REQUEST = 1  # no complete head was ever received
    ANSWER_STALLED = 2  # the client takes nothing of its answer
    BODY_STALLED = 3  # the rest of the body does not come
    IDLE = 4  # all requests have been answered


# Those that hold bytes which nobody works on.
_BYTE_CLASSES = frozenset(
    (EvictionClass.ANSWER_STALLED, EvictionClass.BODY_STALLED),
)


@attrs.frozen(kw_only=True, order=True)
class EvictionRank:
    """Order in which connections are closed, lowest first."""

    kind: EvictionClass
    since_ms: float  # on the event loop's clock


class BaseClientConnection(abc.ABC):
    """One connection, as far as its eviction is concerned."""

    @abc.abstractmethod
    def eviction_rank(self, now_ms: float) -> EvictionRank | None:
        """Returns its rank, or None if it must not be closed now."""

    @abc.abstractmethod
    def evict(self, kind: EvictionClass, *, at_once: bool) -> None:
        """Frees its bytes and closes it, ``at_once`` or after a refusal."""


class ClientConnections:
    """All connections of clients that share limits and a budget of bytes."""

    def __init__(
        self,
        *,
        name: str,
        limits: ClientLimits,
        budget: ByteBudget,
        metrics: Metrics,
    ) -> None:
        """Counts in ``metrics`` under ``name``; frees bytes for ``budget``."""
        self.name = name
        self.limits = limits
        self.budget = budget
        self._metrics = metrics
        self._log = StateLog(channel='web')
        self._open: dict[BaseClientConnection, None] = {}
        self._opening_count = 0
        self._searched_ms = -math.inf  # when too little was found to evict
        budget.add_reclaimer(self._reclaim_bytes)

    @property
    def count(self) -> int:
        """Number of open connections and of those being set up."""
        return len(self._open) + self._opening_count

    def try_open(self) -> bool:
        """Reserves a connection, if necessary by closing others."""
        if self.count >= self.limits.connection_count:
            self._evict_for_connections()
        if self.count >= self.limits.connection_count:
            self._metrics.increment('accepts_paused', self.name)
            return False
        self._opening_count += 1
        return True

    def add(self, connection: BaseClientConnection) -> None:
        """Counts an open connection."""
        self._open[connection] = None
        self._report_count()

    def note_opened(self) -> None:
        """Ends a reservation: its connection was added, or failed."""
        self._opening_count -= 1

    def discard(self, connection: BaseClientConnection) -> None:
        """Counts a connection no longer."""
        self._open.pop(connection, None)
        self._report_count()

    def note_cut(self, connection: BaseClientConnection) -> None:
        """Counts a connection that is closed as its client never reads."""
        self._metrics.increment('clients_cut', self.name)
        self._log.routine('client_cut', server=self.name)
        self.discard(connection)

    def _report_count(self) -> None:
        self._metrics.set_gauge(f'{self.name}_connections', len(self._open))

    def _evict_for_connections(self) -> None:
        most = 1 + self.limits.connection_count // _EVICTED_SHARE
        ranked = heapq.nsmallest(most, self._ranked(), key=_by_rank)
        for index, (rank, connection) in enumerate(ranked):
            # A caller that may send a further request is closed only for a
            # connection that is there.
            if index and rank.kind is EvictionClass.IDLE:
                return
            self._evict(connection, rank, for_bytes=False)

    def _reclaim_bytes(self, needed_bytes: int) -> None:
        """Evicts the oldest stalled clients until bytes fit."""
        now_ms = asyncio.get_running_loop().time() * _MS_PER_SECOND
        if now_ms < self._searched_ms + _SEARCH_INTERVAL_MS:
            return
        wanted_bytes = self.budget.held_bytes - needed_bytes
        for rank, connection in sorted(self._ranked(), key=_by_rank):
            if self.budget.held_bytes <= wanted_bytes:
                return
            if rank.kind in _BYTE_CLASSES:
                self._evict(connection, rank, for_bytes=True)
        self._searched_ms = now_ms

    def _ranked(self) -> Iterator[tuple[EvictionRank, BaseClientConnection]]:
        now_ms = asyncio.get_running_loop().time() * _MS_PER_SECOND
        for connection in self._open:
            rank = connection.eviction_rank(now_ms)
            if rank is not None:
                yield rank, connection

    def _evict(
        self,
        connection: BaseClientConnection,
        rank: EvictionRank,
        *,
        for_bytes: bool,
    ) -> None:
        kind = rank.kind.name.lower()
        self._metrics.increment('clients_evicted', kind)
        self._log.routine(
            'client_evicted',
            server=self.name,
            kind=kind,
            for_bytes=for_bytes,
            connections=self.count,
            held_bytes=self.budget.held_bytes,
        )
        connection.evict(rank.kind, at_once=not for_bytes)
        if not for_bytes:
            # The transport closes its descriptor with the loop's next turn.
            self._open.pop(connection, None)


def reserved_clients(
    *,
    name: str,
    limits: ClientLimits,
    metrics: Metrics,
) -> ClientConnections:
    """Returns a small reserve for a server that has to answer under load."""
    return ClientConnections(
        name=name,
        limits=attrs.evolve(limits, connection_count=_RESERVED_CONNECTIONS),
        budget=ByteBudget(
            limit_bytes=_RESERVED_BYTES,
            metrics=metrics,
            gauge=f'{name}_held_bytes',
        ),
        metrics=metrics,
    )


def unlimited_clients(metrics: Metrics) -> ClientConnections:
    """Returns connections of a server whose clients are trusted."""
    return ClientConnections(
        name='trusted',
        limits=ClientLimits(connection_count=sys.maxsize),
        budget=ByteBudget(
            limit_bytes=sys.maxsize,
            metrics=metrics,
            gauge='trusted_held_bytes',
        ),
        metrics=metrics,
    )


def _by_rank(
    ranked: tuple[EvictionRank, BaseClientConnection],
) -> EvictionRank:
    return ranked[0]
