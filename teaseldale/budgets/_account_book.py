"""What a VM holds of each account, and what it may spend of it now."""

import anyio
import attrs

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rows import ReadAccountRow, SpendingMark
from teaseldale.outcomes import Refusal

# A VM keeps to its last mark for so long, and then, if the store does not
# answer, spends all that it holds. A VM that starts again within this time
# takes back what the mark did not allow: processes that are killed are back
# in one to two seconds, of which a mark's age takes up to half a second.
BOUND_MS = 3000


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


@attrs.define(kw_only=True)
class SpendingLimits:
    """The marks that bind this VM."""

    acknowledged: SpendingMark = SpendingMark(made_store_ms=0)
    # Sent and not answered; it may have been written, so it binds as well.
    pending: SpendingMark | None = None
    # Monotonic time from which the VM is not bound any more.
    bound_until_ms: int = 0

    def limit_tokens(self, held: HeldAccount, now_ms: int) -> int:
        """Returns how much of an account the VM may have used by now."""
        if now_ms >= self.bound_until_ms:
            return held.granted_tokens
        limit = self.acknowledged.limit_tokens.get(held.account, 0)
        if self.pending is not None:
            pending = self.pending.limit_tokens.get(held.account, 0)
            limit = min(limit, pending)
        return min(limit, held.granted_tokens)
