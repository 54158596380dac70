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
        # The event loop's handles do not all tell when they fire.
        self._handle: asyncio.Handle | None = None
        self._fires_at: float = 0  # time of the event loop

    def start(self, timeout_seconds: float | None) -> None:
        """Starts the timeout of a wait, which replaces any earlier one."""
        if timeout_seconds is None:
            self.cancel()
            return
        self._deadline = self._loop.time() + timeout_seconds
        if self._handle is not None:
            if self._fires_at <= self._deadline:
                return
            self._handle.cancel()
        self._schedule(self._deadline)

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
            self._schedule(self._deadline)
        else:
            self._on_expiry()

    def _schedule(self, fires_at: float) -> None:
        self._fires_at = fires_at
        self._handle = self._loop.call_at(fires_at, self._fire)
