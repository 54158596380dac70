"""Refusals that the operators' interface gives."""

from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step


def not_found() -> Refusal:
    """Nothing stands under the method and path."""
    return Refusal(
        code=RefusalCode.UNKNOWN_ROUTE,
        message='There is nothing under this method and path.',
        not_run=True,
        step=Step.PARSE,
    )


def unauthorized() -> Refusal:
    """The operators' key is missing or wrong."""
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message="Send the operators' key as a bearer token.",
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def bad_request(reason: str, step: Step = Step.PARSE) -> Refusal:
    """The request is wrong; ``reason`` tells what to mend."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The request cannot be read: {reason}.',
        not_run=True,
        step=step,
    )


def body_too_large(limit_bytes: int) -> Refusal:
    """The body is longer than the limit."""
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f'The body is longer than {limit_bytes} bytes; shorten it.',
        not_run=True,
        step=Step.PARSE,
    )


def store_unavailable(error: PlatformError) -> Refusal:
    """The table service gave no answer; a write may have taken effect."""
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The table service gave no answer; look before repeating.',
        not_run=False,
        step=error.step,
        peer=error.peer,
    )
