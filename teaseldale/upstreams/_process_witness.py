"""Connections that show whether the process of a runner goes on."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.upstreams._connection_end import (
    BaseProcessWitness,
    BaseWitnessUse,
    Testimony,
)
from teaseldale.upstreams._connector import BaseConnector, RunnerChannel
from teaseldale.upstreams._process_inquiry import BaseProcessInquiry
from teaseldale.upstreams._tcp_network import PeerAddress
from teaseldale.upstreams._witness_connection import (
    InquiryResult,
    WitnessConnection,
)

_CONNECT_TIMEOUT_MS = 700
_RECONNECT_PAUSE_SECONDS = 0.25
# Kept for the next responses without a length, which may end at once.
_UNUSED_MS = 10_000
_TESTIMONIES: Mapping[InquiryResult, Testimony] = MappingProxyType(
    {
        InquiryResult.ANSWERED: Testimony.SURVIVED,
        InquiryResult.MISDIRECTED: Testimony.SILENT,
        InquiryResult.LOST: Testimony.ENDED,
        InquiryResult.UNANSWERED: Testimony.SILENT,
    },
)


class ProcessWitness(BaseProcessWitness):
    """Holds a connection of its own while responses need one.

    A process that is gone has lost all of its connections and answers on none,
    one that has ended a response keeps the others. Unlike a new connection, one
    that was open before cannot belong to the next process at the same address.
    How long the end of a connection takes to arrive differs between
    connections, so only an answer to a request that was sent after the end
    of a response shows that its process has outlived it.

    Runners close idle connections, which looks like the end of a process. So
    the connection is kept busy where the runner answers more than one request
    on it.
    """

    def __init__(
        self,
        *,
        address: PeerAddress,
        connector: BaseConnector,
        inquiry: BaseProcessInquiry,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Opens no connection before the first use."""
        self._address = address
        self._connector = connector
        self._inquiry = inquiry
        self._clock = clock
        self._metrics = metrics
        self._use_count = 0
        self._unused_since_ms = 0  # monotonic
        self._connection: WitnessConnection | None = None
        self._loss_count = 0  # of connections, and of listeners
        # Whether the runner keeps a connection open after an inquiry; None
        # until it is known.
        self._keeps_open: bool | None = None
        self._is_closed = False
        self._task: asyncio.Task[None] | None = None

    @property
    def has_connection(self) -> bool:
        """Whether a connection is open."""
        return self._connection is not None

    def begin_use(self) -> BaseWitnessUse:
        """Opens the connection, and again when it is lost."""
        self._use_count += 1
        if self._task is None:
            self._task = asyncio.create_task(self._keep_open())
        return _WitnessUse(witness=self, loss_count=self._loss_count)

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

    async def testify(self, loss_count: int) -> Testimony:
        """Returns what is known of the process since ``loss_count`` losses.

        Takes the time of an answer from the runner.
        """
        connection = self._connection
        if loss_count == self._loss_count and connection is not None:
            testimony = _TESTIMONIES[await connection.ask()]
            if not connection.is_dismissed or testimony is Testimony.SURVIVED:
                return testimony
        if loss_count != self._loss_count:
            return Testimony.ENDED
        return await self._reach_anew()

    async def _reach_anew(self) -> Testimony:
        """Returns whether the runner answers on a new connection."""
        results = await self._ask_anew(inquiry_count=1)
        if results[-1] is InquiryResult.ANSWERED:
            return Testimony.REACHED
        return Testimony.SILENT

    async def _ask_anew(self, *, inquiry_count: int) -> list[InquiryResult]:
        """Returns the results of inquiries on a connection of their own."""
        channel = await self._connect()
        if channel is None:
            return [InquiryResult.LOST]
        connection = self._connection_of(channel)
        holding = asyncio.create_task(connection.hold())
        try:
            return [await connection.ask() for _ in range(inquiry_count)]
        finally:
            holding.cancel()

    def _connection_of(self, channel: RunnerChannel) -> WitnessConnection:
        return WitnessConnection(
            channel=channel,
            inquiry=self._inquiry,
            metrics=self._metrics,
        )

    async def _learn_persistence(self, connection: WitnessConnection) -> None:
        """Finds out on another connection whether the runner keeps it open."""
        if self._keeps_open is None:
            first, *later = await self._ask_anew(inquiry_count=2)
            if first is InquiryResult.ANSWERED:
                self._keeps_open = later == [InquiryResult.ANSWERED]
        connection.asks_regularly = bool(self._keeps_open)

    async def _keep_open(self) -> None:
        """Holds connections until one is lost that is not in use."""
        while True:
            channel = await self._connect()
            if channel is None or not await self._hold(channel):
                await asyncio.sleep(_RECONNECT_PAUSE_SECONDS)
            if not self._use_count:
                self._task = None
                return

    async def _hold(self, channel: RunnerChannel) -> bool:
        """Returns once the connection has ended, and whether as announced."""
        connection = self._connection_of(channel)
        self._connection = connection
        learning = asyncio.create_task(self._learn_persistence(connection))
        try:
            await connection.hold()
        finally:
            learning.cancel()
            self._connection = None
            if not connection.is_dismissed:
                self._loss_count += 1
        return connection.is_dismissed

    async def _connect(self) -> RunnerChannel | None:
        try:
            return await self._connector.connect(
                self._address,
                timeout_ms=_CONNECT_TIMEOUT_MS,
            )
        except ConnectionRefusedError:
            # No process listens, and the next one is another.
            self._loss_count += 1
        except OSError:
            # Responses are examined by a new connection instead.
            return None
        return None


class _WitnessUse(BaseWitnessUse):
    """Observation since the head of one response."""

    def __init__(self, *, witness: ProcessWitness, loss_count: int) -> None:
        self._witness = witness
        self._loss_count = loss_count
        self._has_connection = False  # once the response has ended
        self._has_ended = False

    def note_end(self) -> None:
        """Records whether there is a connection from before the end."""
        self._has_connection = self._witness.has_connection

    async def testify(self) -> Testimony:
        """Returns what an inquiry shows that is sent from now on."""
        testimony = await self._witness.testify(self._loss_count)
        if testimony is Testimony.SURVIVED and not self._has_connection:
            return Testimony.REACHED
        return testimony

    def end(self) -> None:
        """Ends the observation."""
        if not self._has_ended:
            self._has_ended = True
            self._witness.end_use()
