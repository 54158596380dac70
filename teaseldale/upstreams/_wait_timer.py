"""Timeout of the waits on one connection."""

import asyncio
from collections.abc import Callable


class WaitTimer:
    """Calls a function once the current wait has lasted too long.

    A timer that ends before the current deadline is kept and extended when it
    fires, as most waits end long before their timeouts.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        on_expiry: Callable[[], None],
    ) -> None:
        """Creates a timer that has not been started."""
        self._loop = loop
        self._on_expiry = on_expiry
        self._deadline: float | None = None
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout_seconds: float | None) -> None:
        """Starts the timeout of a wait, which replaces any earlier one."""
        if timeout_seconds is None:
            self.cancel()
            return
        self._deadline = self._loop.time() + timeout_seconds
        if self._handle is not None:
            if self._handle.when() <= self._deadline:
                return
            self._handle.cancel()
        self._handle = self._loop.call_at(self._deadline, self._fire)

    def cancel(self) -> None:
        """Stops the timer."""
        self._deadline = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _fire(self) -> None:
        self._handle = None
        if self._deadline is None:
            return
        if self._loop.time() < self._deadline:
            self._handle = self._loop.call_at(self._deadline, self._fire)
        else:
            self._on_expiry()
