"""HTTP client of plain services."""

import httpcore

from teaseldale.fetching import FetchedResponse, FetchLimits, fetch
from teaseldale.notes import Upstream
from teaseldale.outcomes import Step
from teaseldale.upstreams._clients import (
    BaseServiceClient,
    FailureKind,
    ServiceAnswer,
    ServiceCall,
    UpstreamError,
)
from teaseldale.upstreams._http_connection import UpstreamPool

_MS_PER_SECOND = 1000
_CONNECT_TIMEOUT_MS = 1000
_MAX_CONNECTIONS = 512
_BODY_LIMIT_BYTES = 524_288
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.LocalProtocolError,
    httpcore.PoolTimeout,
)
_EXCLUDED_HEADERS = frozenset(
    (
        b'accept-encoding',
        b'authorization',
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'idempotency-key',
        b'keep-alive',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


class HttpServiceClient(BaseServiceClient):
    """Sends each call once; does not reuse failed connections."""

    def __init__(self) -> None:
        """Creates a client; connections are opened on demand."""
        self._pool = UpstreamPool(max_connections=_MAX_CONNECTIONS)
        self._fresh_pool = UpstreamPool(
            max_connections=_MAX_CONNECTIONS,
            reuses_connections=False,
        )

    async def call(
        self, upstream: Upstream, call: ServiceCall
    ) -> ServiceAnswer:
        """Sends the call and reads the complete response."""
        pool = self._fresh_pool if call.fresh_connection else self._pool
        try:
            response = await fetch(
                pool,
                method=call.method,
                url=upstream.url + call.path,
                limits=FetchLimits(
                    body_bytes=_BODY_LIMIT_BYTES,
                    total_ms=call.timeout_ms,
                ),
                headers=_headers(call),
                content=call.body,
                timeouts=_timeouts(call.timeout_ms),
            )
        except _NOT_SENT_ERRORS as error:
            raise _failure_error(upstream, error, may_have_run=False) from error
        except (
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as error:
            raise _failure_error(upstream, error, may_have_run=True) from error
        return ServiceAnswer(
            status=response.status,
            content_type=_content_type(response),
            body=response.content,
        )


def _headers(call: ServiceCall) -> list[tuple[bytes, bytes]]:
    forwarded = [
        (name, content)
        for name, content in call.headers
        if name not in _EXCLUDED_HEADERS
    ]
    forwarded.append((b'idempotency-key', call.request_id.encode()))
    forwarded.append((b'content-length', str(len(call.body)).encode()))
    return forwarded


def _content_type(response: FetchedResponse) -> str:
    for name, content in response.headers:
        if name.lower() == b'content-type':
            return content.decode('latin-1')
    return 'application/octet-stream'


def _timeouts(timeout_ms: int) -> dict[str, float]:
    return {
        'connect': _CONNECT_TIMEOUT_MS / _MS_PER_SECOND,
        'read': timeout_ms / _MS_PER_SECOND,
        'write': timeout_ms / _MS_PER_SECOND,
        'pool': _CONNECT_TIMEOUT_MS / _MS_PER_SECOND,
    }


def _failure_error(
    upstream: Upstream,
    error: Exception,
    *,
    may_have_run: bool,
) -> UpstreamError:
    return UpstreamError(
        step=Step.DISPATCH,
        peer=upstream.name,
        reason=type(error).__name__,
        may_have_run=may_have_run,
        kind=_failure_kind(error) if may_have_run else FailureKind.REFUSED,
    )


def _failure_kind(error: Exception) -> FailureKind:
    if isinstance(error, httpcore.TimeoutException):
        return FailureKind.SILENT
    return FailureKind.BROKEN
