"""Simulated pause of a whole VM, as if its process were stopped."""

import anyio


class PauseGate:
    """Blocks the awaits of a paused VM until it is resumed."""

    def __init__(self) -> None:
        """Creates a gate that is open."""
        self._resumed: anyio.Event | None = None

    @property
    def paused(self) -> bool:
        """Whether the VM is paused."""
        return self._resumed is not None

    def pause(self) -> None:
        """Pauses the VM; no effect if it is paused already."""
        if self._resumed is None:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Resumes the VM and wakes its blocked tasks."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    async def wait_while_paused(self) -> None:
        """Blocks until the VM is resumed; returns at once if it runs."""
        while self._resumed is not None:
            await self._resumed.wait()
