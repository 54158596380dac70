"""Refusals from before registration or while sending the answer."""

from teaseldale.outcomes import Refusal, RefusalCode, Step

_RETRY_AFTER_MS = 1000


def body_too_large(limit_bytes: int) -> Refusal:
    """The body exceeds the size limit."""
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f'The body is longer than {limit_bytes} bytes; shorten it.',
        not_run=True,
        step=Step.PARSE,
    )


def unauthorized() -> Refusal:
    """The bearer key is missing or belongs to no client account."""
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message='Send the key of a client account as a bearer token.',
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def unknown_route(name: str) -> Refusal:
    """No route has the name."""
    return Refusal(
        code=RefusalCode.UNKNOWN_ROUTE,
        message=f'There is no route {name!r}; GET /v1/models lists them.',
        not_run=True,
        step=Step.PARSE,
    )


def bad_request(reason: str) -> Refusal:
    """The request is invalid for the given reason."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The request cannot be read: {reason}.',
        not_run=True,
        step=Step.PARSE,
    )


def not_caught_up() -> Refusal:
    """The VM's configuration may be older than the one in force."""
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The VM has no contact with the fleet; another VM answers.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def draining() -> Refusal:
    """The VM is draining and accepts no new requests."""
    return Refusal(
        code=RefusalCode.DRAINING,
        message='The VM is shutting down; ask again, another VM answers.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def deadline_exceeded() -> Refusal:
    """The answer missed the deadline; the run may continue."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        message='No answer by the deadline; ask again with the same key.',
        not_run=False,
        step=Step.STREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def run_failed() -> Refusal:
    """The VM failed with an unexpected exception."""
    return Refusal(
        code=RefusalCode.INTERNAL_ERROR,
        message='The VM failed; send the request again with its key.',
        not_run=False,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )
