"""What a VM holds of each account."""

import anyio
import attrs

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rows import ReadAccountRow
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
    # Start and address of the keeper that paid the newest draw.
    lender: str = ''
    lender_address: str = ''
    settled_ms: int = 0  # monotonic, when tokens were last drawn or settled
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
    def drawn_tokens(self) -> int:
        """Unused tokens beside those that the store has granted."""
        return self.available_tokens - max(0, self.granted_tokens)

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
