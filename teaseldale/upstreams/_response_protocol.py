"""Response parser for one HTTP connection to an upstream."""

import asyncio
import functools
from collections.abc import Callable
from typing import cast

import httpcore
import httptools

from teaseldale.metrics import PeerTraffic
from teaseldale.upstreams._body_framing import BodyFraming, framing_of
from teaseldale.upstreams._connection_end import (
    SURVIVAL_MS,
    BaseConnectionEnd,
    BaseProcessWitness,
    BaseWitnessUse,
    ConnectionEnd,
    EndFinding,
    ExaminedEnd,
)
from teaseldale.upstreams._listener_probe import ListenerProbe, probe_listener
from teaseldale.upstreams._response_sizes import ResponseSizes
from teaseldale.upstreams._response_status import check_status
from teaseldale.upstreams._tcp_network import PeerAddress
from teaseldale.upstreams._wait_timer import WaitTimer
from teaseldale.upstreams._wire_headers import WireHeaders

_BUFFER_LIMIT_BYTES = 16_384
_FIRST_FINAL_STATUS = 200
_FIRST_UNSUCCESSFUL_STATUS = 300
_BODILESS_STATUSES = frozenset((204, 304))
_LINE_BREAKS = b'\r\n'

_holding_probe = functools.partial(probe_listener, hold_ms=SURVIVAL_MS)

# Returns whether a response with this status and headers is for the request.
ResponseMatcher = Callable[[int, WireHeaders], bool]


def accept_any(status: int, headers: WireHeaders) -> bool:
    """Accepts every response as the one to the current request."""
    return True


