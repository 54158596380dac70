"""Requests that a brittle runner has been seen to run at the same time.

Slots and configured memory are an upper bound of what a runner takes. Starts
beyond what it has been seen to run may all be rejected, and their rejections
come back together, so only a few are on their way at a time.
"""

from collections import deque

_MS_PER_SECOND = 1000
# What has been seen to run counts for one to two of these times.
_WINDOW_MS = 2000
# After a rejection nothing is tried beyond what was running then.
_AFTER_REJECTION_MS = 2000
# While requests wait at the runner, one more may.
_AFTER_WAIT_MS = 1000
# Beyond its slots a runner is tested again after this time.
_RETEST_INTERVAL_MS = 30_000
# Requests that may wait at a runner which does not report its load, so that a
# slot is not free until a VM has got its permit: this share of the slots.
_EXTRA_SHARE = 0.25
# After a rejection without a load, requests that were accepted before may end
# for this long. Then starts are tried anew, up to what was there for longer.
_MIN_CLOSED_MS = 200
_CEILING_MS = 5000


class ProvedRoom:
    """Bounds the requests at a runner by what it was last seen to run."""

    def __init__(
        self,
        *,
        slot_count: int,
        tolerated_rejections: int,
        proved_count: int,
        now_ms: int,
    ) -> None:
        """``proved_count`` is known from an earlier holder; 0 if nothing is."""
        self._slot_count = slot_count
        self._tolerated = tolerated_rejections
        self._window_began_ms = now_ms
        self._now_count = proved_count  # most in this window
        self._earlier_count = 0  # most in the window before
        self._waited_ms: int | None = None  # when requests last waited there
        self._rejected_ms: int | None = None  # latest rejection
        self._recent_ms: deque[int] = deque()  # rejections of the last second
        self._closed_until_ms = now_ms
        # Until then half of the room is kept free, as the next rejection may
        # be one too many.
        self._halved_until_ms = now_ms
        self._ceiling_count: int | None = None  # after a rejection
        # Whether what runs is counted anew once starts are granted again.
        self._begins_anew = False

    @property
    def proved_count(self) -> int:
        """Returns how many requests the runner has lately run."""
        return max(self._now_count, self._earlier_count)

    def has_bound(self, now_ms: int) -> bool:
        """Returns whether the runner has lately been full."""
        return _is_within(
            self._waited_ms, _RETEST_INTERVAL_MS, now_ms
        ) or _is_within(self._rejected_ms, _RETEST_INTERVAL_MS, now_ms)

    def limit_count(self, held_count: int, now_ms: int) -> int:
        """Returns how many requests may be at the runner or on their way.

        ``held_count`` are there or on their way now.
        """
        if now_ms < self._closed_until_ms:
            return 0
        if self._begins_anew:
            self._begins_anew = False
            self._replace(held_count, now_ms)
        self._turn_window(now_ms)
        limit_count = self.proved_count + self._untried_count(now_ms)
        if now_ms < self._halved_until_ms:
            limit_count = self.proved_count // 2
        return max(1, min(limit_count, self._most_count(now_ms)))

    def note_running(self, count: int, now_ms: int) -> None:
        """Records requests that the runner runs, none of which waits."""
        self._turn_window(now_ms)
        self._now_count = max(self._now_count, min(count, self._slot_count))

    def note_waiting(self, running_count: int, now_ms: int) -> None:
        """Records that requests wait while so many run."""
        self._waited_ms = now_ms
        self._replace(running_count, now_ms)

    def note_rejections(
        self,
        count: int,
        *,
        running_count: int | None,
        held_count: int,
        now_ms: int,
    ) -> None:
        """Records new rejections.

        ``running_count`` is what the runner reported to run then, if anything,
        ``held_count`` the requests that were there or on their way.
        """
        self._rejected_ms = now_ms
        self._recent_ms.extend(now_ms for _ in range(count))
        while self._recent_ms[0] <= now_ms - _MS_PER_SECOND:
            self._recent_ms.popleft()
        near_count = max(1, self._tolerated - 1)  # one below the bound
        accepted_count = max(1, held_count - count)
        if running_count is None:
            self._ceiling_count = accepted_count
            self._begins_anew = True
            # Even if each reopening costs a rejection, the runner bears them.
            closed_ms = max(_MIN_CLOSED_MS, _MS_PER_SECOND // near_count)
            self._closed_until_ms = now_ms + closed_ms
        else:
            self._ceiling_count = None
            self._replace(min(running_count, accepted_count), now_ms)
        if len(self._recent_ms) >= near_count:
            self._halved_until_ms = now_ms + _MS_PER_SECOND

    def _replace(self, count: int, now_ms: int) -> None:
        self._window_began_ms = now_ms
        self._now_count = min(count, self._slot_count)
        self._earlier_count = 0

    def _turn_window(self, now_ms: int) -> None:
        if now_ms - self._window_began_ms >= _WINDOW_MS:
            is_next = now_ms - self._window_began_ms < 2 * _WINDOW_MS
            self._window_began_ms = now_ms
            self._earlier_count = self._now_count if is_next else 0
            self._now_count = 0

    def _untried_count(self, now_ms: int) -> int:
        """Returns how many may start beyond what was seen to run."""
        has_rejected = _is_within(
            self._rejected_ms, _AFTER_REJECTION_MS, now_ms
        )
        if has_rejected and self._ceiling_count is None:
            return 0
        if _is_within(self._waited_ms, _AFTER_WAIT_MS, now_ms):
            return 1
        return max(1, self._tolerated // 2)

    def _most_count(self, now_ms: int) -> int:
        if self._ceiling_count is not None and _is_within(
            self._rejected_ms, _CEILING_MS, now_ms
        ):
            return min(self._ceiling_count, self._slot_count)
        if _is_within(self._rejected_ms, _RETEST_INTERVAL_MS, now_ms):
            return self._slot_count
        extra_count = max(1, int(self._slot_count * _EXTRA_SHARE))
        return self._slot_count + min(extra_count, self._tolerated // 2)


def _is_within(since_ms: int | None, duration_ms: int, now_ms: int) -> bool:
    return since_ms is not None and now_ms - since_ms < duration_ms
