"""Factory functions for refusals for want of capacity."""

from teaseldale.outcomes import Refusal, RefusalCode, Step

# Held bytes are released within a few hundred milliseconds.
_RETRY_AFTER_MS = 400


def memory_full() -> Refusal:
    """Returns the refusal of a request whose bytes cannot be held now."""
    return Refusal(
        code=RefusalCode.MEMORY_FULL,
        message='The VM holds as many bytes for others as it can.',
        not_run=True,
        step=Step.PARSE,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def link_full(retry_after_ms: int) -> Refusal:
    """Returns the refusal of a request for which the link has no capacity."""
    return Refusal(
        code=RefusalCode.LINK_FULL,
        message="The VM's link is full; another one takes the request.",
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=retry_after_ms,
    )


def runners_full(service: str, reason: str, retry_after_ms: float) -> Refusal:
    """Returns the refusal of a request that would wait too long for a slot."""
    return Refusal(
        code=RefusalCode.RUNNERS_FULL,
        message=f'The runners of {service!r} have no free slot ({reason}).',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=max(1, int(retry_after_ms)),
    )
