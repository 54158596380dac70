"""Reader that copies the stream of an engine to the answer log."""

import enum

import anyio
import attrs
import msgspec

from teaseldale.answers import AnswerLog, AnswerPart, AnswerReservation
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._evidence import RunEvidence
from teaseldale.notes import Upstream
from teaseldale.outcomes import Step
from teaseldale.upstreams import (
    EngineCall,
    EngineEvents,
    EngineFinished,
    FailureKind,
    UpstreamError,
)

_PAUSE_LIMIT_MS = 1000
_MS_PER_SECOND = 1000
_LENGTH = 'length'


@enum.unique
class StreamEnd(enum.Enum):
    """Reasons to stop reading before the engine has finished."""

    READER_SLOW = enum.auto()  # resumed when the caller has caught up


@attrs.frozen(kw_only=True)
class StreamBounds:
    """Limits at which an answer is truncated."""

    output_limit_tokens: int
    answer_reservation: AnswerReservation


class EngineStream:
    """Reads one run of a request, with back-pressure from slow callers."""

    def __init__(
        self,
        *,
        parts: RequestDependencies,
        answer: AnswerLog,
        bounds: StreamBounds,
        evidence: RunEvidence,
    ) -> None:
        """Creates a reader; ``answer`` may hold text of earlier runs."""
        self._parts = parts
        self._answer = answer
        self._bounds = bounds
        self._evidence = evidence

    async def read(
        self,
        upstream: Upstream,
        call: EngineCall,
    ) -> EngineFinished | StreamEnd:
        """Reads until the stream ends, a limit is hit or the caller stalls.

        Raises ``UpstreamError``.
        """
        try:
            async with self._parts.engines.stream(upstream, call) as events:
                return await self._process_events(upstream, events)
        except msgspec.MsgspecError as error:
            raise _unreadable_stream(upstream, str(error)) from error

    async def _process_events(
        self,
        upstream: Upstream,
        events: EngineEvents,
    ) -> EngineFinished | StreamEnd:
        async for event in events:
            result = await self._process_event(upstream, event)
            if result is not None:
                return result
        raise UpstreamError(
            step=Step.STREAM,
            peer=upstream.name,
            reason='the stream ended without usage',
            may_have_run=True,
        )

    async def _process_event(
        self,
        upstream: Upstream,
        event: AnswerPart | EngineFinished,
    ) -> EngineFinished | StreamEnd | None:
        if isinstance(event, EngineFinished):
            return event
        self._evidence.note_token()
        end_tokens = event.offset + event.token_count
        if end_tokens > self._bounds.output_limit_tokens:
            return self._truncate()
        if end_tokens <= self._answer.output_tokens:
            return None  # duplicate after a resume at an earlier offset
        if event.offset != self._answer.output_tokens:
            raise _unreadable_stream(
                upstream, 'tokens are missing in the stream'
            )
        if self._exceeds_reservation(event):
            return self._truncate()
        self._answer.append(event)
        if self._answer.has_room:
            return None
        return await self._pause()

    async def _pause(self) -> StreamEnd | None:
        self._parts.metrics.increment('streams_paused')
        self._evidence.pause()
        with anyio.move_on_after(_PAUSE_LIMIT_MS / _MS_PER_SECOND):
            await self._answer.wait_for_room()
            self._evidence.resume()
            return None
        return StreamEnd.READER_SLOW

    def _exceeds_reservation(self, part: AnswerPart) -> bool:
        size_bytes = self._answer.size_bytes + len(part.text.encode())
        return size_bytes > self._bounds.answer_reservation.size_bytes

    def _truncate(self) -> EngineFinished:
        self._parts.metrics.increment('answers_cut', _LENGTH)
        return EngineFinished(
            prompt_tokens=0,
            output_tokens=self._answer.output_tokens,
            finish_reason=_LENGTH,
        )


def _unreadable_stream(upstream: Upstream, reason: str) -> UpstreamError:
    return UpstreamError(
        step=Step.STREAM,
        peer=upstream.name,
        reason=reason,
        may_have_run=True,
        kind=FailureKind.CROSSED,
    )
