"""Refusals of requests before they are served."""

from teaseldale.outcomes import Refusal, RefusalCode, Step

_RETRY_AFTER_MS = 1000


def no_room() -> Refusal:
    """Returns the refusal of bytes that cannot be held now."""
    return Refusal(
        code=RefusalCode.MEMORY_FULL,
        message='The VM holds as many bytes for others as it can.',
        not_run=True,
        step=Step.PARSE,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def too_many_pipelined() -> Refusal:
    """Returns the refusal of a request behind too many others."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message='Too many requests were sent before the answers were read.',
        not_run=True,
        step=Step.PARSE,
    )


def too_long_body() -> Refusal:
    """Returns the refusal of a body that is dropped too long."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message='The body of a refused request goes on too long.',
        not_run=True,
        step=Step.PARSE,
    )


def malformed() -> Refusal:
    """Returns the refusal of a request that parsers could misread."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=(
            'The request is not well-formed HTTP/1.1: send one host and at '
            'most one content-length, and no content-length beside '
            'transfer-encoding.'
        ),
        not_run=True,
        step=Step.PARSE,
    )


def too_long(limit_bytes: int) -> Refusal:
    """Returns the refusal of a head, or of framing, of too many bytes."""
    return Refusal(
        code=RefusalCode.HEAD_TOO_LARGE,
        message=f'The request line and headers exceed {limit_bytes} bytes.',
        not_run=True,
        step=Step.PARSE,
    )


def too_slow() -> Refusal:
    """Returns the refusal of a request that arrives too slowly."""
    return Refusal(
        code=RefusalCode.REQUEST_TOO_SLOW,
        message='The request did not arrive whole in time.',
        not_run=True,
        step=Step.PARSE,
    )
