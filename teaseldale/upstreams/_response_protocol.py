"""Receiving side of one HTTP connection to an upstream."""

import asyncio

import httpcore
import httptools

_BUFFER_LIMIT_BYTES = 65_536
_FIRST_FINAL_STATUS = 200


class ResponseProtocol(asyncio.Protocol):
    """Parses answers as they arrive and keeps what is not read yet.

    A reader waits with one future and one timer for each connection, which
    costs less processor time for each event of a stream than a cancel scope.
    """

    def __init__(self) -> None:
        """Expects no answer yet."""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.is_complete = False
        self.is_lost = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._deadline = float(0)
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()

    @property
    def can_be_reused(self) -> bool:
        """Whether another request can follow the answer."""
        if self.is_lost or not self.is_complete or self._error is not None:
            return False
        return bool(self._parser.should_keep_alive())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remembers the connection's transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Ends an answer that has neither length nor chunks, or fails it."""
        self.is_lost = True
        self._can_write.set()
        if self._timer is not None:
            self._timer.cancel()
        if not self.is_complete and error is None and self._ends_by_close():
            self.is_complete = True
        elif not self.is_complete:
            self._error = httpcore.ReadError('the connection was closed')
        self._wake()

    def data_received(self, received: bytes) -> None:
        """Parses what has arrived."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._error = httpcore.RemoteProtocolError(str(error))
        self._wake()

    def pause_writing(self) -> None:
        """Makes ``drain`` wait."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Lets ``drain`` return."""
        self._can_write.set()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Takes a header of the answer."""
        self.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Takes the status of the answer."""
        self.status = self._parser.get_status_code()
        self.has_head = self.status >= _FIRST_FINAL_STATUS

    def on_body(self, part: bytes) -> None:
        """Takes a part of the body; stops reading when much is kept."""
        self._chunks.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes > _BUFFER_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Notes the end of the answer; an interim one is forgotten."""
        if self.has_head:
            self.is_complete = True
        else:
            self.headers = []

    def expect(self) -> None:
        """Prepares for the answer of the next request."""
        self._parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.has_head = False
        self.is_complete = False
        self._chunks = []
        self._buffered_bytes = 0

    async def drain(self, timeout_seconds: float | None) -> None:
        """Waits until the transport takes more, or raises."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._can_write.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        if self.is_lost:
            raise httpcore.WriteError('the connection was closed')

    async def wait_for_head(self, timeout_seconds: float | None) -> None:
        """Returns when status and headers are there, or raises."""
        while not self.has_head:
            self._raise_error()
            await self._wait(timeout_seconds)

    async def read(self, timeout_seconds: float | None) -> bytes:
        """Returns what has arrived of the body; empty at its end."""
        while not self._chunks:
            if self.is_complete:
                return b''
            self._raise_error()
            await self._wait(timeout_seconds)
        received = b''.join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > _BUFFER_LIMIT_BYTES and self._transport:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return received

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    def _ends_by_close(self) -> bool:
        names = {name for name, _ in self.headers}
        framed = names & {b'content-length', b'transfer-encoding'}
        return self.has_head and not framed

    async def _wait(self, timeout_seconds: float | None) -> None:
        if timeout_seconds is not None:
            self._deadline = self._loop.time() + timeout_seconds
            if self._timer is None:
                self._timer = self._loop.call_at(self._deadline, self._expire)
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _expire(self) -> None:
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        if self._loop.time() < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._expire)
            return
        self._waiter.set_exception(httpcore.ReadTimeout())
