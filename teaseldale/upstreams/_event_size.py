"""Limit on the size of one event of a stream."""

_EVENT_LIMIT_BYTES = 262_144


class OversizedEventError(ValueError):
    """An event of a stream exceeds the limit before its end was received."""


def check_partial_event(size_bytes: int) -> None:
    """Raises ``OversizedEventError`` if a buffered event is too large."""
    if size_bytes > _EVENT_LIMIT_BYTES:
        raise OversizedEventError(
            f'an event of a stream exceeds {_EVENT_LIMIT_BYTES} bytes',
        )
