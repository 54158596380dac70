"""One HTTP request and its response over the ASGI messages of uvicorn."""

import abc
import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from teaseldale.memory import Holding
from teaseldale.outcomes import Refusal
from teaseldale.web._intake import RequestIntake
from teaseldale.web._refusal_answer import (
    Headers,
    refusal_body,
    refusal_event,
    refusal_headers,
)

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

# Scope key of the function that closes the connection.
ABORT_KEY = 'teaseldale.abort'
# Scope key of the event loop's time, in seconds, at which the request's first
# bytes were read.
RECEIVED_KEY = 'teaseldale.received'
# Scope key of the request's ``RequestIntake``.
INTAKE_KEY = 'teaseldale.intake'
# Scope key of the connection's ``BaseSendBuffer``.
SEND_BUFFER_KEY = 'teaseldale.send_buffer'
_MS_PER_SECOND = 1000
# Limits of the request body that is dropped after a response.
_DISCARDED_BYTES = 65_536
_DISCARD_SECONDS = 1
_JSON_HEADERS = ((b'content-type', b'application/json'),)


class BaseSendBuffer(abc.ABC):
    """Buffer of the bytes that were written and not sent yet."""

    @property
    @abc.abstractmethod
    def is_full(self) -> bool:
        """Whether writers should wait."""

    @abc.abstractmethod
    def call_when_sent(self, callback: Callable[[], object]) -> None:
        """Calls ``callback`` once it is not full or the connection is lost."""

    async def wait_until_sent(self) -> None:
        """Returns once it is not full or the connection is lost."""
        sent = asyncio.Event()
        self.call_when_sent(sent.set)
        await sent.wait()


class _NoBuffer(BaseSendBuffer):
    """Buffer of a connection that sends all bytes at once."""

    @property
    def is_full(self) -> bool:
        """Whether writers should wait."""
        return False

    def call_when_sent(self, callback: Callable[[], object]) -> None:
        """Calls ``callback``."""
        callback()


_NO_BUFFER = _NoBuffer()


class BodyTooLargeError(ValueError):
    """The request body exceeds its size limit."""


class NoRoomError(Exception):
    """The process holds too many bytes to receive the request body."""


class CallerGoneError(ConnectionError):
    """The caller disconnected before the request body was complete."""


