"""The answer that a caller gets, and its final status."""

import enum

from teaseldale.forwarding._wire import BaseWireFormat, ClientRequest
from teaseldale.outcomes import Refusal
from teaseldale.upstreams import WireHeaders
from teaseldale.web import Exchange, refusal_body

_CLOSE = (b'connection', b'close')


@enum.unique
class CutReason(enum.StrEnum):
    """Why an answer was not sent whole."""

    NONE = ''
    CALLER_LEFT = 'caller_left'
    VM_ENDED = 'vm_ended'  # its time to drain was over
    TIME_OVER = 'time_over'  # of the request
    RUNNER_BROKE_OFF = 'runner_broke_off'
    VM_FAILED = 'vm_failed'


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
        self.cut_reason = CutReason.NONE
        self.is_whole = False  # whether its last byte has been given away

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
        self.is_whole = True

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
        self.is_whole = True

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
        self.is_whole = True

    def abort(self, reason: CutReason) -> None:
        """Closes the connection, so that the answer is visibly not whole."""
        if self.cut_reason is CutReason.NONE:
            self.cut_reason = reason
        self._exchange.abort()
