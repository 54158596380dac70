"""HTTP/1.1 protocol that refuses malformed requests in JSON."""

from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.web._exchange import ABORT_KEY
from teaseldale.web._refusal_answer import refusal_body

_HEAD_LIMIT_BYTES = 65_536
_WRITE_LIMIT_BYTES = 8192  # unsent bytes after which writers wait
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
_HEAD = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'content-type: application/json\r\n'
    b'connection: close\r\n'
    b'x-should-retry: false\r\n'
    b'content-length: %d\r\n\r\n'
)


class MalformedHeadError(ValueError):
    """The request's head is ambiguous or too long."""


class GuardedProtocol(HttpToolsProtocol):
    """Refuses heads that two parsers could read in two ways."""

    def __init__(
        self,
        *arguments: Any,
        on_malformed: Callable[[], None],
        **options: Any,
    ) -> None:
        """Calls ``on_malformed`` for each request that is refused here."""
        super().__init__(*arguments, **options)
        self._on_malformed = on_malformed
        self._head_bytes = 0
        self._is_refused = False

    def connection_made(self, transport: Any) -> None:
        """Bounds what a slow reader makes the process hold."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=_WRITE_LIMIT_BYTES)

    def on_message_begin(self) -> None:
        """Starts counting the head of the next request."""
        self._head_bytes = 0
        super().on_message_begin()
        scope: Any = self.scope
        scope[ABORT_KEY] = self.transport.abort

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Takes one header."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Checks the head as a whole before the request is served."""
        names = [name for name, _ in self.headers]
        for single in _SINGLE_HEADERS:
            if names.count(single) > 1:
                raise MalformedHeadError
        if b'content-length' in names and b'transfer-encoding' in names:
            raise MalformedHeadError
        super().on_headers_complete()

    def data_received(self, data: bytes) -> None:
        """Takes bytes; those after a refused head are dropped."""
        if not self._is_refused:
            super().data_received(data)

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuses the request; an answer under way is cut visibly.

        The connection is closed a little later, because closing it while
        bytes are unread would make the caller lose the refusal.
        """
        self._is_refused = True
        self._on_malformed()
        if self._answers_another_request():
            self.transport.close()
            return
        body = refusal_body(_malformed())
        self.transport.write(_HEAD % len(body) + body)
        self.transport.write_eof()
        self.loop.call_later(_LINGER_SECONDS, self.transport.close)

    def _answers_another_request(self) -> bool:
        if self.cycle is None or self.cycle.response_complete:
            return False
        return self.cycle.response_started or not self.cycle.more_body

    def _count(self, added_bytes: int) -> None:
        self._head_bytes += added_bytes
        if self._head_bytes > _HEAD_LIMIT_BYTES:
            raise MalformedHeadError


def _malformed() -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=(
            'The request is not well-formed HTTP/1.1: send one host and at '
            'most one content-length, no content-length beside '
            'transfer-encoding, and a head of at most '
            f'{_HEAD_LIMIT_BYTES} bytes.'
        ),
        not_run=True,
        step=Step.PARSE,
    )
