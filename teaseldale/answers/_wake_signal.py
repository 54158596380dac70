"""Edge-triggered notification of tasks, cheap when no task waits."""

import asyncio


class WakeSignal:
    """Signal whose ``wait`` returns at the next ``wake`` after it began."""

    def __init__(self) -> None:
        """Creates a signal without waiters."""
        self._waiters: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Wakes all waiting tasks."""
        waiters = self._waiters
        if not waiters:
            return
        self._waiters = []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Waits for the next ``wake``."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter
