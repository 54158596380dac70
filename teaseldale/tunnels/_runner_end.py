"""The runner's end of a tunnel."""

import asyncio
from collections.abc import Callable

import httptools

from teaseldale.tunnels._pipe import PipeEnd
from teaseldale.upstreams import (
    BaseProcessWitness,
    BaseWitnessUse,
    BodyFraming,
    ConnectionEnd,
    EndFinding,
    ListenerProbe,
    PeerAddress,
    WireHeaders,
    check_status,
    framing_of,
)

_FIRST_FINAL_STATUS = 200
# Bytes in which the head of the answer is looked for. The other VM accepts no
# longer one.
_MAX_OBSERVED_BYTES = 65_536


class RunnerEnd(PipeEnd):
    """Forwards a runner's bytes unchanged, and reads the answer's head.

    Only the VM that has the runner's connection can tell the end of a response
    from a reset or the end of the process. So it examines an end that may be
    that of a response before it forwards it.
    """

    def __init__(
        self,
        *,
        address: PeerAddress,
        probe: ListenerProbe,
        witness: BaseProcessWitness | None,
        on_head: Callable[[int, WireHeaders], None],
        on_end: Callable[[EndFinding], None],
    ) -> None:
        """Calls ``on_head`` with the status and headers, names in lower case.

        It is not called for bytes that are no answer. ``on_end`` is called with
        what the examination of the connection's end has found.
        """
        super().__init__()
        self._address = address
        self._probe = probe
        self._witness_use = None if witness is None else witness.observe()
        self._on_head = on_head
        self._on_end = on_end
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._observed_bytes = 0
        self._framing: BodyFraming | None = None  # known once the head is
        self._examination: asyncio.Task[None] | None = None

    def data_received(self, received: bytes) -> None:
        """Forwards received bytes."""
        if self._parser is not None:
            self._observe(self._parser, received)
        super().data_received(received)

    def eof_received(self) -> bool:
        """Forwards the end, once examined if it may be that of a response.

        Returns whether to keep the connection.
        """
        if self._transport is None or not self._may_end_response:
            return super().eof_received()
        self._has_eof = True
        end = ConnectionEnd(
            transport=self._transport,
            peer_address=self._address,
            probe=self._probe,
            witness=self._witness_use,
        )
        self._examination = asyncio.create_task(self._examine(end))
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the pipe, and what has observed the runner for it."""
        if self._examination is not None:
            self._examination.cancel()
        if self._witness_use is not None:
            self._witness_use.end()
        super().connection_lost(error)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Reports the head of the final answer; drops an interim one."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        check_status(status)
        if status >= _FIRST_FINAL_STATUS:
            self._parser = None
            headers = tuple(self._headers)
            self._framing = framing_of(headers)
            if self._witness_use is not None:
                self._note_framing(self._witness_use)
            self._on_head(status, headers)
        self._headers.clear()

    def _note_framing(self, use: BaseWitnessUse) -> None:
        if self._ends_response:
            use.begin()
        else:
            use.dismiss()

    @property
    def _ends_response(self) -> bool:
        """Whether the response is known to end with its connection."""
        return self._framing is BodyFraming.CONNECTION

    @property
    def _may_end_response(self) -> bool:
        """Whether the end of the connection may be that of a response.

        The other VM judges bytes in which this one has found no head.
        """
        is_unread = self._framing is None and self._parser is None
        return self._ends_response or is_unread

    async def _examine(self, end: ConnectionEnd) -> None:
        try:
            await end.find_fault()
        except Exception:
            # The VM that asked must neither wait nor take the end for good.
            if self._other is not None:
                self._other.reset()
            raise
        self._on_end(end.finding)
        if not self._pass_end(end.finding):
            self.close()

    def _observe(
        self,
        parser: httptools.HttpResponseParser,
        received: bytes,
    ) -> None:
        self._observed_bytes += len(received)
        try:
            parser.feed_data(received)
        except httptools.HttpParserError:
            # The VM that asked for the tunnel judges the answer.
            self._parser = None
        if self._observed_bytes > _MAX_OBSERVED_BYTES:
            self._parser = None
