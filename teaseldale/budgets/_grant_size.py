"""Sizing of grants by measured demand."""

import math

from teaseldale.clock import BaseClock

DEMAND_HORIZON_MS = 4_500_000
_REFILL_HORIZON_MS = 3_900_000
_MIN_FREE_DIVISOR = 10  # no refill if less than a tenth of the budget is free
_DEMAND_WINDOW_MS = 60_000
_REQUESTS_AHEAD = 8


class DemandMeter:
    """Tokens used per millisecond, averaged over about a minute."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a meter without any recorded use."""
        self._clock = clock
        self._rate_tokens_per_ms = float(0)
        self._updated_ms = clock.monotonic_ms()

    @property
    def last_use_ms(self) -> int:
        """Time of the last use, or of the creation if unused."""
        return self._updated_ms

    def add(self, tokens: int) -> None:
        """Records tokens used now."""
        self._decay()
        self._rate_tokens_per_ms += tokens / _DEMAND_WINDOW_MS

    def expected_tokens(self, duration_ms: int) -> int:
        """Returns the expected use in ``duration_ms`` at the current rate."""
        elapsed_ms = self._clock.monotonic_ms() - self._updated_ms
        decayed = math.exp(-elapsed_ms / _DEMAND_WINDOW_MS)
        return int(self._rate_tokens_per_ms * decayed * duration_ms)

    def _decay(self) -> None:
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - self._updated_ms
        self._rate_tokens_per_ms *= math.exp(-elapsed_ms / _DEMAND_WINDOW_MS)
        self._updated_ms = now_ms


def extension_tokens(
    *,
    short_tokens: int,
    smallest_tokens: int,
    target_tokens: int,
    free_tokens: int,
    holder_count: int,
) -> int:
    """Returns the extension of a grant; 0 if it would serve no request.

    ``short_tokens`` would serve all waiting requests, ``smallest_tokens`` one
    of them. The extension is raised towards the target, up to a share of the
    free tokens, which decreases as the budget is used up.
    """
    if short_tokens > free_tokens:
        return free_tokens if smallest_tokens <= free_tokens else 0
    share = free_tokens // (holder_count + 1)
    return max(short_tokens, min(target_tokens, share))


def target_tokens(*, demand: DemandMeter, request_tokens: int) -> int:
    """Returns the size of a grant that lasts for the demand horizon."""
    return max(
        demand.expected_tokens(DEMAND_HORIZON_MS),
        request_tokens * _REQUESTS_AHEAD,
    )


def refill_tokens(
    *,
    demand: DemandMeter,
    available_tokens: int,
    topped_up_tokens: int,
    free_tokens: int,
    holder_count: int,
) -> int:
    """Returns the refill to take ahead of demand; usually 0.

    A VM that loses the table service continues with the tokens it holds, so a
    grant is refilled while it still covers most of the horizon. No refill is
    made once a budget is nearly used up.
    """
    if available_tokens >= demand.expected_tokens(_REFILL_HORIZON_MS):
        return 0
    if free_tokens * _MIN_FREE_DIVISOR < topped_up_tokens:
        return 0
    desired_tokens = (
        demand.expected_tokens(DEMAND_HORIZON_MS) - available_tokens
    )
    return min(desired_tokens, free_tokens // (holder_count + 1))
