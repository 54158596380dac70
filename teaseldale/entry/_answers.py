"""Writing of answers: streamed, whole, or of a plain service."""

from collections.abc import Awaitable

import anyio

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.clock import BaseClock
from teaseldale.entry._arrival import KEY_HEADER
from teaseldale.entry._chat import (
    AnswerHead,
    ChatRequest,
    last_events,
    stream_event,
    usage_of,
    whole_answer,
)
from teaseldale.entry._refusals import deadline_exceeded
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.web import Exchange

_STATUS_OK = 200
_MS_PER_SECOND = 1000


class AnswerWriter:
    """Writes the answer of a request to one of its callers."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        coalesce_ms: int,
    ) -> None:
        """Sends the parts that arrive within ``coalesce_ms`` together."""
        self._clock = clock
        self._metrics = metrics
        self._coalesce_ms = coalesce_ms

    async def stream(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        chat: ChatRequest,
        head: AnswerHead,
        duration_ms: int,
    ) -> Refusal | None:
        """Streams; the first part has to come within ``duration_ms``."""
        arrived_ms = self._clock.monotonic_ms()
        if not await _within(duration_ms, answer.wait_for_start()):
            return deadline_exceeded()
        if answer.refusal is not None and not answer.parts:
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
        async for batch in answer.batches():
            await exchange.write(stream_event(head, batch))
            await self._clock.sleep_ms(self._coalesce_ms)
        if answer.stored is None:
            return answer.refusal
        usage = _usage_of_stream(chat, answer.stored)
        await exchange.write(
            last_events(head, answer.stored.finish_reason, usage),
            last=True,
        )
        self._record('request', arrived_ms)
        return None

    async def complete(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        head: AnswerHead,
        duration_ms: int,
    ) -> Refusal | None:
        """Sends a completion as one document."""
        stored = await self._stored(answer, duration_ms)
        if isinstance(stored, Refusal):
            return stored
        await exchange.answer_json(
            _STATUS_OK,
            whole_answer(
                head,
                stored.body.decode(),
                stored.finish_reason,
                usage_of(stored.prompt_tokens, stored.output_tokens),
            ),
            ((KEY_HEADER, head.answer_id.encode()),),
        )
        return None

    async def pass_on(
        self,
        exchange: Exchange,
        answer: AnswerLog,
        key: str,
        duration_ms: int,
    ) -> Refusal | None:
        """Sends a plain service's answer as it came."""
        stored = await self._stored(answer, duration_ms)
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
        return None

    async def _stored(
        self,
        answer: AnswerLog,
        duration_ms: int,
    ) -> StoredAnswer | Refusal:
        arrived_ms = self._clock.monotonic_ms()
        if not await _within(duration_ms, answer.wait_for_end()):
            return deadline_exceeded()
        self._record('request', arrived_ms)
        return answer.stored or answer.refusal or deadline_exceeded()

    def _record(self, name: str, since_ms: int) -> None:
        self._metrics.record_ms(name, self._clock.monotonic_ms() - since_ms)


async def _within(duration_ms: int, work: Awaitable[None]) -> bool:
    with anyio.move_on_after(duration_ms / _MS_PER_SECOND):
        await work
        return True
    return False


def _usage_of_stream(
    chat: ChatRequest,
    stored: StoredAnswer,
) -> dict[str, int] | None:
    options = chat.stream_options
    if options is None or not options.include_usage:
        return None
    return usage_of(stored.prompt_tokens, stored.output_tokens)
