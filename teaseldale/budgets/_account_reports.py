"""Log lines that show where the tokens of an account are."""

import attrs

from teaseldale.budgets._account_rounds import AccountRounds
from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog

# Bounds the lines of a keeper of many accounts.
_INTERVAL_MS = 1000


@attrs.define(kw_only=True)
class AccountReports:
    """Logs the tokens of one account as this VM and the store count them."""

    rounds: AccountRounds
    clock: BaseClock
    _next_ms: int = 0  # monotonic
    _last_fields: dict[str, int] = attrs.field(factory=dict)
    _log: StateLog = attrs.field(factory=lambda: StateLog(channel='grants'))

    def log_if_changed(self) -> None:
        """Logs the counts if they have changed, once a second at most."""
        now_ms = self.clock.monotonic_ms()
        if now_ms < self._next_ms:
            return
        held = self.rounds.held
        account_row = None if held.row is None else held.row.row
        fields = {
            'prepaid_tokens': held.prepaid_tokens,
            'free_tokens': held.free_tokens,
            'closed_tokens': 0
            if account_row is None
            else (account_row.closed_tokens),
            'granted_tokens': held.granted_tokens,
            'spent_tokens': held.spent_tokens,
            'reserved_tokens': held.reserved_tokens,
            'limit_tokens': self.rounds.limits.limit_tokens(held, now_ms),
            'waiting_tokens': held.waiting_tokens,
        }
        if fields == self._last_fields:
            return
        self._next_ms = now_ms + _INTERVAL_MS
        self._last_fields = fields
        self._log.changed('account_tokens', account=held.account, **fields)