class Exchange:
    """Reads one request and sends its response."""

    def __init__(self, *, scope: Scope, receive: Receive, send: Send) -> None:
        """Wraps the three ASGI arguments."""
        self._scope = scope
        self._receive = receive
        self._send = send
        self.started = False  # whether the response status was sent

    @property
    def waited_ms(self) -> int:
        """Time since the first bytes of the request were read."""
        now_seconds = asyncio.get_running_loop().time()
        received_seconds = self._scope.get(RECEIVED_KEY, now_seconds)
        return int((now_seconds - received_seconds) * _MS_PER_SECOND)

    @property
    def method(self) -> str:
        """HTTP method in upper case."""
        return str(self._scope['method'])

    @property
    def path(self) -> str:
        """Decoded path without the query string."""
        return str(self._scope['path'])

    @property
    def client(self) -> object:
        """IP address and port of the remote end of the connection."""
        return self._scope['client']

    @property
    def target(self) -> bytes:
        """Raw path and query string as received."""
        raw_path = self._scope['raw_path']
        query = self._scope['query_string']
        return b'?'.join((raw_path, query)) if query else bytes(raw_path)

    def header(self, name: bytes) -> str | None:
        """Returns the first header with the lower-case ``name``, or None."""
        for known, content in self._scope['headers']:
            if known == name:
                return bytes(content).decode('latin-1')
        return None

    def headers(self) -> Headers:
        """Returns all headers with lower-case names."""
        return tuple(self._scope['headers'])

    def query(self, name: str, default: str = '') -> str:
        """Returns the first query parameter ``name``, or ``default``."""
        query = parse_qs(str(self._scope['query_string'], 'latin-1'))
        return query.get(name, [default])[0]

    async def body(
        self,
        limit_bytes: int,
        holding: Holding | None = None,
    ) -> bytes:
        """Returns the complete request body, which ``holding`` grows by.

        Raises ``BodyTooLargeError`` above ``limit_bytes``, ``NoRoomError`` if
        the holding may not grow, and ``CallerGoneError`` if the caller
        disconnects first.
        """
        declared_bytes = int(self.header(b'content-length') or 0)
        if declared_bytes > limit_bytes:
            raise BodyTooLargeError
        _reserve_body(self._scope, declared_bytes, holding)
        parts: list[bytes] = []
        received_bytes = 0
        more = True
        while more:
            part, more = _part_of(await self._receive())
            parts.append(part)
            received_bytes += len(part)
            if received_bytes > limit_bytes:
                raise BodyTooLargeError
            _take_bytes(
                self._scope,
                0 if declared_bytes else len(part),
                holding,
            )
        return b''.join(parts)

    @property
    def declared_bytes(self) -> int | None:
        """Length of the request body; None if it is not stated."""
        length = self.header(b'content-length')
        if length is not None:
            return int(length)
        return None if self.header(b'transfer-encoding') else 0

    async def wait_for_disconnect(self) -> None:
        """Returns when the caller has closed the connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent data."""
        self._scope[ABORT_KEY]()

    async def start(
        self,
        status: int,
        headers: Headers,
    ) -> None:
        """Sends the status and headers."""
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, chunk: bytes, *, last: bool = False) -> None:
        """Sends a chunk of the body; blocks while the caller reads slowly."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': not last,
            }
        )

    @property
    def send_buffer(self) -> BaseSendBuffer:
        """Buffer of the connection for bytes that were not sent yet."""
        send_buffer: BaseSendBuffer = self._scope.get(
            SEND_BUFFER_KEY,
            _NO_BUFFER,
        )
        return send_buffer

    async def answer_json(
        self,
        status: int,
        body: object,
        headers: Headers = (),
    ) -> None:
        """Sends a complete JSON response."""
        await self.answer(
            status,
            msgspec.json.encode(body),
            _JSON_HEADERS + headers,
        )

    async def refuse(self, refusal: Refusal, headers: Headers = ()) -> None:
        """Sends a refusal.

        If the response has started, the refusal is sent as a server-sent event
        and the connection is cut, so that the response is visibly incomplete.
        """
        if self.started:
            await self.write(refusal_event(refusal))
            return
        await self.answer(
            refusal.status,
            refusal_body(refusal),
            (*_JSON_HEADERS, *refusal_headers(refusal), *headers),
        )

    async def answer_unread(
        self,
        status: int,
        body: bytes,
        headers: Headers,
    ) -> None:
        """Sends a complete response before the request body was read.

        Closing the connection with unread bytes would make the caller lose the
        response, so the rest of the body is dropped first, for a limited time.
        ``headers`` must close the connection.
        """
        length = str(len(body)).encode()
        await self.start(status, (*headers, (b'content-length', length)))
        await self.write(body)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DISCARD_SECONDS):
                await _discard_body(self._receive)
        await self.write(b'', last=True)

    async def answer(
        self,
        status: int,
        body: bytes,
        headers: Headers,
    ) -> None:
        """Sends a complete response with its ``content-length``."""
        length = str(len(body)).encode()
        await self.start(status, (*headers, (b'content-length', length)))
        await self.write(body, last=True)


async def _discard_body(receive: Receive) -> None:
    """Reads and drops the rest of a request body, up to a limit."""
    left_bytes = _DISCARDED_BYTES
    more = True
    while more and left_bytes > 0:
        try:
            part, more = _part_of(await receive())
        except CallerGoneError:
            return
        left_bytes -= len(part)
    if more:
        # The caller reads the response while its further bytes wait.
        await asyncio.sleep(_DISCARD_SECONDS)


def _reserve_body(
    scope: Scope,
    declared_bytes: int,
    holding: Holding | None,
) -> None:
    """Raises ``NoRoomError`` if a body of this length may not be held."""
    intake: RequestIntake | None = scope.get(INTAKE_KEY)
    if intake is None:
        _take_bytes(scope, declared_bytes, holding)
    elif not intake.try_reserve(declared_bytes, holding):
        raise NoRoomError


def _take_bytes(
    scope: Scope,
    size_bytes: int,
    holding: Holding | None,
) -> None:
    """Raises ``NoRoomError`` if the bytes may not be held."""
    intake: RequestIntake | None = scope.get(INTAKE_KEY)
    if intake is None:
        fits = holding is None or holding.try_grow(size_bytes)
    else:
        fits = intake.try_take(size_bytes)
    if not fits:
        raise NoRoomError


def _part_of(message: dict[str, Any]) -> tuple[bytes, bool]:
    """Returns a part of the request body and whether more follow."""
    if message['type'] == 'http.disconnect':
        raise CallerGoneError
    return message.get('body', b''), bool(message.get('more_body', False))
