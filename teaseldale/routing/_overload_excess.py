"""Which accounts send more than usual in comparison with the others."""

import math

import attrs

# A VM may get only a few requests per second of an account.
_TIME_CONSTANT_MS = 2000
# Random variation of a few requests stays below this factor.
_EXCESS_FACTOR = 2.5
_MIN_COUNT = 4.0  # decaying count of requests below which it is not known
_MIN_OTHERS_COUNT = 1.0  # decaying count below which no other account sends
_MAX_ACCOUNTS = 2000


@attrs.define(kw_only=True)
class _Recent:
    tokens: float = 0
    count: float = 0
    noted_ms: float = 0

    def decay(self, now_ms: float) -> None:
        kept = math.exp((self.noted_ms - now_ms) / _TIME_CONSTANT_MS)
        self.tokens *= kept
        self.count *= kept
        self.noted_ms = now_ms

    def add(self, tokens: int, now_ms: float) -> None:
        self.decay(now_ms)
        self.tokens += tokens
        self.count += 1


class RecentLoads:
    """Tokens that accounts have requested lately, whether served or not."""

    def __init__(self) -> None:
        """Starts without accounts."""
        self._accounts: dict[str, _Recent] = {}
        self._total = _Recent()

    def note(self, account: str, now_ms: float, tokens: int) -> None:
        """Adds a request."""
        recent = self._accounts.pop(account, None) or _Recent(noted_ms=now_ms)
        recent.add(tokens, now_ms)
        self._total.add(tokens, now_ms)
        self._accounts[account] = recent
        while len(self._accounts) > _MAX_ACCOUNTS:
            self._accounts.pop(next(iter(self._accounts)))

    def is_in_excess(
        self,
        account: str,
        now_ms: float,
        usual_share: float,
    ) -> bool:
        """Returns whether an account exceeds its usual share of the load.

        The share is compared with the load of the others, so that nobody is in
        excess when all accounts send more than usual, or if no other sends.
        """
        recent = self._accounts.get(account)
        if recent is None or usual_share >= 1:
            return False
        recent.decay(now_ms)
        self._total.decay(now_ms)
        if recent.count < _MIN_COUNT:
            return False
        if self._total.count - recent.count < _MIN_OTHERS_COUNT:
            return False
        others = max(0, self._total.tokens - recent.tokens)
        usual = others * usual_share / (1 - usual_share)
        return recent.tokens > _EXCESS_FACTOR * usual
