"""Interfaces of the clients of upstreams."""

import abc
import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import attrs

from teaseldale.answers import AnswerPart
from teaseldale.notes import Upstream
from teaseldale.outcomes import Step


@enum.unique
class FailureKind(enum.StrEnum):
    """How an upstream failed; decides what is done next."""

    REFUSED = 'refused'  # nothing ran
    BROKEN = 'broken'  # the connection broke: the upstream may have crashed
    SILENT = 'silent'  # nothing came for longer than the limit
    CROSSED = 'crossed'  # the answer belongs to another request
    FAILED = 'failed'  # an answer with an error, perhaps after running


class UpstreamError(Exception):
    """An upstream failed; ``may_have_run`` tells what a retry risks."""

    def __init__(
        self,
        *,
        step: Step,
        peer: str,
        reason: str,
        may_have_run: bool,
        kind: FailureKind | None = None,
    ) -> None:
        """Records where the error arose; ``kind`` is guessed if absent."""
        super().__init__(f'{step} at {peer}: {reason}')
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
        self.kind = kind or _likely_kind(may_have_run=may_have_run)


@attrs.frozen(kw_only=True)
class EngineCall:
    """One completion as sent to an engine."""

    request_id: str  # same on every retry, names the run at the engine
    body: bytes  # chat-completions JSON with stream set
    offset: int = 0  # tokens already received; the engine resumes there
    progress_timeout_ms: int = 10_000  # longest silence within the stream
    fresh_connection: bool = False  # an open one may have gone silent


@attrs.frozen(kw_only=True)
class EngineFinished:
    """Last event of a whole stream."""

    prompt_tokens: int
    output_tokens: int
    finish_reason: str


@attrs.frozen(kw_only=True)
class ServiceCall:
    """One call of a plain service."""

    request_id: str  # sent as idempotency key
    method: str
    path: str  # with the query, relative to the service
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    timeout_ms: int
    fresh_connection: bool = False  # an open one may have gone silent


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


EngineEvents = AsyncIterator[AnswerPart | EngineFinished]


class BaseEngineClient(abc.ABC):
    """Client of model engines; raises ``UpstreamError``."""

    @abc.abstractmethod
    def stream(
        self,
        upstream: Upstream,
        call: EngineCall,
    ) -> AbstractAsyncContextManager[EngineEvents]:
        """Opens a stream of parts that ends with ``EngineFinished``."""

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Asks the engine to stop a run; errors are not raised."""


class BaseServiceClient(abc.ABC):
    """Client of plain services; raises ``UpstreamError``."""

    @abc.abstractmethod
    async def call(
        self, upstream: Upstream, call: ServiceCall
    ) -> ServiceAnswer:
        """Sends the call once."""


def _likely_kind(*, may_have_run: bool) -> FailureKind:
    return FailureKind.BROKEN if may_have_run else FailureKind.REFUSED
