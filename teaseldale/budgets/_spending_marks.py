"""Marks that this VM has made, and what they let it spend."""

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_rows import MarkedAccount, SpendingMark

# Age at which a mark is replaced by one with the newest spending. It is well
# below the demand that a mark's first stage allows.
_MARK_MS = 1000
# The same if nothing has been spent. A start after a kill loses what the
# stages up to the age of the mark allowed.
_IDLE_MARK_MS = 3000


@attrs.frozen(kw_only=True)
class BindingMark:
    """A mark of this VM and when it was made."""

    mark: SpendingMark
    made_ms: int  # monotonic, before the mark was first sent
    used_tokens: int  # of the account when it was made


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

    def is_mark_due(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether a new mark is worth a transaction."""
        if self.acknowledged is None or self.pending is not None:
            return True
        if self._binds_lending(held, now_ms):
            return True
        if self._binds_waiting(held, now_ms):
            return True
        age_ms = now_ms - self.acknowledged.made_ms
        if age_ms >= _IDLE_MARK_MS:
            return True
        is_moved = held.used_tokens != self.acknowledged.used_tokens
        return is_moved and age_ms >= _MARK_MS

    def limit_tokens(self, held: HeldAccount, now_ms: int) -> int:
        """Returns how much of an account the VM may have used by now."""
        if self.acknowledged is None:
            return 0
        limit = held.granted_tokens
        for binding in (self.acknowledged, self.pending):
            if binding is None:
                continue
            age_ms = now_ms - binding.made_ms
            bound = binding.mark.bound_tokens(age_ms)
            if bound is not None:
                limit = min(limit, bound)
        return limit

    def _binds_lending(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether a new mark would let tokens be lent that were asked for."""
        if not held.lending_tokens or held.available_tokens <= 0:
            return False
        return self.limit_tokens(held, now_ms) < held.granted_tokens

    def _binds_waiting(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether a new mark would let a waiting request be paid."""
        if not held.waiting:
            return False
        needed = held.used_tokens + held.waiting[0].most_tokens
        return self.limit_tokens(held, now_ms) < needed <= held.granted_tokens


def mark_account(held: HeldAccount, granted_tokens: int) -> MarkedAccount:
    """Returns what a new mark allows of an account.

    Tokens that others want to borrow are allowed once.
    """
    unused_tokens = max(0, granted_tokens - held.used_tokens)
    ahead_tokens = held.demand.ahead_tokens()
    ahead_tokens += held.waiting_tokens + held.lending_tokens
    held.lending_tokens = 0
    ahead_tokens = min(unused_tokens, ahead_tokens)
    return MarkedAccount(
        limit_tokens=held.used_tokens + ahead_tokens,
        step_tokens=held.demand.step_tokens(),
        spare_tokens=unused_tokens - ahead_tokens,
    )
