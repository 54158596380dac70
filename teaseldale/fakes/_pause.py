"""Pause of a whole VM, as when its process is stopped."""

import anyio


class PauseGate:
    """Holds back what a paused VM waits for until it goes on."""

    def __init__(self) -> None:
        """Creates a gate that is open."""
        self._resumed: anyio.Event | None = None

    @property
    def paused(self) -> bool:
        """Whether the VM is paused."""
        return self._resumed is not None

    def pause(self) -> None:
        """Stops the VM."""
        if self._resumed is None:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Lets the VM go on."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    async def wait_while_paused(self) -> None:
        """Returns at once unless the VM is paused."""
        while self._resumed is not None:
            await self._resumed.wait()
