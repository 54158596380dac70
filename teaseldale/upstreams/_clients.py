"""Interfaces of the upstream clients."""

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
    """Kind of an upstream failure; selects the recovery."""

    REFUSED = 'refused'  # rejected before anything ran
    BROKEN = 'broken'  # connection lost; the upstream may have crashed
    SILENT = 'silent'  # no data within the time limit
    CROSSED = 'crossed'  # the response belongs to another request
    FAILED = 'failed'  # error response, possibly after running


class UpstreamError(Exception):
    """Failure of an upstream; ``may_have_run`` marks unsafe retries."""

    def __init__(
        self,
        *,
        step: Step,
        peer: str,
        reason: str,
        may_have_run: bool,
        kind: FailureKind | None = None,
    ) -> None:
        """Records the origin; infers ``kind`` from ``may_have_run`` if None."""
        super().__init__(f'{step} at {peer}: {reason}')
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
        self.kind = kind or _default_kind(may_have_run=may_have_run)


@attrs.frozen(kw_only=True)
class EngineCall:
    """Completion request for an engine."""

    request_id: str  # same on every retry; identifies the run
    body: bytes  # chat-completions JSON with ``stream`` set
    offset: int = 0  # tokens already received, where the engine resumes
    progress_timeout_ms: int = 10_000  # longest gap within the stream
    fresh_connection: bool = False  # pooled connections may be dead


@attrs.frozen(kw_only=True)
class EngineFinished:
    """Final event of a complete stream."""

    prompt_tokens: int
    output_tokens: int
    finish_reason: str


@attrs.frozen(kw_only=True)
class ServiceCall:
    """Call of a plain service."""

    request_id: str  # sent as the idempotency key
    method: str
    path: str  # with the query, relative to the service URL
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    timeout_ms: int
    fresh_connection: bool = False  # pooled connections may be dead


@attrs.frozen(kw_only=True)
class ServiceAnswer:
    """Complete response of a plain service."""

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
        """Opens a stream of answer parts that ends with ``EngineFinished``."""

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Asks the engine to cancel a run; ignores errors."""


class BaseServiceClient(abc.ABC):
    """Client of plain services; raises ``UpstreamError``."""

    @abc.abstractmethod
    async def call(
        self, upstream: Upstream, call: ServiceCall
    ) -> ServiceAnswer:
        """Sends the call once, without a retry."""


def _default_kind(*, may_have_run: bool) -> FailureKind:
    return FailureKind.BROKEN if may_have_run else FailureKind.REFUSED
