"""HTTP/1.1 protocol that answers malformed requests with JSON refusals."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.outcomes import Refusal
from teaseldale.web._client_protocol import ClientProtocol
from teaseldale.web._counting_transport import CountingTransport
from teaseldale.web._exchange import (
    ABORT_KEY,
    INTAKE_KEY,
    RECEIVED_KEY,
    SEND_BUFFER_KEY,
)
from teaseldale.web._head_limits import HeadLimitsSource
from teaseldale.web._parse_refusals import (
    malformed,
    no_room,
    too_long,
    too_long_body,
    too_many_pipelined,
    too_slow,
)
from teaseldale.web._refusal_answer import refusal_body, refusal_headers

_MS_PER_SECOND = 1000
_WRITE_LIMIT_BYTES = 8192  # unsent bytes at which writers block
_LINGER_SECONDS = 1
_SINGLE_HEADERS = frozenset(
    (
        b'authorization',
        b'content-length',
        b'content-type',
        b'host',
        b'idempotency-key',
        b'transfer-encoding',
    ),
)
_RESPONSE_HEAD = (
    b'HTTP/1.1 %d %s\r\n'
    b'content-type: application/json\r\n'
    b'connection: close\r\n'
    b'%s: %s\r\n'
    b'content-length: %d\r\n\r\n'
)
_HEADER_OVERHEAD_BYTES = 4  # colon, space and line ending of a header
# Spaces, version and line ending of the request line, and the final empty line.
_HEAD_OVERHEAD_BYTES = 14
_REQUEST_BYTES = 4096  # memory of a request without its head and body
# Memory of a header beyond its bytes: a tuple, two objects and their copies.
_FIELD_BYTES = 200
# Reserved at once, so that not each header changes the budget.
_RESERVATION_BYTES = 2048
# Bytes around a chunk that count as no extension: its size and line endings.
_CHUNK_OVERHEAD_BYTES = 16
_ABORT_SECONDS = 5  # for unsent bytes of a closed connection


class RefusedHeadError(ValueError):
    """A request head was refused before the request was served."""

    def __init__(self, refusal: Refusal) -> None:
        """Stores the refusal to be sent to the caller."""
        super().__init__(refusal.message)
        self.refusal = refusal


class GuardedProtocol(ClientProtocol):
    """Refuses request heads that two parsers could interpret differently.

    Heads that exceed the size limit or the timeout are refused as well.
    """

    def __init__(
        self,
        *arguments: Any,
        on_refused: Callable[[Refusal], None],
        limits: HeadLimitsSource,
        traffic: PeerTraffic | None = None,
        **options: Any,
    ) -> None:
        """Creates a protocol for one connection.

        ``on_refused`` is called for each request that the protocol refuses;
        ``limits`` is called again for each request, and ``traffic`` counts the
        bytes of the connection. ``clients`` of the options bounds what all
        connections occupy together.
        """
        super().__init__(*arguments, **options)
        self._on_refused = on_refused
        self._traffic = traffic or PeerTraffic(
            metrics=Metrics(),
            peer='client',
        )
        self._limits_source = limits
        self._head_bytes = 0  # of the parts that the parser reported
        self._unparsed_bytes = 0  # of parts that the parser does not report
        self._unreserved_bytes = 0  # of the current head
        self._head_timer: asyncio.TimerHandle | None = None
        self._body_bytes = 0  # in the call of the parser
        self._chunk_count = 0  # in the call of the parser
        self._discarded_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Limits the buffer for a slow reader and starts the idle timer."""
        self._traffic.note_connection()
        counting: Any = CountingTransport(
            transport=transport,
            traffic=self._traffic,
        )
        super().connection_made(counting)
        transport.set_write_buffer_limits(high=_WRITE_LIMIT_BYTES)
        self._update_limits()
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the head timer; nothing is sent any more."""
        self._finish_head()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Starts the byte count and the timer of the next request's head."""
        self._update_limits()
        self._head_bytes = _HEAD_OVERHEAD_BYTES
        self._unparsed_bytes = 0
        self._discarded_bytes = 0
        self._unreserved_bytes = 0
        self._request_bytes.append(0)
        self._is_in_head = True
        self._start_head_timer()
        super().on_message_begin()
        scope: Any = self.scope
        scope[ABORT_KEY] = self.transport.abort
        scope[RECEIVED_KEY] = self.loop.time()
        scope[SEND_BUFFER_KEY] = self._send_buffer

    def on_url(self, url: bytes) -> None:
        """Counts a part of the request target."""
        self._add_head_bytes(len(url), len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Counts one complete header; trailers are dropped."""
        size_bytes = len(name) + len(value)
        is_trailer = not self._is_in_head
        self._add_head_bytes(
            size_bytes + _HEADER_OVERHEAD_BYTES,
            0 if is_trailer else size_bytes + _FIELD_BYTES,
        )
        if not is_trailer:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Validates the complete head before the request is served."""
        # The last part of a head is always reserved.
        self._add_head_bytes(len(self.parser.get_method()), _REQUEST_BYTES)
        self._unparsed_bytes = 0
        self._finish_head()
        names = [name for name, _ in self.headers]
        for header_name in _SINGLE_HEADERS:
            if names.count(header_name) > 1:
                raise RefusedHeadError(malformed())
        if b'content-length' in names and b'transfer-encoding' in names:
            raise RefusedHeadError(malformed())
        if len(self.pipeline) >= self._clients.limits.pipelined_count:
            self._reject(too_many_pipelined())
        intake = self._make_intake()
        self._intakes.append(intake)
        scope: Any = self.scope
        scope[INTAKE_KEY] = intake
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Counts a chunk of the body."""
        self._chunk_count += 1

    def on_body(self, body: bytes) -> None:
        """Reserves a part of the body before it is stored."""
        self._body_bytes += len(body)
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > self._clients.limits.discarded_bytes:
                self._reject(too_long_body())
            return
        if not self._intakes[-1].try_receive(len(body), self._now_ms()):
            self._reject(no_room())
        super().on_body(body)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; drops those after a refused head."""
        self._traffic.note_received(len(data))
        if self._refusal is not None:
            return
        was_in_head = self._is_in_head
        before = self.cycle
        self._body_bytes = 0
        self._chunk_count = 0
        super().data_received(data)
        if self._refusal is not None:
            return
        if was_in_head and self._is_in_head:
            self._count_unreported(len(data))
        elif before is self.cycle and before is not None and before.more_body:
            reported_bytes = self._chunk_count * _CHUNK_OVERHEAD_BYTES
            self._count_unreported(
                len(data) - self._body_bytes - reported_bytes,
            )
        self._start_idle_timer()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuses a request that the parser or a check rejected."""
        self._refuse(self._refusal or malformed())

    def _refuse(self, refusal: Refusal) -> None:
        """Sends a refusal and closes the connection after a delay.

        Closing at once, with unread bytes, would make the caller lose the
        refusal. While an earlier request is being answered, the connection is
        closed without a refusal, so that its response is visibly incomplete.
        """
        self._refusal = refusal
        self._finish_head()
        self._on_refused(refusal)
        # Bytes that the client never reads would keep the connection open.
        self.loop.call_later(_ABORT_SECONDS, self.transport.abort)
        if self._is_serving_request():
            self.transport.close()
            return
        body = refusal_body(refusal)
        reason = HTTPStatus(refusal.status).phrase.encode()
        name, advice = refusal_headers(refusal)[0]
        self.transport.write(
            _RESPONSE_HEAD % (refusal.status, reason, name, advice, len(body))
            + body,
        )
        self.transport.write_eof()
        self.loop.call_later(_LINGER_SECONDS, self.transport.close)
        self._stop_request()

    def _reject(self, refusal: Refusal) -> None:
        self._refusal = refusal
        raise RefusedHeadError(refusal)

    def _start_idle_timer(self) -> None:
        """Starts the timer of an idle connection, if it does not run.

        uvicorn stops it at any received byte.
        """
        is_idle = self.cycle is None or self.cycle.response_complete
        is_stopped = self.timeout_keep_alive_task is None
        if is_idle and is_stopped and not self._is_in_head:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive,
                self.timeout_keep_alive_handler,
            )

    def _count_unreported(self, received_bytes: int) -> None:
        """Bounds incomplete headers, chunk extensions and trailers.

        The parser reports only complete headers and limits no sizes itself.
        """
        self._unparsed_bytes += max(0, received_bytes)
        if self._unparsed_bytes > self._limits.head_bytes:
            self._refuse(too_long(self._limits.head_bytes))

    def _add_head_bytes(self, added_bytes: int, memory_bytes: int) -> None:
        """Counts bytes as received and reserves the memory they occupy."""
        self._head_bytes += added_bytes
        self._unparsed_bytes = 0
        if self._head_bytes > self._limits.head_bytes:
            self._reject(too_long(self._limits.head_bytes))
        self._unreserved_bytes += memory_bytes
        if self._unreserved_bytes < _RESERVATION_BYTES:
            return
        if not self._holding.try_grow(self._unreserved_bytes):
            self._reject(no_room())
        self._request_bytes[-1] += self._unreserved_bytes
        self._unreserved_bytes = 0

    def _update_limits(self) -> None:
        self._limits = self._limits_source()
        idle_ms = self._limits.idle_timeout_ms
        # uvicorn passes it to call_later, which accepts fractions.
        self.timeout_keep_alive: Any = idle_ms / _MS_PER_SECOND

    def _start_head_timer(self) -> None:
        timeout_ms = self._limits.head_timeout_ms
        if timeout_ms is not None:
            self._head_timer = self.loop.call_later(
                timeout_ms / _MS_PER_SECOND,
                self._on_head_timeout,
            )

    def _on_head_timeout(self) -> None:
        if self._is_serving_request():
            self._start_head_timer()
            return
        self._refuse(too_slow())

    def _finish_head(self) -> None:
        self._is_in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
