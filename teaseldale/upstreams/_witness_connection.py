"""A connection on which a runner's process is asked for a sign of life."""

import asyncio
import enum
from collections.abc import Mapping
from types import MappingProxyType

import httpcore

from teaseldale.metrics import Metrics
from teaseldale.upstreams._body_framing import BodyFraming
from teaseldale.upstreams._connector import RunnerChannel
from teaseldale.upstreams._idle_time import usable_idle_ms
from teaseldale.upstreams._process_inquiry import BaseProcessInquiry, Sender
from teaseldale.upstreams._wire_headers import WireHeaders

_MS_PER_SECOND = 1000
# A caller waits for its response meanwhile. The figure bounds the round trip of
# the slowest path on which a process is still found to go on.
_ANSWER_TIMEOUT_MS = 3000
_BODY_TIMEOUT_SECONDS = 1
# Bounds the inquiries to a runner that announces no idle time at all.
_MIN_IDLE_MS = 100


@enum.unique
class InquiryResult(enum.StrEnum):
    """What became of an inquiry."""

    NAMED = 'named'  # answered by the runner, which names itself
    ANSWERED = 'answered'  # answered without a name
    MISDIRECTED = 'misdirected'  # another runner has answered
    LOST = 'lost'  # the connection has ended before an answer
    UNANSWERED = 'unanswered'  # nothing was received in time


_RESULTS: Mapping[Sender, InquiryResult] = MappingProxyType(
    {
        Sender.NAMED: InquiryResult.NAMED,
        Sender.UNNAMED: InquiryResult.ANSWERED,
        Sender.OTHER: InquiryResult.MISDIRECTED,
    },
)


@enum.unique
class ConnectionLoss(enum.StrEnum):
    """Why a connection has ended."""

    LOST = 'lost'  # it may be that its process has ended
    ANNOUNCED = 'announced'  # by an answer on it
    UNUSABLE = 'unusable'  # bytes that were no answer to an inquiry
    REJECTED = 'rejected'  # reset before anything was sent on it


class WitnessConnection:
    """Asks a runner's process on one connection, one inquiry at a time."""

    def __init__(
        self,
        *,
        channel: RunnerChannel,
        inquiry: BaseProcessInquiry,
        metrics: Metrics,
        idle_ms: int | None = None,
    ) -> None:
        """Reads answers from now on, and sends nothing before ``ask``.

        ``idle_ms`` is what is left of the idle time of a connection that has
        carried requests; None for a new one.
        """
        # Why the connection has ended; None while it is open.
        self.loss: ConnectionLoss | None = None
        # For which the runner keeps it open without a request.
        self.idle_ms = usable_idle_ms(()) if idle_ms is None else idle_ms
        self._channel = channel
        self._inquiry = inquiry
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._is_accepted = idle_ms is not None
        self._sent: asyncio.Future[InquiryResult] | None = None
        # Sent once the one before has been answered.
        self._queued: asyncio.Future[InquiryResult] | None = None
        channel.protocol.expect()
        self._reading = asyncio.create_task(self._read())

    def close(self) -> None:
        """Closes the connection."""
        self._reading.cancel()

    async def wait_until_lost(self, timeout_ms: float) -> bool:
        """Returns whether the connection has ended within a time."""
        await asyncio.wait(
            (self._reading,),
            timeout=timeout_ms / _MS_PER_SECOND,
        )
        return self._reading.done()

    async def ask(self) -> InquiryResult:
        """Returns what becomes of an inquiry that is sent from now on."""
        if self._reading.done():
            return InquiryResult.LOST
        if self._queued is None:
            self._queued = self._loop.create_future()
        queued = self._queued
        # The one before has as long to be answered.
        turn_count = 1 if self._sent is None else 2
        timeout_ms = _ANSWER_TIMEOUT_MS * turn_count
        self._send_queued()
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_SECOND):
                # Others may wait for the same answer.
                return await asyncio.shield(queued)
        except TimeoutError:
            return InquiryResult.UNANSWERED

    async def _read(self) -> None:
        """Reads answers until the connection is lost or of no use."""
        try:
            while await self._read_answer():
                self._send_queued()
        except httpcore.NetworkError:
            is_reset = self._channel.protocol.is_reset
            if is_reset and not self._is_accepted:
                self.loss = ConnectionLoss.REJECTED
        except httpcore.ProtocolError:
            self.loss = ConnectionLoss.UNUSABLE
        finally:
            self.loss = self.loss or ConnectionLoss.LOST
            self._channel.transport.abort()
            _resolve(self._sent, InquiryResult.LOST)
            _resolve(self._queued, InquiryResult.LOST)

    async def _read_answer(self) -> bool:
        """Returns whether the runner keeps the connection open after it."""
        protocol = self._channel.protocol
        await protocol.wait_for_head(None)
        if self._sent is None:
            raise httpcore.RemoteProtocolError('a response without a request')
        headers = tuple(protocol.headers)
        self.idle_ms = max(usable_idle_ms(headers), _MIN_IDLE_MS)
        stays_open = await self._skip_body()
        if not stays_open:
            self.loss = ConnectionLoss.ANNOUNCED
        _resolve(self._sent, self._result_of(protocol.status, headers))
        self._sent = None
        if stays_open:
            protocol.expect()
        return stays_open

    def _result_of(self, status: int, headers: WireHeaders) -> InquiryResult:
        return _RESULTS[self._inquiry.sender_of(status, headers)]

    async def _skip_body(self) -> bool:
        """Returns whether the connection can be used further."""
        protocol = self._channel.protocol
        is_unframed = protocol.framing is BodyFraming.CONNECTION
        if is_unframed and not protocol.is_complete:
            return False
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
                while not protocol.is_complete:
                    await protocol.read(None)
        except TimeoutError:
            return False
        return protocol.can_be_reused

    def _send_queued(self) -> None:
        if self._sent is not None or self._queued is None:
            return
        # A transport that is closing reports its loss a little later.
        if self._channel.transport.is_closing():
            return
        self._sent = self._queued
        self._queued = None
        self._is_accepted = True
        self._channel.protocol.expect()
        self._metrics.increment('process_inquiries')
        self._channel.transport.write(self._inquiry.message.encode_head())


def _resolve(
    inquiry: asyncio.Future[InquiryResult] | None,
    outcome: InquiryResult,
) -> None:
    if inquiry is not None and not inquiry.done():
        inquiry.set_result(outcome)
