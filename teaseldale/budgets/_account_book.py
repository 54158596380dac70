"""In-memory state of each account on this VM."""

import anyio
import attrs

from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rows import ReadAccountRow
from teaseldale.outcomes import Refusal


@attrs.define(kw_only=True)
class GrantWaiter:
    """A request that waits until the account can cover it."""

    most_tokens: int
    since_ms: int  # monotonic
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None


@attrs.define(kw_only=True)
class HeldAccount:
    """State of one account on this VM."""

    account: str
    demand: AccountDemand
    prepaid_tokens: int = 0  # from the configuration in force
    row: ReadAccountRow | None = None  # as last read
    granted_tokens: int = 0  # lower bound of the grant in the store
    # Settled by this VM, plus tokens lent minus tokens borrowed.
    spent_tokens: int = 0
    reserved_tokens: int = 0  # by requests in progress
    waiting: list[GrantWaiter] = attrs.field(factory=list)
    # Incarnation and address of the keeper that paid the latest draw.
    lender: str = ''
    lender_address: str = ''
    settled_ms: int = 0  # monotonic, time of the latest draw or settlement
    lending_tokens: int = 0  # requested from this VM, but beyond its mark
    is_retiring: bool = False  # the VM accepts no more requests

    @property
    def used_tokens(self) -> int:
        """Tokens that are spent or reserved."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def available_tokens(self) -> int:
        """Granted tokens that are neither spent nor reserved."""
        return self.granted_tokens - self.used_tokens

    @property
    def drawn_tokens(self) -> int:
        """Available tokens in excess of the grant recorded in the store."""
        return self.available_tokens - max(0, self.granted_tokens)

    @property
    def free_tokens(self) -> int:
        """Tokens not granted to any VM, according to the last read row."""
        if self.row is None:
            return 0
        return max(0, self.prepaid_tokens - self.row.row.taken_tokens)

    @property
    def waiting_tokens(self) -> int:
        """Total tokens requested by the waiting requests."""
        return sum(waiter.most_tokens for waiter in self.waiting)
