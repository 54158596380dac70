"""Budget of retries of each route."""

import attrs

_PERCENT = 100
_BURST_RETRIES = 10


@attrs.define(kw_only=True)
class _Allowance:
    retries: float = _BURST_RETRIES


class RetryBudget:
    """Allows a set share of retries beside a small burst."""

    def __init__(self) -> None:
        """Creates budgets that allow a burst."""
        self._allowances: dict[str, _Allowance] = {}

    def note_request(self, route: str, retry_share_percent: int) -> None:
        """Adds the share that one first attempt allows."""
        allowance = self._allowance(route)
        earned = retry_share_percent / _PERCENT
        allowance.retries = min(allowance.retries + earned, _BURST_RETRIES)

    def take_retry(self, route: str) -> bool:
        """Takes one retry; False if the share is used up."""
        allowance = self._allowance(route)
        if allowance.retries < 1:
            return False
        allowance.retries -= 1
        return True

    def _allowance(self, route: str) -> _Allowance:
        return self._allowances.setdefault(route, _Allowance())
