"""Refusals of the request registry."""

from teaseldale.outcomes import Refusal, RefusalCode, Step

_RETRY_AFTER_MS = 1000


def key_reused() -> Refusal:
    """The idempotency key was used with a different body."""
    return Refusal(
        code=RefusalCode.KEY_REUSED,
        message='The key was used with another body; choose a new key.',
        not_run=True,
        step=Step.REGISTER,
    )


def in_doubt(peer: str) -> Refusal:
    """The outcome of a non-repeatable request is unknown."""
    return Refusal(
        code=RefusalCode.IN_DOUBT,
        message=(
            'The call may have run and is not run again; ask with the same '
            'key later, or look at the service.'
        ),
        not_run=False,
        step=Step.REGISTER,
        peer=peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def still_running(peer: str) -> Refusal:
    """The request is running, or its bill is not durable yet."""
    return Refusal(
        code=RefusalCode.REQUEST_RUNNING,
        message='The request is not finished; ask again with its key.',
        not_run=False,
        step=Step.REGISTER,
        peer=peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def store_unavailable(peer: str) -> Refusal:
    """The intent could not be committed, so the request did not run."""
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The table service does not answer; ask again later.',
        not_run=True,
        step=Step.REGISTER,
        peer=peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def no_grant(message: str) -> Refusal:
    """The VM has no valid grant, so the request did not run."""
    return Refusal(
        code=RefusalCode.BUDGET_UNAVAILABLE,
        message=message,
        not_run=True,
        step=Step.DISPATCH,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def runner_lost(peer: str) -> Refusal:
    """The runner became unreachable while its answer was being read."""
    return Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message='The VM that ran the request is gone; retry with its key.',
        not_run=False,
        step=Step.STREAM,
        peer=peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )
