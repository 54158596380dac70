"""The runner's end of a tunnel."""

from collections.abc import Callable

import httptools

from teaseldale.tunnels._pipe import PipeEnd
from teaseldale.upstreams import EndFinding, WireHeaders, has_socket_error

_FIRST_FINAL_STATUS = 200
# Bytes in which the head of the answer is looked for.
_MAX_OBSERVED_BYTES = 16_384


class RunnerEnd(PipeEnd):
    """Forwards a runner's bytes unchanged, and reads the answer's head."""

    def __init__(
        self,
        *,
        on_head: Callable[[int, WireHeaders], None],
        on_end: Callable[[EndFinding], None],
    ) -> None:
        """Calls ``on_head`` with the status and headers, names in lower case.

        It is not called for bytes that are no answer. ``on_end`` is called
        once the runner has ended its direction.
        """
        super().__init__()
        self._on_head = on_head
        self._on_end = on_end
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._observed_bytes = 0

    def data_received(self, received: bytes) -> None:
        """Forwards received bytes."""
        if self._parser is not None:
            self._observe(self._parser, received)
        super().data_received(received)

    def eof_received(self) -> bool:
        """Forwards the end; says whether the socket holds a reset by now."""
        is_reset = self._transport is not None and has_socket_error(
            self._transport,
        )
        self._on_end(EndFinding.RESET if is_reset else EndFinding.COMPLETE)
        return super().eof_received()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Stores a header."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Reports the head of the final answer; drops an interim one."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._parser = None
            self._on_head(status, tuple(self._headers))
        self._headers.clear()

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