class ResponseProtocol(asyncio.Protocol):
    """Parses responses incrementally and buffers unread body data.

    A reader waits on one future and one timer per connection, which takes less
    CPU time per stream event than a cancel scope.
    """

    def __init__(
        self,
        *,
        probe: ListenerProbe | None = _holding_probe,
    ) -> None:
        """Creates a protocol that expects no response yet.

        ``probe`` examines whether the peer still listens; None if only ends
        that have been examined are received.
        """
        # Other connections to the same process, if there are any.
        self.witness: BaseProcessWitness | None = None
        # Counts the bytes that are received, if set.
        self.traffic: PeerTraffic | None = None
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.framing = BodyFraming.CONNECTION  # known once the head is
        # What the examination has found if the body ended with its connection.
        self.end_finding = EndFinding.NONE
        self.is_complete = False
        self.is_lost = False
        self.is_reset = False
        self.has_unsolicited_bytes = False  # not of an awaited response
        self._belongs: ResponseMatcher = accept_any
        self._expects_body = True
        self._is_skipping = False
        self._is_keep_alive = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._probe = probe
        self._peer_address: PeerAddress = ('', 0)
        self._parser = httptools.HttpResponseParser(self)
        self._sizes = ResponseSizes()
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._has_body = False
        self._error: Exception | None = None
        # Of the current request, if there is a witness.
        self._witness_use: BaseWitnessUse | None = None
        # Set when a body ends with its connection, until it is examined.
        self._end: BaseConnectionEnd | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer = WaitTimer(loop=self._loop, on_expiry=self._expire)
        self._can_write = asyncio.Event()
        self._can_write.set()

    @property
    def can_be_reused(self) -> bool:
        """Whether the connection can carry another request."""
        if (
            self.is_lost
            or self.has_unsolicited_bytes
            or self._error is not None
        ):
            return False
        return self.is_complete and self._is_keep_alive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The transports of uvloop do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # There is none if the peer has reset the connection by now.
        peer = transport.get_extra_info('peername') or self._peer_address
        self._peer_address = peer[:2]

    def connection_lost(self, error: Exception | None) -> None:
        """Wakes the reader; fails a response that is not complete."""
        self.is_lost = True
        self.is_reset = isinstance(error, ConnectionResetError)
        self._can_write.set()
        self._timer.cancel()
        if self._witness_use is not None:
            self._witness_use.end()
        if not self.is_complete and self._error is None:
            self._error = httpcore.ReadError('the connection was closed')
        self._wake()

    def eof_received(self) -> bool:
        """Marks the end of a response that has neither a length nor chunks.

        The connection of a peer that crashes may end in the same way, so
        ``read`` examines the end before the response is complete. Returns
        whether to keep the transport open.
        """
        if self.is_complete or not self.has_head:
            return False
        if self.framing is not BodyFraming.CONNECTION:
            return False
        if self._transport is not None:
            self._end = _make_end(
                transport=self._transport,
                peer_address=self._peer_address,
                probe=self._probe,
                witness=self._witness_use,
            )
        self._wake()
        return True

    def data_received(self, received: bytes) -> None:
        """Parses received bytes; closes the connection if it is unusable.

        Bytes on an idle connection, malformed ones and parts that exceed their
        limits make it unusable.
        """
        if self.traffic is not None:
            self.traffic.note_received(len(received))
        if self.is_complete:
            self.has_unsolicited_bytes = True
        elif self._error is None:
            self._sizes.add_received(len(received), has_head=self.has_head)
            self._error = _feed(self._parser, received)
            if self._error is None:
                self._error = self._sizes.find_excess(has_head=self.has_head)
        has_extra_bytes = self.is_complete and self.has_unsolicited_bytes
        if self._transport and (has_extra_bytes or self._error is not None):
            self._transport.abort()
        self._wake()

    def pause_writing(self) -> None:
        """Blocks ``drain`` while the write buffer is full."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Unblocks ``drain``."""
        self._can_write.set()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header of the response; drops trailers."""
        if self._sizes.add_header() and not self.has_head:
            self.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Stores the status, or skips a response to another request."""
        if self.is_complete:
            self.has_unsolicited_bytes = True
            return
        self._sizes.end_part()
        status = self._parser.get_status_code()
        check_status(status)
        if status < _FIRST_FINAL_STATUS:
            return
        if self._belongs(status, tuple(self.headers)):
            self.status = status
            self.framing = framing_of(tuple(self.headers))
            self.has_head = True
            self.is_complete = not self._expects_body
            _note_head(self._witness_use, is_unframed=_awaits_end(self))
        else:
            self.has_unsolicited_bytes = True
            self._is_skipping = True

    def on_body(self, part: bytes) -> None:
        """Buffers a body chunk; pauses reading above the buffer limit."""
        self._sizes.end_part()
        if self._is_skipping or self.is_complete:
            return
        # Line breaks alone may belong to a head that stopped.
        self._has_body = self._has_body or bool(part.strip(_LINE_BREAKS))
        self._chunks.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes > _BUFFER_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Completes the response; discards an interim one."""
        if self.has_head:
            # The parser only provides this until the message has ended.
            self._is_keep_alive = bool(self._parser.should_keep_alive())
            self.is_complete = True
        else:
            self.headers = []
            self._is_skipping = False
            self._sizes.end_skipped_response()

    def expect(
        self,
        belongs: ResponseMatcher = accept_any,
        *,
        has_body: bool = True,
    ) -> None:
        """Prepares for the response to the next request.

        Responses that ``belongs`` rejects are skipped, and the connection is
        not reused after them. Without ``has_body`` the response is complete
        with its head, whatever that says.
        """
        self._expects_body = has_body
        if self._witness_use is not None:
            self._witness_use.end()
        self._witness_use = (
            None if self.witness is None else self.witness.observe()
        )
        self._parser = httptools.HttpResponseParser(self)
        self._sizes = ResponseSizes()
        self._belongs = belongs
        self._is_skipping = False
        self._is_keep_alive = False
        self.status = 0
        self.headers = []
        self.has_head = False
        self.is_complete = False
        self._chunks = []
        self._buffered_bytes = 0
        self._has_body = False

    async def drain(self, timeout_seconds: float | None) -> None:
        """Waits until the write buffer has room.

        Raises ``httpcore.WriteTimeout`` or ``httpcore.WriteError``.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._can_write.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        if self.is_lost:
            raise httpcore.WriteError('the connection was closed')

    async def wait_for_head(self, timeout_seconds: float | None) -> None:
        """Waits for status and headers, in ``timeout_seconds`` altogether.

        Raises ``httpcore.ReadTimeout`` or the error of the connection.
        """
        left_seconds = timeout_seconds
        deadline = self._loop.time() + (timeout_seconds or 0)
        while not self.has_head:
            if self._error is not None:
                raise self._error
            await self._wait(left_seconds)
            if left_seconds is not None:
                left_seconds = max(0, deadline - self._loop.time())

    async def read(self, timeout_seconds: float | None) -> bytes:
        """Returns the buffered body data; empty at the end of the body.

        Raises ``httpcore.ReadTimeout`` or the error of the connection.
        """
        while not self._chunks:
            if self.is_complete:
                return b''
            if self._error is not None:
                raise self._error
            if self._end is None:
                await self._wait(timeout_seconds)
            else:
                await self._examine_end(self._end)
        received = b''.join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > _BUFFER_LIMIT_BYTES and self._transport:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return received

    async def _examine_end(self, end: BaseConnectionEnd) -> None:
        """Completes a response that ended with its connection, or fails it."""
        fault = await end.find_fault()
        self.end_finding = end.finding
        if self._error is None:
            self._error = fault or _find_missing_body(
                self.status,
                has_body=self._has_body,
            )
        self.is_complete = self._error is None
        end.close()

    async def _wait(self, timeout_seconds: float | None) -> None:
        self._timer.start(timeout_seconds)
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _expire(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(httpcore.ReadTimeout())


def _awaits_end(protocol: ResponseProtocol) -> bool:
    """Returns whether a body follows that ends with its connection."""
    is_unframed = protocol.framing is BodyFraming.CONNECTION
    has_body = protocol.status not in _BODILESS_STATUSES
    return is_unframed and has_body and not protocol.is_complete


def _note_head(use: BaseWitnessUse | None, *, is_unframed: bool) -> None:
    if use is None:
        return
    if is_unframed:
        use.begin()
    else:
        use.dismiss()


def _make_end(
    *,
    transport: asyncio.Transport,
    peer_address: PeerAddress,
    probe: ListenerProbe | None,
    witness: BaseWitnessUse | None,
) -> BaseConnectionEnd:
    if probe is None:
        return ExaminedEnd(transport=transport)
    return ConnectionEnd(
        transport=transport,
        peer_address=peer_address,
        probe=probe,
        witness=witness,
    )


def _feed(
    parser: httptools.HttpResponseParser,
    received: bytes,
) -> httpcore.RemoteProtocolError | None:
    try:
        parser.feed_data(received)
    except httptools.HttpParserError as error:
        # An error of a callback is the context of the parser's own.
        return httpcore.RemoteProtocolError(str(error.__context__ or error))
    return None


def _find_missing_body(
    status: int,
    *,
    has_body: bool,
) -> httpcore.ReadError | None:
    """Returns a fault if a success has neither length, chunks nor body.

    Its peer may have closed the connection within the head, before the headers
    that frame the body.
    """
    if has_body or status >= _FIRST_UNSUCCESSFUL_STATUS:
        return None
    return httpcore.ReadError('the response ended before its body')
