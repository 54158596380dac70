"""What a VM holds of each account, and what it may spend of it now."""

import anyio
import attrs

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rows import ReadAccountRow, SpendingMark
from teaseldale.outcomes import Refusal


@attrs.define(kw_only=True)
class GrantWaiter:
    """A request that waits until it can be paid."""

    most_tokens: int
    since_ms: int  # monotonic
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None


@attrs.define(kw_only=True)
class HeldAccount:
    """One account at this VM."""

    account: str
    demand: AccountDemand
    prepaid_tokens: int = 0  # by the configuration in force
    row: ReadAccountRow | None = None  # as last seen
    granted_tokens: int = 0  # what the store surely holds for this VM
    # Settled by this VM, and lent to others less what it borrowed.
    spent_tokens: int = 0
    reserved_tokens: int = 0  # of requests under way
    waiting: list[GrantWaiter] = attrs.field(factory=list)
    lending_tokens: int = 0  # asked of this VM, and not allowed by its mark

    @property
    def used_tokens(self) -> int:
        """Tokens that cannot be spent again."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def available_tokens(self) -> int:
        """Tokens that the VM holds and has not used."""
        return self.granted_tokens - self.used_tokens

    @property
    def free_tokens(self) -> int:
        """Tokens that nobody holds, as far as known."""
        if self.row is None:
            return 0
        return max(0, self.prepaid_tokens - self.row.row.taken_tokens)

    @property
    def waiting_tokens(self) -> int:
        """Tokens that waiting requests ask for."""
        return sum(waiter.most_tokens for waiter in self.waiting)


@attrs.frozen(kw_only=True)
class BindingMark:
    """A mark of this VM and when it was made."""

    mark: SpendingMark
    made_ms: int  # monotonic, before the mark was first sent


@attrs.define(kw_only=True)
class SpendingLimits:
    """The marks that bind this VM."""

    acknowledged: BindingMark | None = None
    # Sent and not answered; it may have been written, so it binds as well.
    pending: BindingMark | None = None

    def acknowledge(self) -> None:
        """Notes that the store has the pending mark."""
        if self.pending is not None:
            self.acknowledged = self.pending
            self.pending = None

    def limit_tokens(self, held: HeldAccount, now_ms: int) -> int:
        """Returns how much of an account the VM may have used by now."""
        if self.acknowledged is None:
            return 0
        limit = held.granted_tokens
        for binding in (self.acknowledged, self.pending):
            if binding is None:
                continue
            age_ms = now_ms - binding.made_ms
            bound = binding.mark.bound_tokens(held.account, age_ms)
            if bound is not None:
                limit = min(limit, bound)
        return limit
