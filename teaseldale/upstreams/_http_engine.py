"""HTTP engine client: chat completions over server-sent events."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import quote

import attrs
import httpcore
import msgspec

from teaseldale.answers import AnswerPart
from teaseldale.notes import Upstream
from teaseldale.outcomes import Step
from teaseldale.upstreams._clients import (
    BaseEngineClient,
    EngineCall,
    EngineEvents,
    EngineFinished,
    FailureKind,
    UpstreamError,
)
from teaseldale.upstreams._event_size import (
    OversizedEventError,
    check_partial_event,
)
from teaseldale.upstreams._http_connection import UpstreamPool

_MS_PER_SECOND = 1000
_CONNECT_TIMEOUT_MS = 1000
_CANCEL_TIMEOUT_MS = 1000
_MAX_CONNECTIONS = 4096
_STATUS_OK = 200
_STATUS_SERVER_ERROR = 500
_STATUS_BUSY = 503
_REJECTED_STATUSES = frozenset((400, 413, 422))
_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data: '
_DONE = b'[DONE]'


@attrs.frozen(kw_only=True)
class _Delta:
    content: str | None = None


@attrs.frozen(kw_only=True)
class _Choice:
    delta: _Delta = _Delta()
    finish_reason: str | None = None


@attrs.frozen(kw_only=True)
class _Usage:
    prompt_tokens: int
    completion_tokens: int


@attrs.frozen(kw_only=True)
class _Event:
    id: str  # id of the request that the event belongs to
    offset: int = 0  # tokens before this event
    token_count: int = 1  # tokens in this event
    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Event)


class UpstreamRejectedError(UpstreamError):
    """The engine rejects the prompt, as every other engine would."""


class HttpEngineClient(BaseEngineClient):
    """Engine client on pooled httpcore connections."""

    def __init__(self) -> None:
        """Creates a client; connections are opened on demand."""
        # One pool per upstream, as the cost of a request in a pool grows with
        # the number of its open connections.
        self._pools: dict[str, UpstreamPool] = {}
        self._fresh_pool = UpstreamPool(
            max_connections=_MAX_CONNECTIONS,
            reuses_connections=False,
        )

    @asynccontextmanager
    async def stream(
        self,
        upstream: Upstream,
        call: EngineCall,
    ) -> AsyncIterator[EngineEvents]:
        """Opens a stream; raises ``UpstreamError`` on failures.

        A failure before the engine ran the request has ``may_have_run`` false.
        """
        pool = self._fresh_pool
        if not call.fresh_connection:
            pool = self._pool_of(upstream)
        try:
            async with pool.stream(
                'POST',
                f'{upstream.url}/v1/chat/completions',
                headers=_headers(call),
                content=call.body,
                extensions={'timeout': _timeouts(call.progress_timeout_ms)},
            ) as response:
                if response.status != _STATUS_OK:
                    raise _rejection_error(upstream, response.status)
                yield _read_events(upstream, call, response)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise _failure_error(upstream, error, may_have_run=False) from error
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise _failure_error(upstream, error, may_have_run=True) from error

    def _pool_of(self, upstream: Upstream) -> UpstreamPool:
        pool = self._pools.get(upstream.name)
        if pool is None:
            pool = UpstreamPool(max_connections=_MAX_CONNECTIONS)
            self._pools[upstream.name] = pool
        return pool

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Asks the engine to cancel a run; ignores errors."""
        try:
            await self._fresh_pool.request(
                'DELETE',
                f'{upstream.url}/v1/requests/{quote(request_id)}',
                extensions={'timeout': _timeouts(_CANCEL_TIMEOUT_MS)},
            )
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ):
            return


async def _read_events(
    upstream: Upstream,
    call: EngineCall,
    response: httpcore.Response,
) -> EngineEvents:
    buffer = b''
    async for chunk in response.stream:  # type: ignore[union-attr]
        *encoded_events, buffer = (buffer + chunk).split(_EVENT_END)
        for encoded in encoded_events:
            payload = encoded.removeprefix(_DATA_PREFIX)
            if payload == _DONE:
                return
            yield _to_engine_event(
                upstream, call, _decode_event(upstream, payload)
            )
        _check_event_size(upstream, len(buffer))
    raise UpstreamError(
        step=Step.STREAM,
        peer=upstream.name,
        reason='the stream ended before its last event',
        may_have_run=True,
    )


def _check_event_size(upstream: Upstream, size_bytes: int) -> None:
    try:
        check_partial_event(size_bytes)
    except OversizedEventError as error:
        raise UpstreamError(
            step=Step.STREAM,
            peer=upstream.name,
            reason=str(error),
            may_have_run=True,
        ) from error


def _decode_event(upstream: Upstream, payload: bytes) -> _Event:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise UpstreamError(
            step=Step.STREAM,
            peer=upstream.name,
            reason=f'event that cannot be read: {error}',
            may_have_run=True,
        ) from error


def _to_engine_event(
    upstream: Upstream,
    call: EngineCall,
    event: _Event,
) -> AnswerPart | EngineFinished:
    if event.id != call.request_id:
        raise UpstreamError(
            step=Step.STREAM,
            peer=upstream.name,
            reason=f'answer of another request: {event.id}',
            may_have_run=True,
            kind=FailureKind.CROSSED,
        )
    if event.usage is not None:
        return EngineFinished(
            prompt_tokens=event.usage.prompt_tokens,
            output_tokens=event.usage.completion_tokens,
            finish_reason=event.choices[0].finish_reason or 'stop',
        )
    return AnswerPart(
        offset=event.offset,
        token_count=event.token_count,
        text=event.choices[0].delta.content or '',
    )


def _headers(call: EngineCall) -> dict[bytes | str, bytes | str]:
    return {
        'content-type': 'application/json',
        'x-request-id': call.request_id,
        'x-resume-offset': str(call.offset),
    }


def _timeouts(read_timeout_ms: int) -> dict[str, float]:
    return {
        'connect': _CONNECT_TIMEOUT_MS / _MS_PER_SECOND,
        'read': read_timeout_ms / _MS_PER_SECOND,
        'write': read_timeout_ms / _MS_PER_SECOND,
        'pool': _CONNECT_TIMEOUT_MS / _MS_PER_SECOND,
    }


def _rejection_error(upstream: Upstream, status: int) -> UpstreamError:
    reason = f'refused with status {status}'
    if status in _REJECTED_STATUSES:
        return UpstreamRejectedError(
            step=Step.DISPATCH,
            peer=upstream.name,
            reason=reason,
            may_have_run=False,
        )
    before_running = status < _STATUS_SERVER_ERROR or status == _STATUS_BUSY
    return UpstreamError(
        step=Step.DISPATCH,
        peer=upstream.name,
        reason=reason,
        may_have_run=not before_running,
        kind=FailureKind.REFUSED if before_running else FailureKind.FAILED,
    )


def _failure_error(
    upstream: Upstream,
    error: Exception,
    *,
    may_have_run: bool,
) -> UpstreamError:
    return UpstreamError(
        step=Step.STREAM if may_have_run else Step.DISPATCH,
        peer=upstream.name,
        reason=type(error).__name__,
        may_have_run=may_have_run,
        kind=_failure_kind(error) if may_have_run else FailureKind.REFUSED,
    )


def _failure_kind(error: Exception) -> FailureKind:
    if isinstance(error, httpcore.TimeoutException):
        return FailureKind.SILENT
    return FailureKind.BROKEN
