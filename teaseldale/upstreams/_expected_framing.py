"""Whether a runner's next responses may have no length."""

from teaseldale.clock import BaseClock

# Runners that send a response without a length often send more of them.
_EXPECTED_MS = 10_000


class ExpectedFraming:
    """Expects a response without a length until the first one has come.

    After that, for a while after each response without a length.
    """

    def __init__(self, *, clock: BaseClock) -> None:
        """Knows of no response yet."""
        self._clock = clock
        self._until_ms: int | None = None  # monotonic; None before the first

    @property
    def may_be_unframed(self) -> bool:
        """Whether the next response may end with its connection."""
        if self._until_ms is None:
            return True
        return self._clock.monotonic_ms() < self._until_ms

    def note_head(self, *, is_unframed: bool) -> None:
        """Records whether a response ends with its connection."""
        if is_unframed:
            self._until_ms = self._clock.monotonic_ms() + _EXPECTED_MS
        elif self._until_ms is None:
            self._until_ms = 0
