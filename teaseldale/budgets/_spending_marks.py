"""Spending marks of this VM and the limits that they impose."""

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_rows import MarkedAccount, SpendingMark

# Age at which a mark is renewed with the current spending. It is below the age
# at which a mark allows more than its lead.
_MARK_INTERVAL_MS = 1000
# Renewal age without spending. A restart after a kill loses the tokens allowed
# by the stages up to the age of the mark.
_IDLE_MARK_INTERVAL_MS = 3000
# A mark allows the demand of the time that this many commits take, so that
# requests rarely wait for a mark if the store is slow.
_LEAD_COMMITS = 2
_MAX_LEAD_MS = 1000
# Age from which a mark allows more than its lead, and the share of the demand
# that it then allows. What a mark allows while a VM has no power is lost, but a
# later or flatter ramp refuses requests while the store is unavailable: 8 of
# 1,160 with one from 1000 ms on, since a request waits for 600 ms.
_RAMP_START_MS = 700
_RAMP_PERCENT = 150


@attrs.frozen(kw_only=True)
class BindingMark:
    """A mark of this VM with its local creation time."""

    mark: SpendingMark
    made_ms: int  # monotonic, before the first transmission
    used_tokens: int  # of the account at creation
    is_last: bool = False  # made after the VM accepted its last request


@attrs.define(kw_only=True)
class SpendingLimits:
    """The marks that limit this VM's spending."""

    acknowledged: BindingMark | None = None
    # Not acknowledged, but possibly written, so it is binding as well.
    pending: BindingMark | None = None
    # Time that the latest mark took to be committed.
    commit_duration_ms: int = 0

    def acknowledge(self, now_ms: int) -> None:
        """Records that the store has committed the pending mark."""
        if self.pending is not None:
            self.commit_duration_ms = now_ms - self.pending.made_ms
            self.acknowledged = self.pending
            self.pending = None

    def lead_ms(self) -> int:
        """Returns the period of demand that the next mark allows at once."""
        return min(self.commit_duration_ms * _LEAD_COMMITS, _MAX_LEAD_MS)

    def is_mark_due(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether a new mark should be committed now."""
        if self.acknowledged is None or self.pending is not None:
            return True
        if held.is_retiring and not self.acknowledged.is_last:
            return True
        if self._mark_blocks_loan(held, now_ms):
            return True
        if self._mark_blocks_waiter(held, now_ms):
            return True
        age_ms = now_ms - self.acknowledged.made_ms
        if age_ms >= _IDLE_MARK_INTERVAL_MS:
            return True
        has_changed = held.used_tokens != self.acknowledged.used_tokens
        return has_changed and age_ms >= _MARK_INTERVAL_MS

    def limit_tokens(self, held: HeldAccount, now_ms: int) -> int:
        """Returns the maximum use of the account that is allowed now."""
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

    def _mark_blocks_loan(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether the mark, not the grant, prevents a requested loan."""
        if not held.lending_tokens or held.available_tokens <= 0:
            return False
        return self.limit_tokens(held, now_ms) < held.granted_tokens

    def _mark_blocks_waiter(self, held: HeldAccount, now_ms: int) -> bool:
        """Whether the mark, not the grant, blocks the first waiter."""
        if not held.waiting:
            return False
        needed = held.used_tokens + held.waiting[0].most_tokens
        return self.limit_tokens(held, now_ms) < needed <= held.granted_tokens


def allowance_of(
    held: HeldAccount,
    granted_tokens: int,
    lead_ms: int,
) -> MarkedAccount:
    """Returns the spending that a new mark allows for an account.

    Tokens that other VMs have asked to borrow are included in one mark only.
    """
    unused_tokens = max(0, granted_tokens - held.used_tokens)
    requested_tokens = held.waiting_tokens + held.lending_tokens
    held.lending_tokens = 0
    if held.is_retiring:
        requested_tokens = min(unused_tokens, requested_tokens)
        return MarkedAccount(
            limit_tokens=held.used_tokens + requested_tokens,
            step_tokens=0,
            spare_tokens=0,
        )
    lead_tokens = held.demand.lead_tokens(lead_ms) + requested_tokens
    first_stage_tokens = held.demand.first_stage_tokens() + requested_tokens
    first_stage_tokens = min(unused_tokens, first_stage_tokens)
    return MarkedAccount(
        limit_tokens=held.used_tokens + first_stage_tokens,
        step_tokens=held.demand.step_tokens(),
        spare_tokens=unused_tokens - first_stage_tokens,
        lead_tokens=held.used_tokens + min(unused_tokens, lead_tokens),
        ramp_start_ms=_RAMP_START_MS,
        ramp_percent=_RAMP_PERCENT,
    )
