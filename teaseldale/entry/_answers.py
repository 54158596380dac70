"""Writers of HTTP responses: streamed, unstreamed or from a service."""

import math
from collections.abc import Awaitable, Iterable

import anyio
import msgspec

from teaseldale.answers import AnswerLog, AnswerPart, StoredAnswer
from teaseldale.clock import BaseClock
from teaseldale.entry._arrival import KEY_HEADER
from teaseldale.entry._chat import (
    AnswerHead,
    ChatRequest,
    EventEncoder,
    completion_document,
    final_events,
    usage_of,
)
from teaseldale.entry._refusals import deadline_exceeded
from teaseldale.entry._unsent_answers import UnsentAnswers
from teaseldale.entry._write_pacer import WritePacer
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.web import Exchange

_STATUS_OK = 200
_JSON_TYPE = (b'content-type', b'application/json')
_MS_PER_SECOND = 1000
_STALL_LIMIT_SECONDS = 30  # limit for a write that makes no progress


class AnswerWriter:
    """Writes the answer of a request to one caller."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        pacer: WritePacer,
        unsent: UnsentAnswers,
    ) -> None:
        """Creates a writer; ``pacer`` coalesces writes of fast streams."""
        self._unsent = unsent
        self._clock = clock
        self._metrics = metrics
        self._pacer = pacer

    async def stream(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        chat: ChatRequest,
        head: AnswerHead,
        duration_ms: int,
    ) -> Refusal | None:
        """Streams an answer that has to start within ``duration_ms``.

        Returns a refusal that is still to be sent to the caller.
        """
        arrived_ms = self._clock.monotonic_ms()
        if not await _completes_within(duration_ms, answer.wait_for_start()):
            return deadline_exceeded()
        if answer.refusal is not None and not answer.output_tokens:
            return answer.refusal
        self._record('first_token', arrived_ms)
        await exchange.start(
            _STATUS_OK,
            (
                (b'content-type', b'text/event-stream'),
                (b'cache-control', b'no-store'),
                (KEY_HEADER, head.answer_id.encode()),
            ),
        )
        if not await self._write_parts(
            exchange,
            answer,
            EventEncoder(head=head),
        ):
            self._metrics.increment('readers_cut')
            exchange.abort()
            return None
        if answer.stored is None:
            return answer.refusal
        usage = _usage_of_stream(chat, answer.stored)
        await exchange.write(
            final_events(head, answer.stored.finish_reason, usage),
            last=True,
        )
        self._record('request', arrived_ms)
        return None

    async def _write_parts(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        encoder: EventEncoder,
    ) -> bool:
        """Writes parts of slow streams at once, coalesces those of fast ones.

        Returns False if a write was blocked for ``_STALL_LIMIT_SECONDS``.
        """
        phase = self._pacer.next_phase()
        written_ms = 0
        with anyio.CancelScope() as scope:
            async for batch in answer.batches():
                scope.deadline = anyio.current_time() + _STALL_LIMIT_SECONDS
                event = encoder.encode(batch)
                await exchange.write(event)
                await self._unsent.wait_until_sent(
                    exchange,
                    len(event) + answer.memory_bytes,
                )
                scope.deadline = math.inf
                now_ms = self._clock.monotonic_ms()
                is_fast = now_ms - written_ms < self._pacer.interval_ms
                written_ms = now_ms
                if is_fast or _token_count(batch) > 1:
                    await self._pacer.wait(phase)
            return True
        return False

    async def complete(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        head: AnswerHead,
        duration_ms: int,
    ) -> Refusal | None:
        """Sends a completion as one JSON document."""
        stored = await self._wait_for_stored(answer, duration_ms)
        if isinstance(stored, Refusal):
            return stored
        document = completion_document(
            head,
            stored.body.decode(),
            stored.finish_reason,
            usage_of(stored.prompt_tokens, stored.output_tokens),
        )
        body = msgspec.json.encode(document)
        await exchange.answer(
            _STATUS_OK,
            body,
            (_JSON_TYPE, (KEY_HEADER, head.answer_id.encode())),
        )
        self._unsent.hold_until_sent(exchange, len(body))
        return None

    async def forward(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        key: str,
        duration_ms: int,
    ) -> Refusal | None:
        """Forwards the response of a plain service."""
        stored = await self._wait_for_stored(answer, duration_ms)
        if isinstance(stored, Refusal):
            return stored
        await exchange.answer(
            stored.status,
            stored.body,
            (
                (b'content-type', stored.content_type.encode()),
                (KEY_HEADER, key.encode()),
            ),
        )
        self._unsent.hold_until_sent(exchange, len(stored.body))
        return None

    async def list_models(
        self,
        exchange: Exchange,
        names: Iterable[str],
    ) -> None:
        """Sends the list of models; raises ``NoRoomError`` if too large."""
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'teaseldale'}
            for name in names
        ]
        body = msgspec.json.encode({'object': 'list', 'data': models})
        self._unsent.check_room(len(body))
        await exchange.answer(_STATUS_OK, body, (_JSON_TYPE,))
        self._unsent.hold_until_sent(exchange, len(body))

    async def _wait_for_stored(
        self,
        answer: AnswerLog,
        duration_ms: int,
    ) -> StoredAnswer | Refusal:
        arrived_ms = self._clock.monotonic_ms()
        if not await _completes_within(duration_ms, answer.wait_for_end()):
            return deadline_exceeded()
        self._record('request', arrived_ms)
        return answer.stored or answer.refusal or deadline_exceeded()

    def _record(self, name: str, since_ms: int) -> None:
        self._metrics.record_ms(name, self._clock.monotonic_ms() - since_ms)


async def _completes_within(duration_ms: int, work: Awaitable[None]) -> bool:
    with anyio.move_on_after(duration_ms / _MS_PER_SECOND):
        await work
        return True
    return False


def _token_count(batch: list[AnswerPart]) -> int:
    return sum(part.token_count for part in batch)


def _usage_of_stream(
    chat: ChatRequest,
    stored: StoredAnswer,
) -> dict[str, int] | None:
    options = chat.stream_options
    if options is None or not options.include_usage:
        return None
    return usage_of(stored.prompt_tokens, stored.output_tokens)
