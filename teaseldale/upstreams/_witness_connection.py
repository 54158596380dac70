"""A connection on which a runner's process is asked for a sign of life."""

import asyncio
import enum

import httpcore

from teaseldale.metrics import Metrics
from teaseldale.upstreams._body_framing import BodyFraming
from teaseldale.upstreams._connector import RunnerChannel
from teaseldale.upstreams._idle_time import usable_idle_ms
from teaseldale.upstreams._process_inquiry import BaseProcessInquiry
from teaseldale.upstreams._wire_headers import WireHeaders

_MS_PER_SECOND = 1000
# A caller waits for its response meanwhile. The figure bounds the round trip of
# the slowest path on which a process is still found to go on.
_ANSWER_TIMEOUT_MS = 3000
_BODY_TIMEOUT_SECONDS = 1


@enum.unique
class InquiryResult(enum.StrEnum):
    """What became of an inquiry."""

    ANSWERED = 'answered'
    MISDIRECTED = 'misdirected'  # another runner has answered
    LOST = 'lost'  # the connection was lost before an answer
    UNANSWERED = 'unanswered'  # nothing was received in time


class WitnessConnection:
    """Asks a runner's process on one connection, one inquiry at a time."""

    def __init__(
        self,
        *,
        channel: RunnerChannel,
        inquiry: BaseProcessInquiry,
        metrics: Metrics,
    ) -> None:
        """Sends nothing before ``ask``."""
        # Whether to ask so often that the runner does not close the connection
        # as an idle one.
        self.asks_regularly = False
        # Whether the runner has announced that it closes the connection.
        self.is_dismissed = False
        self._channel = channel
        self._inquiry = inquiry
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._idle_ms = usable_idle_ms(())
        self._is_lost = False
        self._sent: asyncio.Future[InquiryResult] | None = None
        # Sent once the one before has been answered.
        self._queued: asyncio.Future[InquiryResult] | None = None

    async def ask(self) -> InquiryResult:
        """Returns what becomes of an inquiry that is sent from now on."""
        if self._is_lost:
            return InquiryResult.LOST
        queued = self._queue()
        self._send_queued()
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_MS / _MS_PER_SECOND):
                # Others may wait for the same answer.
                return await asyncio.shield(queued)
        except TimeoutError:
            return InquiryResult.UNANSWERED

    async def hold(self) -> None:
        """Reads answers until the connection is lost."""
        try:
            while not self.is_dismissed:
                await self._read_answer()
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        finally:
            self._close()

    async def _read_answer(self) -> None:
        protocol = self._channel.protocol
        try:
            await protocol.wait_for_head(self._idle_ms / _MS_PER_SECOND)
        except httpcore.ReadTimeout:
            if self.asks_regularly and self._sent is None:
                self._queue()
                self._send_queued()
            return
        headers = tuple(protocol.headers)
        self._idle_ms = usable_idle_ms(headers)
        self._resolve_sent(protocol.status, headers)
        self.is_dismissed = not await self._skip_body()
        self._sent = None
        if not self.is_dismissed:
            protocol.expect()
            self._send_queued()

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

    def _queue(self) -> asyncio.Future[InquiryResult]:
        if self._queued is None:
            self._queued = self._loop.create_future()
        return self._queued

    def _send_queued(self) -> None:
        if self._sent is not None or self._queued is None:
            return
        self._sent = self._queued
        self._queued = None
        self._channel.protocol.expect()
        self._metrics.increment('process_inquiries')
        self._channel.transport.write(self._inquiry.message.encode_head())

    def _resolve_sent(self, status: int, headers: WireHeaders) -> None:
        if self._sent is None:
            raise httpcore.RemoteProtocolError('a response without a request')
        is_from_runner = self._inquiry.is_from_runner(status, headers)
        self._sent.set_result(
            InquiryResult.ANSWERED
            if is_from_runner
            else InquiryResult.MISDIRECTED,
        )

    def _close(self) -> None:
        self._is_lost = True
        self._channel.transport.abort()
        for inquiry in (self._sent, self._queued):
            if inquiry is not None and not inquiry.done():
                inquiry.set_result(InquiryResult.LOST)
