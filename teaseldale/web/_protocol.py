"""HTTP/1.1 protocol that answers malformed requests with JSON refusals."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from teaseldale.metrics import Metrics, PeerTraffic
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.web._counting_transport import CountingTransport
from teaseldale.web._exchange import (
    ABORT_KEY,
    RECEIVED_KEY,
    SEND_BUFFER_KEY,
    BaseSendBuffer,
)
from teaseldale.web._head_limits import HeadLimits, HeadLimitsSource
from teaseldale.web._refusal_answer import refusal_body

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
    b'x-should-retry: false\r\n'
    b'content-length: %d\r\n\r\n'
)
_HEADER_OVERHEAD_BYTES = 4  # colon, space and line ending of a header
# Spaces, version and line ending of the request line, and the final empty line.
_HEAD_OVERHEAD_BYTES = 14


class RefusedHeadError(ValueError):
    """A request head was refused before the request was served."""

    def __init__(self, refusal: Refusal) -> None:
        """Stores the refusal to be sent to the caller."""
        super().__init__(refusal.message)
        self.refusal = refusal


class _SendBuffer(BaseSendBuffer):
    """Send buffer of a connection of uvicorn."""

    def __init__(self, *, protocol: HttpToolsProtocol) -> None:
        self._protocol = protocol
        self._on_sent: list[Callable[[], object]] = []

    @property
    def is_full(self) -> bool:
        """Whether writers should wait."""
        return bool(self._protocol.flow.write_paused)

    def call_when_sent(self, callback: Callable[[], object]) -> None:
        """Calls ``callback`` once it is not full or the connection is lost."""
        self._on_sent.append(callback)

    def note_sent(self) -> None:
        """Calls the callbacks."""
        callbacks = tuple(self._on_sent)
        self._on_sent.clear()
        for callback in callbacks:
            callback()


class GuardedProtocol(HttpToolsProtocol):
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
        bytes of the connection.
        """
        super().__init__(*arguments, **options)
        self._on_refused = on_refused
        self._traffic = traffic or PeerTraffic(
            metrics=Metrics(),
            peer='client',
        )
        self._limits_source = limits
        self._limits = HeadLimits()
        self._head_bytes = 0  # of the parts that the parser reported
        self._unparsed_bytes = 0  # of a part that the parser buffers
        self._is_in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._refusal: Refusal | None = None
        self._send_buffer = _SendBuffer(protocol=self)

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
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive,
            self.timeout_keep_alive_handler,
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the head timer; nothing is sent any more."""
        self._finish_head()
        super().connection_lost(exc)
        self._send_buffer.note_sent()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        super().resume_writing()
        self._send_buffer.note_sent()

    def on_message_begin(self) -> None:
        """Starts the byte count and the timer of the next request's head."""
        self._update_limits()
        self._head_bytes = _HEAD_OVERHEAD_BYTES
        self._unparsed_bytes = 0
        self._is_in_head = True
        self._start_head_timer()
        super().on_message_begin()
        scope: Any = self.scope
        scope[ABORT_KEY] = self.transport.abort
        scope[RECEIVED_KEY] = self.loop.time()
        scope[SEND_BUFFER_KEY] = self._send_buffer

    def on_url(self, url: bytes) -> None:
        """Counts a part of the request target."""
        self._add_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Counts one complete header."""
        self._add_head_bytes(len(name) + len(value) + _HEADER_OVERHEAD_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Validates the complete head before the request is served."""
        self._add_head_bytes(len(self.parser.get_method()))
        self._finish_head()
        names = [name for name, _ in self.headers]
        for header_name in _SINGLE_HEADERS:
            if names.count(header_name) > 1:
                raise RefusedHeadError(_malformed())
        if b'content-length' in names and b'transfer-encoding' in names:
            raise RefusedHeadError(_malformed())
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; drops those after a refused head."""
        self._traffic.note_received(len(data))
        if self._refusal is not None:
            return
        was_in_head = self._is_in_head
        super().data_received(data)
        if was_in_head and self._is_in_head:
            self._count_unparsed(len(data))

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuses a request that the parser or a check rejected."""
        self._refuse(self._refusal or _malformed())

    def _refuse(self, refusal: Refusal) -> None:
        """Sends a refusal and closes the connection after a delay.

        Closing at once, with unread bytes, would make the caller lose the
        refusal. While an earlier request is being answered, the connection is
        closed without a refusal, so that its response is visibly incomplete.
        """
        self._refusal = refusal
        self._finish_head()
        self._on_refused(refusal)
        if self._is_serving_request():
            self.transport.close()
            return
        body = refusal_body(refusal)
        reason = HTTPStatus(refusal.status).phrase.encode()
        self.transport.write(
            _RESPONSE_HEAD % (refusal.status, reason, len(body)) + body,
        )
        self.transport.write_eof()
        self.loop.call_later(_LINGER_SECONDS, self.transport.close)

    def _is_serving_request(self) -> bool:
        if self.cycle is None or self.cycle.response_complete:
            return False
        return self.cycle.response_started or not self.cycle.more_body

    def _add_head_bytes(self, added_bytes: int) -> None:
        self._head_bytes += added_bytes
        self._unparsed_bytes = 0
        if self._head_bytes > self._limits.head_bytes:
            self._refusal = _too_long(self._limits.head_bytes)
            raise RefusedHeadError(self._refusal)

    def _count_unparsed(self, received_bytes: int) -> None:
        # The parser reports only complete headers and limits no sizes itself.
        self._unparsed_bytes += received_bytes
        if self._unparsed_bytes > self._limits.head_bytes:
            self._refuse(_too_long(self._limits.head_bytes))

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
        self._refuse(_too_slow())

    def _finish_head(self) -> None:
        self._is_in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _malformed() -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=(
            'The request is not well-formed HTTP/1.1: send one host and at '
            'most one content-length, and no content-length beside '
            'transfer-encoding.'
        ),
        not_run=True,
        step=Step.PARSE,
    )


def _too_long(limit_bytes: int) -> Refusal:
    return Refusal(
        code=RefusalCode.HEAD_TOO_LARGE,
        message=f'The request line and headers exceed {limit_bytes} bytes.',
        not_run=True,
        step=Step.PARSE,
    )


def _too_slow() -> Refusal:
    return Refusal(
        code=RefusalCode.REQUEST_TOO_SLOW,
        message='The request did not arrive whole in time.',
        not_run=True,
        step=Step.PARSE,
    )
