"""Requests of one account that wait for a draw, and the size of the draw."""

import anyio
import attrs

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_bytes import DrawBytes
from teaseldale.outcomes import RefusalCode

# Requests expected in the next second from which tokens are drawn ahead. The
# first request of a single caller already counts as one per second, and the
# latest one is included.
_BUSY_REQUESTS = 3
# Round trips, by the longest expected one, that the tokens drawn ahead must
# last for, so that a draw may be lost and repeated.
_LOW_ROUND_TRIPS = 4
# Demand drawn beyond that, so that draws are rare.
_AHEAD_MS = 800
_MS_PER_SECOND = 1000


@attrs.define(kw_only=True, eq=False)
class DrawWaiter:
    """A request that waits for drawn tokens."""

    most_tokens: int
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    is_reserved: bool = False
    code: RefusalCode | None = None


@attrs.frozen(kw_only=True)
class DrawSize:
    """Tokens that one draw asks for."""

    tokens: int  # lacked by the smallest waiting request
    waiting_tokens: int  # of the other waiting requests
    ahead_tokens: int  # of expected requests

    @property
    def total_tokens(self) -> int:
        """All tokens that the draw would like to be paid."""
        return self.tokens + self.waiting_tokens + self.ahead_tokens


@attrs.define(kw_only=True, eq=False)
class DrawQueue:
    """Serves or refuses waiting requests in order."""

    shard: AccountShard
    draw_bytes: DrawBytes
    # Demand at this VM, with requests that wait and those that are refused.
    demand: AccountDemand
    waiters: list[DrawWaiter] = attrs.field(factory=list)
    is_drawing: bool = False
    latest_tokens: int = 0  # of the latest request
    no_ahead_until_ms: int = 0  # after a draw ahead that was not paid
    last_code: RefusalCode = RefusalCode.BUDGET_UNAVAILABLE

    def can_pay(self, tokens: int) -> bool:
        """Whether a new request can be paid without overtaking others."""
        return not self.waiters and self.shard.waiting.can_pay(tokens)

    def add(self, tokens: int) -> DrawWaiter:
        """Adds a request."""
        waiter = DrawWaiter(most_tokens=tokens)
        self.waiters.append(waiter)
        return waiter

    def serve(self) -> None:
        """Reserves tokens in order for waiting requests that can be paid.

        A request that cannot be paid does not hold up smaller ones: near the
        end of an account its refusal takes most of the time that they wait.
        """
        held = self.shard.held
        for waiter in tuple(self.waiters):
            if not self.shard.waiting.can_pay(waiter.most_tokens):
                continue
            self.waiters.remove(waiter)
            held.reserved_tokens += waiter.most_tokens
            held.demand.record_request(waiter.most_tokens)
            held.demand.record_payment(waiter.most_tokens)
            waiter.is_reserved = True
            waiter.answered.set()

    def refuse(self, tokens: int, code: RefusalCode) -> None:
        """Refuses waiting requests that need at least ``tokens``."""
        payable_tokens = self.shard.waiting.payable_tokens
        for waiter in tuple(self.waiters):
            if waiter.most_tokens - payable_tokens >= tokens:
                self.waiters.remove(waiter)
                waiter.code = code
                waiter.answered.set()

    def release(self) -> None:
        """Lets all waiting requests go on without a draw."""
        for waiter in self.waiters:
            waiter.answered.set()
        self.waiters.clear()

    def cancel(self, waiter: DrawWaiter) -> None:
        """Reverts a cancelled wait, including one that was just served."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        elif waiter.is_reserved:
            self.shard.held.reserved_tokens -= waiter.most_tokens
            self.serve()

    def size(self, now_ms: int, round_trip_ms: int) -> DrawSize | None:
        """Returns what to draw now; None if nothing is needed."""
        payable_tokens = self.shard.waiting.payable_tokens
        low_tokens = self._ahead_tokens(
            now_ms, _LOW_ROUND_TRIPS * round_trip_ms
        )
        ahead_tokens = self._ahead_tokens(
            now_ms, _LOW_ROUND_TRIPS * round_trip_ms + _AHEAD_MS
        )
        if self.waiters:
            sizes = [waiter.most_tokens for waiter in self.waiters]
            lacked_tokens = sum(sizes) - payable_tokens
            least_tokens = max(1, min(sizes) - payable_tokens)
            return DrawSize(
                tokens=least_tokens,
                waiting_tokens=max(0, lacked_tokens - least_tokens),
                ahead_tokens=ahead_tokens,
            )
        if payable_tokens >= low_tokens or not ahead_tokens:
            return None
        # A keeper takes a draw of no tokens for a request for an outcome.
        tokens = max(1, min(self.latest_tokens, ahead_tokens))
        return DrawSize(
            tokens=tokens,
            waiting_tokens=0,
            ahead_tokens=max(0, ahead_tokens - payable_tokens - tokens),
        )

    def _ahead_tokens(self, now_ms: int, duration_ms: int) -> int:
        """Returns the demand to cover beyond the waiting requests.

        A VM with fewer requests would return most of it.
        """
        second_tokens = self.demand.retained_tokens()
        is_busy = second_tokens >= self.latest_tokens * _BUSY_REQUESTS
        if not is_busy or now_ms < self.no_ahead_until_ms:
            return 0
        return second_tokens * duration_ms // _MS_PER_SECOND
