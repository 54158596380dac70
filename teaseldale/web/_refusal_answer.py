"""Encoding of refusals as HTTP responses."""

import math

import msgspec

from teaseldale.outcomes import Refusal

Headers = tuple[tuple[bytes, bytes], ...]

_MS_PER_SECOND = 1000
_NO_RETRY = (b'x-should-retry', b'false')


def refusal_body(refusal: Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    document = {
        'code': refusal.code,
        'type': refusal.code,
        'message': refusal.message,
        'not_run': refusal.not_run,
        'retry_after_ms': refusal.retry_after_ms,
        'step': refusal.step,
        'peer': refusal.peer,
    }
    return msgspec.json.encode({'error': document})


def refusal_event(refusal: Refusal) -> bytes:
    """Returns a refusal encoded as a server-sent event."""
    return b''.join((b'data: ', refusal_body(refusal), b'\n\n'))


def refusal_headers(refusal: Refusal) -> Headers:
    """Returns headers that tell the client whether and when to retry."""
    if refusal.retry_after_ms is None:
        return (_NO_RETRY,)
    seconds = math.ceil(refusal.retry_after_ms / _MS_PER_SECOND)
    return ((b'retry-after', str(seconds).encode()),)
