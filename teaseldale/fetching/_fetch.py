"""Sends a request and collects the body of its response."""

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

import attrs
import httpcore

_MS_PER_SECOND = 1000


class OversizedBodyError(httpcore.RemoteProtocolError):
    """The body of a response exceeds the limit of its reader."""


@attrs.frozen(kw_only=True)
class FetchLimits:
    """Limits of one response."""

    body_bytes: int
    total_ms: int | None = None  # from the request to the end of the body


@attrs.frozen(kw_only=True)
class FetchedResponse:
    """Response with its complete body."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    content: bytes


async def fetch(
    pool: httpcore.AsyncConnectionPool,
    *,
    method: str,
    url: str,
    limits: FetchLimits,
    headers: Mapping[Any, Any] | Sequence[tuple[bytes, bytes]] = (),
    content: bytes = b'',
    timeouts: Mapping[str, float],
) -> FetchedResponse:
    """Returns the response; closes its connection if a limit is exceeded.

    ``timeouts`` are httpcore's, in seconds. Raises ``OversizedBodyError``,
    ``httpcore.ReadTimeout`` after ``limits.total_ms``, and the errors of
    httpcore.
    """
    total_seconds = None
    if limits.total_ms is not None:
        total_seconds = limits.total_ms / _MS_PER_SECOND
    try:
        async with (
            asyncio.timeout(total_seconds),
            pool.stream(
                method,
                url,
                headers=headers,
                content=content,
                extensions={'timeout': dict(timeouts)},
            ) as response,
        ):
            return FetchedResponse(
                status=response.status,
                headers=response.headers,
                content=await _collect(
                    response.aiter_stream(), limits.body_bytes
                ),
            )
    except TimeoutError as error:
        raise httpcore.ReadTimeout('response incomplete in time') from error


async def _collect(body: AsyncIterator[bytes], limit_bytes: int) -> bytes:
    collected = bytearray()
    async for part in body:
        collected += part
        if len(collected) > limit_bytes:
            raise OversizedBodyError(f'body exceeds {limit_bytes} bytes')
    return bytes(collected)
