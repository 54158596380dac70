"""How fast a VM spends from an account, and how much it should hold."""

import math

from teaseldale.clock import BaseClock

# A VM that loses the store goes on for so long: cuts of a zone's path to the
# store last up to about ten seconds on the deployments of today.
HOLD_MS = 12_000
# Share of the holding time below which more is asked for. Asking late leaves
# less in hand when the store is lost; asking early costs transactions.
_REFILL_SHARE = 0.6
_WINDOW_MS = 4000  # short enough for a caller that suddenly sends more
_FIRST_REQUESTS = 4  # held before any demand is known
_SIZE_WEIGHT = 0.2  # of the newest request in the average size


class AccountDemand:
    """Tokens spent in a millisecond, averaged over some seconds."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a meter that has seen no use."""
        self._clock = clock
        self._tokens_per_ms = float(0)
        self._updated_ms = clock.monotonic_ms()
        self._typical_tokens = float(0)

    def add(self, tokens: int) -> None:
        """Counts tokens that are expected to be spent now."""
        self._tokens_per_ms = self._current_rate() + tokens / _WINDOW_MS
        self._updated_ms = self._clock.monotonic_ms()

    def note_size(self, request_tokens: int) -> None:
        """Counts the most that a new request may cost."""
        step = (request_tokens - self._typical_tokens) * _SIZE_WEIGHT
        self._typical_tokens += step

    def hold_tokens(self) -> int:
        """Returns what lasts for the holding time."""
        return int(
            max(
                self._current_rate() * HOLD_MS,
                self._typical_tokens * _FIRST_REQUESTS,
            )
        )

    def refill_tokens(self) -> int:
        """Returns the amount below which more is asked for."""
        return int(self.hold_tokens() * _REFILL_SHARE)

    def _current_rate(self) -> float:
        elapsed_ms = self._clock.monotonic_ms() - self._updated_ms
        return self._tokens_per_ms * math.exp(-elapsed_ms / _WINDOW_MS)


def grant_tokens(
    *,
    short_tokens: int,
    wanted_tokens: int,
    free_tokens: int,
    holder_count: int,
) -> int:
    """Returns what to take of an account's free tokens; 0 if none helps.

    ``short_tokens`` serves the waiting requests. Beyond them a VM takes a
    share of what is free, so that the last tokens are spread over all VMs.
    """
    if short_tokens > free_tokens:
        return 0
    share = free_tokens // (2 * max(holder_count, 1))
    return max(short_tokens, min(wanted_tokens, share), 0)
