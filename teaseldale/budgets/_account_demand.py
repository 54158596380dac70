"""Measures the spending rate of an account and sizes the VM's grant."""

import math

import attrs

from teaseldale.budgets._account_rows import STAGE_MS
from teaseldale.clock import BaseClock

# Period that a grant must cover while the store is unreachable. Connection
# losses to the store last up to about ten seconds in current deployments.
_OUTAGE_COVER_MS = 12_000
# Period of spending that the first stage of a mark allows. It spans several
# mark intervals because requests arrive in bursts and reserve more than they
# use.
_FIRST_STAGE_MS = 2000
# Requests in the lead of a busy account. Fewer would cause a mark for almost
# each request, however many there are.
_BUSY_LEAD_MS = 400
_BUSY_LEAD_REQUESTS = 1.5
_WINDOW_MS = 4000  # short enough to follow a sudden increase of load
_FIRST_REQUESTS = 4  # requests covered before any demand is measured
_SIZE_WEIGHT = 0.2  # weight of the latest request in the moving average
# Minimum observation time for a rate, so that the first requests of a caller
# are not extrapolated to a burst.
_MIN_OBSERVATION_MS = 1000
# Period of demand reserved for this VM when it lends tokens. The VM can borrow
# in turn within a few milliseconds.
_RETAINED_DEMAND_MS = 1000
# Fraction of an account's free tokens that all VMs together hold regardless of
# demand, since a caller may reach any VM, also during a store outage.
_BASELINE_FRACTION = 0.5


class AccountDemand:
    """Exponentially decaying average of tokens spent per millisecond."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a meter without any recorded use."""
        self._clock = clock
        self._tokens_per_ms = float(0)
        self._updated_ms = clock.monotonic_ms()
        self._typical_tokens = float(0)
        self._first_ms: int | None = None  # monotonic, of the first request

    def add(self, tokens: int) -> None:
        """Adds tokens to the rate; a negative number corrects earlier ones."""
        added = tokens / _WINDOW_MS
        self._tokens_per_ms = max(0, self._current_rate() + added)
        self._updated_ms = self._clock.monotonic_ms()

    def record_request(self, request_tokens: int) -> None:
        """Adds a new request with its maximum cost."""
        if self._first_ms is None:
            self._first_ms = self._clock.monotonic_ms()
        self.add(request_tokens)

    def record_refusal(self, request_tokens: int) -> None:
        """Removes a request that was refused from the rate."""
        self.add(-request_tokens)

    def record_payment(self, request_tokens: int) -> None:
        """Updates the average request size with a paid request."""
        step = (request_tokens - self._typical_tokens) * _SIZE_WEIGHT
        self._typical_tokens += step

    def outage_tokens(self) -> int:
        """Returns the tokens needed to bridge a store outage."""
        return self._tokens_for(
            _OUTAGE_COVER_MS, least_requests=_FIRST_REQUESTS
        )

    def first_stage_tokens(self) -> int:
        """Returns the tokens allowed by the first stage of a mark."""
        return self._tokens_for(_FIRST_STAGE_MS, least_requests=1)

    def lead_tokens(self, lead_ms: int) -> int:
        """Returns the tokens that a mark allows before its ramp begins.

        They cover the demand of ``lead_ms``, and of a longer time if several
        requests are expected in it.
        """
        busy_tokens = self._typical_rate() * _BUSY_LEAD_MS
        if busy_tokens < self._typical_tokens * _BUSY_LEAD_REQUESTS:
            busy_tokens = 0
        return int(max(busy_tokens, self._typical_rate() * lead_ms))

    def step_tokens(self) -> int:
        """Returns the tokens that each later stage of a mark adds."""
        return int(self._typical_rate() * STAGE_MS)

    def _tokens_for(self, duration_ms: int, *, least_requests: int) -> int:
        return int(
            max(
                self._typical_rate() * duration_ms,
                self._typical_tokens * least_requests,
            ),
        )

    def retained_tokens(self) -> int:
        """Returns the tokens to withhold when lending to other VMs."""
        return int(self._typical_rate() * _RETAINED_DEMAND_MS)

    def _current_rate(self) -> float:
        elapsed_ms = self._clock.monotonic_ms() - self._updated_ms
        return self._tokens_per_ms * math.exp(-elapsed_ms / _WINDOW_MS)

    def _typical_rate(self) -> float:
        """Returns the rate, corrected for a partially filled window."""
        if self._first_ms is None:
            return 0
        seen_ms = self._clock.monotonic_ms() - self._first_ms
        filled = 1 - math.exp(-max(seen_ms, _MIN_OBSERVATION_MS) / _WINDOW_MS)
        return self._current_rate() / filled


@attrs.frozen(kw_only=True)
class GrantNeed:
    """Inputs that determine the change of a VM's grant."""

    available_tokens: int  # held by this VM and unused
    waiting_tokens: int  # of all requests waiting for a grant
    first_waiting_tokens: int  # of the first waiting request
    outage_tokens: int  # to bridge a store outage
    free_tokens: int  # not granted to any VM
    vm_count: int
    lendable_tokens: int = 0  # held by other VMs and unused

    @property
    def target_tokens(self) -> int:
        """Tokens that the VM should hold beyond its waiting requests."""
        spread = self.free_tokens + self.available_tokens
        share = int(spread * _BASELINE_FRACTION / max(self.vm_count, 1))
        return max(self.outage_tokens, share)


# Below this fraction of the target the grant is extended, above this multiple
# tokens are returned. In between no transaction is made (hysteresis).
_REFILL_SHARE = 0.8
_SURPLUS_FACTOR = 1.7


def grant_change(need: GrantNeed) -> int:
    """Returns the change of the grant: positive to extend, negative to return.

    Waiting requests take precedence. Beyond them a VM takes at most its share
    of the free tokens, so that the last tokens are spread over all VMs.
    """
    short_tokens = need.waiting_tokens - need.available_tokens
    if short_tokens > need.free_tokens:
        return _extension_for_first_waiter(need)
    target_tokens = need.target_tokens
    spare_tokens = need.available_tokens - need.waiting_tokens
    if spare_tokens > target_tokens * _SURPLUS_FACTOR:
        return target_tokens - spare_tokens
    if spare_tokens >= target_tokens * _REFILL_SHARE:
        return 0
    share = need.free_tokens // (need.vm_count + 1)
    desired_tokens = min(target_tokens - spare_tokens, share)
    return max(short_tokens, desired_tokens, 0)


def _extension_for_first_waiter(need: GrantNeed) -> int:
    """Returns the extension for the first waiter; 0 if it cannot be paid.

    A loan from other VMs may cover what the free tokens do not.
    """
    short_tokens = need.first_waiting_tokens - need.available_tokens
    if 0 < short_tokens <= need.free_tokens:
        return short_tokens
    if short_tokens <= need.free_tokens + need.lendable_tokens:
        return need.free_tokens
    return 0
