"""The answer that a caller gets, and its final status."""

from teaseldale.forwarding._wire import BaseWireFormat, ClientRequest
from teaseldale.outcomes import Refusal
from teaseldale.upstreams import WireHeaders
from teaseldale.web import Exchange, refusal_body

_CLOSE = (b'connection', b'close')


class CallerAnswer:
    """Writes one answer; after an abort nothing more is written."""

    def __init__(
        self,
        *,
        exchange: Exchange,
        wire: BaseWireFormat,
        closes_connection: bool,
    ) -> None:
        """Tells the caller to connect anew if ``closes_connection``."""
        self._exchange = exchange
        self._wire = wire
        self._added: WireHeaders = (_CLOSE,) if closes_connection else ()
        self.status = 0  # final status, 0 while there is none
        self.refusal: Refusal | None = None
        self.is_aborted = False

    @property
    def has_started(self) -> bool:
        """Whether the status has been sent."""
        return self._exchange.started

    async def start(self, status: int, headers: WireHeaders) -> None:
        """Sends the head of a runner's answer; only the first call counts."""
        if not self._exchange.started:
            self.status = status
            kept = self._wire.caller_headers(headers)
            await self._exchange.start(status, kept + self._added)

    async def write(self, part: bytes) -> None:
        """Sends a part; waits while the caller reads slowly."""
        await self._exchange.write(part)

    async def finish(self, part: bytes) -> None:
        """Sends the last part."""
        await self._exchange.write(part, last=True)

    async def whole(
        self,
        status: int,
        headers: WireHeaders,
        body: bytes,
    ) -> None:
        """Sends a runner's whole answer."""
        self.status = status
        kept = self._wire.caller_headers(headers)
        await self._exchange.answer(status, body, kept + self._added)

    async def refuse(
        self,
        refusal: Refusal,
        request: ClientRequest | None,
    ) -> None:
        """Sends an answer of the VM's own."""
        self.status = refusal.status
        self.refusal = refusal
        headers = self._wire.refusal_headers(request, refusal)
        await self._exchange.answer(
            refusal.status,
            refusal_body(refusal),
            headers + self._added,
        )

    def abort(self) -> None:
        """Closes the connection, so that the answer is visibly not whole."""
        self.is_aborted = True
        self._exchange.abort()
