"""Schedule of the requests that a rate limit allows."""

import attrs

_MS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class LimitSchedule:
    """Starts requests one interval apart."""

    next_ms: float  # monotonic time of the earliest next start
    # Share of an interval by which a late start may precede the next one.
    credit_share: float = 0

    def book(
        self,
        limit_per_s: float,
        *,
        now_ms: int,
        max_wait_ms: float,
    ) -> float | None:
        """Books a start and returns the wait until then.

        Returns None, without booking, if the wait exceeds ``max_wait_ms``.
        """
        wait_ms = self.wait_ms(now_ms)
        if wait_ms > max_wait_ms:
            return None
        interval_ms = _MS_PER_SECOND / limit_per_s
        earliest_ms = now_ms - self.credit_share * interval_ms
        self.next_ms = max(self.next_ms, earliest_ms) + interval_ms
        return wait_ms

    def wait_ms(self, now_ms: int) -> float:
        """Returns the time until the next start that is not booked."""
        return max(0, self.next_ms - now_ms)
