"""Wakes tasks that wait for a change; costs nothing when none waits."""

import asyncio


class WakeSignal:
    """Each ``wait`` returns at the next ``wake`` after it began."""

    def __init__(self) -> None:
        """Nobody waits yet."""
        self._waiters: list[asyncio.Future[None]] = []

    def wake(self) -> None:
        """Lets all waiting tasks go on."""
        waiters = self._waiters
        if not waiters:
            return
        self._waiters = []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Returns at the next ``wake``."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter
