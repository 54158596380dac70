"""The end of a process that has been asked to stop."""

import contextlib
import math
from collections.abc import Iterator

import anyio

# Time that an attempt needs to end by itself, in latency objectives of its
# route: the objective of a stream counts to its first event only.
_ATTEMPT_OBJECTIVES = 3


class ProcessEnd:
    """Bounds what requests may still begin by the end of their process."""

    def __init__(self) -> None:
        """Starts without an end in sight."""
        self._scopes: set[anyio.CancelScope] = set()
        self._ends_at_ms = math.inf  # monotonic
        self.is_reached = False

    def announce(self, ends_at_ms: float) -> None:
        """Sets when requests without an answer are ended; monotonic."""
        self._ends_at_ms = ends_at_ms

    def left_ms(self, now_ms: float) -> float:
        """Returns the time until the end, at least 0; may be infinite."""
        return max(0, self._ends_at_ms - now_ms)

    def may_start(
        self,
        *,
        now_ms: float,
        objective_ms: float,
        left_ms: float,
    ) -> bool:
        """Returns whether an attempt can end before the process does.

        ``left_ms`` is the time of its request, which may be shorter.
        """
        needed_ms = min(left_ms, _ATTEMPT_OBJECTIVES * objective_ms)
        return needed_ms <= self.left_ms(now_ms)

    @contextlib.contextmanager
    def limit(self, seconds: float) -> Iterator[None]:
        """Cancels the block after that time or at the end of the process."""
        with anyio.move_on_after(seconds) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def reach_if_due(self, now_ms: float) -> None:
        """Cancels what is limited by the end once it has come."""
        if now_ms < self._ends_at_ms or self.is_reached:
            return
        self.is_reached = True
        for scope in tuple(self._scopes):
            scope.cancel()
