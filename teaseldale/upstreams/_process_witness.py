"""A connection that shows whether the process of a runner goes on."""

import asyncio

import attrs
import httpcore

from teaseldale.clock import BaseClock
from teaseldale.upstreams._connection_end import (
    SURVIVAL_MS,
    BaseProcessWitness,
    Testimony,
    WitnessCheck,
)
from teaseldale.upstreams._connector import BaseConnector, RunnerChannel
from teaseldale.upstreams._tcp_network import PeerAddress

_MS_PER_SECOND = 1000
_CONNECT_TIMEOUT_MS = 700
_RECONNECT_PAUSE_SECONDS = 0.25
# Kept for the next responses without a length, which may end at once.
_UNUSED_MS = 10_000
# A runner closes idle connections at about the same age.
_IDLE_TOLERANCE = 0.2


@attrs.define(kw_only=True)
class _Connection:
    channel: RunnerChannel
    opened_ms: int  # monotonic
    lost_ms: int | None = None  # monotonic; None while it is open

    @property
    def is_open(self) -> bool:
        return self.lost_ms is None and not self.channel.protocol.is_lost


class ProcessWitness(BaseProcessWitness):
    """Holds a connection without requests while responses need one.

    A process that is gone has lost all of its connections, one that has ended
    a response keeps the others. Unlike a new connection, one that was open
    before cannot belong to the next process at the same address.
    """

    def __init__(
        self,
        *,
        address: PeerAddress,
        connector: BaseConnector,
        clock: BaseClock,
    ) -> None:
        """Opens no connection before the first use."""
        self._address = address
        self._connector = connector
        self._clock = clock
        self._use_count = 0
        self._unused_since_ms = 0  # monotonic
        self._latest: _Connection | None = None
        self._watched_ms: int | None = None  # monotonic, latest watch
        # Age at which the runner closes idle connections, once it was seen.
        self._idle_limit_ms: int | None = None
        self._is_closed = False
        self._task: asyncio.Task[None] | None = None

    def begin_use(self) -> None:
        """Opens the connection, and again when it is lost."""
        self._use_count += 1
        if self._task is None:
            self._task = asyncio.create_task(self._keep_open())

    def end_use(self) -> None:
        """Ends one use; the connection stays open for a while."""
        self._use_count -= 1
        self._unused_since_ms = self._clock.monotonic_ms()
        if self._is_closed:
            self.close_unused(unused_ms=0)

    def close(self) -> None:
        """Closes the connection as soon as it is not in use."""
        self._is_closed = True
        self.close_unused(unused_ms=0)

    def close_unused(self, unused_ms: int = _UNUSED_MS) -> None:
        """Closes the connection if it has not been used for some time."""
        idle_ms = self._clock.monotonic_ms() - self._unused_since_ms
        if self._task is None or self._use_count or idle_ms < unused_ms:
            return
        self._task.cancel()
        self._task = None

    def watch(self) -> WitnessCheck:
        """Returns a check of whether the connection outlives this moment.

        One that was lost shortly before has not outlived it.
        """
        self._watched_ms = self._clock.monotonic_ms()
        watched = self._latest
        if watched is None or self._is_long_lost(watched):
            return _testify_nothing
        return lambda: self._testify(watched)

    def _testify(self, watched: _Connection) -> Testimony:
        if watched.is_open:
            return Testimony.SURVIVED
        return (
            Testimony.NONE if self._is_idle_close(watched) else Testimony.ENDED
        )

    def _is_long_lost(self, connection: _Connection) -> bool:
        if connection.lost_ms is None:
            return False
        lost_for_ms = self._clock.monotonic_ms() - connection.lost_ms
        return lost_for_ms >= SURVIVAL_MS

    def _is_idle_close(self, connection: _Connection) -> bool:
        if self._idle_limit_ms is None:
            return False
        lost_ms = connection.lost_ms or self._clock.monotonic_ms()
        age_ms = lost_ms - connection.opened_ms
        tolerance_ms = self._idle_limit_ms * _IDLE_TOLERANCE
        return abs(age_ms - self._idle_limit_ms) <= tolerance_ms

    async def _keep_open(self) -> None:
        """Holds connections until one is lost that is not in use."""
        while True:
            channel = await self._connect()
            if channel is not None:
                await self._hold(channel)
            await asyncio.sleep(_RECONNECT_PAUSE_SECONDS)
            self._learn_idle_limit()
            if not self._use_count:
                self._task = None
                return

    async def _connect(self) -> RunnerChannel | None:
        try:
            return await self._connector.connect(
                self._address,
                timeout_ms=_CONNECT_TIMEOUT_MS,
            )
        except OSError:
            # Responses are examined by a new connection instead.
            return None

    async def _hold(self, channel: RunnerChannel) -> None:
        """Returns once the connection is lost."""
        connection = _Connection(
            channel=channel,
            opened_ms=self._clock.monotonic_ms(),
        )
        self._latest = connection
        try:
            await channel.protocol.wait_for_head(None)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        finally:
            connection.lost_ms = self._clock.monotonic_ms()
            channel.transport.abort()

    def _learn_idle_limit(self) -> None:
        """Takes a loss for that of an idle connection if nothing else ended.

        The end of a process would have ended a response at that time.
        """
        connection = self._latest
        if connection is None or connection.lost_ms is None:
            return
        distance_ms = abs((self._watched_ms or 0) - connection.lost_ms)
        if self._watched_ms is None or distance_ms > SURVIVAL_MS:
            self._idle_limit_ms = connection.lost_ms - connection.opened_ms


def _testify_nothing() -> Testimony:
    return Testimony.NONE
