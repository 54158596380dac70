"""Refusals that the operators' interface returns."""

from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step


def not_found() -> Refusal:
    """Returns the refusal for an unknown method, path or budget."""
    return Refusal(
        code=RefusalCode.UNKNOWN_ROUTE,
        message='There is nothing under this method and path.',
        not_run=True,
        step=Step.PARSE,
    )


def unauthorized() -> Refusal:
    """Returns the refusal for a missing or wrong operators' key."""
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message="Send the operators' key as a bearer token.",
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def bad_request(reason: str, step: Step = Step.PARSE) -> Refusal:
    """Returns the refusal for an invalid request; ``reason`` says why."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The request cannot be read: {reason}.',
        not_run=True,
        step=step,
    )


def body_too_large(limit_bytes: int) -> Refusal:
    """Returns the refusal for a body of more than ``limit_bytes``."""
    return Refusal(
        code=RefusalCode.BODY_TOO_LARGE,
        message=f'The body is longer than {limit_bytes} bytes; shorten it.',
        not_run=True,
        step=Step.PARSE,
    )


def store_unavailable(error: PlatformError) -> Refusal:
    """Returns the refusal for a table service that did not answer.

    ``not_run`` is false, as a write may have been committed.
    """
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The table service gave no answer; look before repeating.',
        not_run=False,
        step=error.step,
        peer=error.peer,
    )
