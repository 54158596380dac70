"""Refusals from placing and running a request at upstreams."""

from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.upstreams import (
    FailureKind,
    UpstreamError,
    UpstreamRejectedError,
)

RETRY_AFTER_MS = 500


def upstream_failed(error: UpstreamError, *, repeatable: bool) -> Refusal:
    """Returns the refusal after an upstream error."""
    if isinstance(error, UpstreamRejectedError):
        return Refusal(
            code=RefusalCode.BAD_REQUEST,
            message='The engine cannot run this prompt; shorten or mend it.',
            not_run=True,
            step=error.step,
            peer=error.peer,
        )
    in_doubt = error.may_have_run and not repeatable
    return Refusal(
        code=RefusalCode.IN_DOUBT if in_doubt else RefusalCode.UPSTREAM_FAILED,
        message=_message(error, in_doubt=in_doubt),
        not_run=not error.may_have_run,
        step=error.step,
        peer=error.peer,
        retry_after_ms=RETRY_AFTER_MS,
    )


def memory_full() -> Refusal:
    """Returns the refusal when the memory for answers is exhausted."""
    return Refusal(
        code=RefusalCode.OVERLOADED,
        message='Answers that callers have not read fill the memory of this '
        'VM; send the request again.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=RETRY_AFTER_MS,
    )


def trial_unavailable() -> Refusal:
    """Returns the refusal of a suspect that got no trial in time."""
    return Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message='An upstream broke off while running this request; it can be '
        'tried again later.',
        not_run=False,
        step=Step.ADMIT,
        retry_after_ms=RETRY_AFTER_MS,
    )


def choose_refusal(earlier: Refusal | None, later: Refusal) -> Refusal:
    """Returns the later refusal, unless only the earlier may have run."""
    if earlier is not None and not earlier.not_run and later.not_run:
        return earlier
    return later


def is_upstream_fault(error: UpstreamError) -> bool:
    """Whether the error counts as a failure of the upstream."""
    if isinstance(error, UpstreamRejectedError):
        return False
    return error.kind is not FailureKind.CROSSED


def _message(error: UpstreamError, *, in_doubt: bool) -> str:
    if in_doubt:
        return f'The upstream did not answer ({error.reason}); it may have run.'
    return f'The upstream failed ({error.reason}); send the request again.'
