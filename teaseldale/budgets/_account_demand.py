"""How fast a VM spends from an account, and how much it should hold."""

import math

import attrs

from teaseldale.budgets._account_rows import STAGE_MS
from teaseldale.clock import BaseClock

# A VM that loses the store goes on for so long on what it holds: cuts of the
# path to the store last up to about ten seconds on the deployments of today.
_HOLD_MS = 12_000
# Spending that the first stage of a mark allows. It covers several intervals
# between marks, since requests come in clumps and reserve more than they use.
_AHEAD_MS = 2000
_WINDOW_MS = 4000  # short enough for a caller that suddenly sends more
_FIRST_REQUESTS = 4  # held before any demand is known
_SIZE_WEIGHT = 0.2  # of the newest request in the average size
# Time over which a rate is taken at the least, so that the first requests of a
# caller do not look like a flood.
_SHORTEST_SEEN_MS = 1000
# Demand that a VM keeps tokens for when another one is short. It can borrow in
# turn, which lasts some ms.
_KEPT_MS = 1000
# Part of an account's free tokens that all VMs hold together, whatever the
# demand: a caller may come to any VM, also while the store is away.
_SPREAD_SHARE = 0.5


class AccountDemand:
    """Tokens spent in a millisecond, averaged over some seconds."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a meter that has seen no use."""
        self._clock = clock
        self._tokens_per_ms = float(0)
        self._updated_ms = clock.monotonic_ms()
        self._typical_tokens = float(0)
        self._first_ms: int | None = None  # monotonic, of the first request

    def add(self, tokens: int) -> None:
        """Counts tokens that are being spent; below 0 corrects earlier ones."""
        added = tokens / _WINDOW_MS
        self._tokens_per_ms = max(0, self._current_rate() + added)
        self._updated_ms = self._clock.monotonic_ms()

    def note_request(self, request_tokens: int) -> None:
        """Counts the most that a new request may cost."""
        if self._first_ms is None:
            self._first_ms = self._clock.monotonic_ms()
        self.add(request_tokens)

    def note_refused(self, request_tokens: int) -> None:
        """Takes a request back that is not paid."""
        self.add(-request_tokens)

    def note_paid(self, request_tokens: int) -> None:
        """Counts the size of a request that is paid."""
        step = (request_tokens - self._typical_tokens) * _SIZE_WEIGHT
        self._typical_tokens += step

    def hold_tokens(self) -> int:
        """Returns what lasts while the store is away."""
        return self._tokens_for(_HOLD_MS, least_requests=_FIRST_REQUESTS)

    def ahead_tokens(self) -> int:
        """Returns what may be spent in the first stage of a mark."""
        return self._tokens_for(_AHEAD_MS, least_requests=1)

    def step_tokens(self) -> int:
        """Returns what each later stage of a mark adds."""
        return int(self._typical_rate() * STAGE_MS)

    def _tokens_for(self, duration_ms: int, *, least_requests: int) -> int:
        return int(
            max(
                self._typical_rate() * duration_ms,
                self._typical_tokens * least_requests,
            ),
        )

    def kept_tokens(self) -> int:
        """Returns what is kept when another VM is short of tokens."""
        return int(self._typical_rate() * _KEPT_MS)

    def _current_rate(self) -> float:
        elapsed_ms = self._clock.monotonic_ms() - self._updated_ms
        return self._tokens_per_ms * math.exp(-elapsed_ms / _WINDOW_MS)

    def _typical_rate(self) -> float:
        """Returns the rate without the bias of a window not yet full."""
        if self._first_ms is None:
            return 0
        seen_ms = self._clock.monotonic_ms() - self._first_ms
        filled = 1 - math.exp(-max(seen_ms, _SHORTEST_SEEN_MS) / _WINDOW_MS)
        return self._current_rate() / filled


@attrs.frozen(kw_only=True)
class GrantNeed:
    """What decides how much a VM takes of an account."""

    available_tokens: int  # that this VM holds and has not used
    waiting_tokens: int  # of requests that wait for a grant
    first_waiting_tokens: int  # of the first of them
    hold_tokens: int  # what the demand asks for
    free_tokens: int  # that nobody holds
    vm_count: int
    lendable_tokens: int = 0  # that other VMs hold and have not used

    @property
    def target_tokens(self) -> int:
        """What the VM should hold beside the waiting requests."""
        spread = self.free_tokens + self.available_tokens
        share = int(spread * _SPREAD_SHARE / max(self.vm_count, 1))
        return max(self.hold_tokens, share)


# Share of the target below which more is asked for, and multiple above which
# tokens are given back. Between them nothing is written.
_REFILL_SHARE = 0.8
_SURPLUS_FACTOR = 1.7


def grant_change(need: GrantNeed) -> int:
    """Returns how many tokens to take (above 0) or to give back (below 0).

    Waiting requests go first. Beyond them a VM takes no more than its share
    of what is free, so that the last tokens are spread over all VMs.
    """
    short_tokens = need.waiting_tokens - need.available_tokens
    if short_tokens > need.free_tokens:
        return _last_tokens(need)
    target_tokens = need.target_tokens
    spare_tokens = need.available_tokens - need.waiting_tokens
    if spare_tokens > target_tokens * _SURPLUS_FACTOR:
        return target_tokens - spare_tokens
    if spare_tokens >= target_tokens * _REFILL_SHARE:
        return 0
    share = need.free_tokens // (need.vm_count + 1)
    wanted = min(target_tokens - spare_tokens, share)
    return max(short_tokens, wanted, 0)


def _last_tokens(need: GrantNeed) -> int:
    """Returns what helps the first waiting request, with a loan if it must."""
    short_tokens = need.first_waiting_tokens - need.available_tokens
    if 0 < short_tokens <= need.free_tokens:
        return short_tokens
    if short_tokens <= need.free_tokens + need.lendable_tokens:
        return need.free_tokens
    return 0
