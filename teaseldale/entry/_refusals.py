"""Refusals that arise before a request is registered, or at its answer."""

from teaseldale.outcomes import Refusal, RefusalCode, Step

_RETRY_AFTER_MS = 1000


def body_too_large(limit_bytes: int) -> Refusal:
    """The body is longer than the limit."""
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f'The body is longer than {limit_bytes} bytes; shorten it.',
        not_run=True,
        step=Step.PARSE,
    )


def unauthorized() -> Refusal:
    """No client account has the key."""
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message='Send the key of a client account as a bearer token.',
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def unknown_route(name: str) -> Refusal:
    """Nothing stands under the name."""
    return Refusal(
        code=RefusalCode.UNKNOWN_ROUTE,
        message=f'There is no route {name!r}; GET /v1/models lists them.',
        not_run=True,
        step=Step.PARSE,
    )


def bad_request(reason: str) -> Refusal:
    """The request is wrong; ``reason`` tells what to mend."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The request cannot be read: {reason}.',
        not_run=True,
        step=Step.PARSE,
    )


def not_caught_up() -> Refusal:
    """The VM may know an older configuration than its zone has in force."""
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The VM has no contact with the fleet; another VM answers.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def draining() -> Refusal:
    """The VM is shutting down and starts no new request."""
    return Refusal(
        code=RefusalCode.DRAINING,
        message='The VM is shutting down; ask again, another VM answers.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def deadline_exceeded() -> Refusal:
    """The answer was not there in time; the run may go on."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        message='No answer by the deadline; ask again with the same key.',
        not_run=False,
        step=Step.STREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def run_failed() -> Refusal:
    """The VM's own work on the request broke off."""
    return Refusal(
        code=RefusalCode.INTERNAL_ERROR,
        message='The VM failed; send the request again with its key.',
        not_run=False,
        step=Step.ADMIT,
        retry_after_ms=_RETRY_AFTER_MS,
    )
