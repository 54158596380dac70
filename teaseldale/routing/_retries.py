"""Retry budget per route."""

import attrs

_PERCENT = 100
_BURST_RETRIES = 10


@attrs.define(kw_only=True)
class _Allowance:
    retries: float = _BURST_RETRIES


class RetryBudget:
    """Token bucket per route: a share of its requests plus a small burst."""

    def __init__(self) -> None:
        """Creates budgets that start with a full burst."""
        self._allowances: dict[str, _Allowance] = {}

    def note_request(self, route: str, retry_share_percent: int) -> None:
        """Adds the share of a retry that one first attempt earns."""
        allowance = self._allowance(route)
        earned = retry_share_percent / _PERCENT
        allowance.retries = min(allowance.retries + earned, _BURST_RETRIES)

    def take_retry(self, route: str) -> bool:
        """Consumes one retry; returns False if the budget is exhausted."""
        allowance = self._allowance(route)
        if allowance.retries < 1:
            return False
        allowance.retries -= 1
        return True

    def _allowance(self, route: str) -> _Allowance:
        return self._allowances.setdefault(route, _Allowance())
