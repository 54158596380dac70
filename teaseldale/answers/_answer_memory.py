"""Admission control for the memory that answers of one VM occupy."""

import attrs

ANSWER_LIMIT_BYTES = 65_536
_BYTES_PER_TOKEN = 16
_TOTAL_LIMIT_BYTES = 150_994_944


@attrs.frozen(kw_only=True)
class AnswerReservation:
    """Memory reserved for one answer until it is released."""

    size_bytes: int


class AnswerMemory:
    """Reserves the maximum size of each answer before it runs."""

    def __init__(
        self,
        *,
        total_limit_bytes: int = _TOTAL_LIMIT_BYTES,
        answer_limit_bytes: int = ANSWER_LIMIT_BYTES,
    ) -> None:
        """Sets the limits; no memory is reserved yet."""
        self._total_limit_bytes = total_limit_bytes
        self._answer_limit_bytes = answer_limit_bytes
        self.reserved_bytes = 0

    def reserve(self, output_tokens: int) -> AnswerReservation | None:
        """Reserves memory for an answer; None if the limit is exceeded."""
        size_bytes = min(
            output_tokens * _BYTES_PER_TOKEN,
            self._answer_limit_bytes,
        )
        if self.reserved_bytes + size_bytes > self._total_limit_bytes:
            return None
        self.reserved_bytes += size_bytes
        return AnswerReservation(size_bytes=size_bytes)

    def release(self, reservation: AnswerReservation) -> None:
        """Releases the reservation of an answer."""
        self.reserved_bytes -= reservation.size_bytes
