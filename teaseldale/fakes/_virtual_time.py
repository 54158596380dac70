"""Virtual time: an event loop whose clock advances to the next timer."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

from teaseldale.clock import BaseClock
from teaseldale.fakes._pause import PauseGate

_MS_PER_SECOND = 1000
_WALL_START_MS = 1_700_000_000_000
_ResultT = TypeVar('_ResultT')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds: float = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now_seconds += timeout
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; runs tasks and timers only, no I/O."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now_seconds

    def advance(self, duration_seconds: float) -> None:
        self._time_selector.now_seconds += duration_seconds


class VirtualClock(BaseClock):
    """Virtual clock of one VM; no sleep ends while the VM is paused."""

    def __init__(
        self,
        *,
        wall_skew_ms: int = 0,
        gate: PauseGate | None = None,
    ) -> None:
        """Creates a clock with a wall time skew of ``wall_skew_ms``."""
        self._wall_skew_ms = wall_skew_ms
        self._gate = gate or PauseGate()

    def monotonic_ms(self) -> int:
        """Returns the virtual milliseconds since the event loop started."""
        return round(asyncio.get_running_loop().time() * _MS_PER_SECOND)

    def wall_ms(self) -> int:
        """Returns the virtual wall time in Unix milliseconds."""
        return _WALL_START_MS + self._wall_skew_ms + self.monotonic_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleeps in virtual time, and until the VM is resumed if paused."""
        await super().sleep_ms(duration_ms)
        await self._gate.wait_while_paused()


def keep_loop_busy(duration_ms: float) -> None:
    """Advances virtual time as a callback does that does not return.

    Timers that expire meanwhile run afterwards.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, _VirtualTimeLoop):
        raise TypeError('the running loop has no virtual time')
    loop.advance(duration_ms / _MS_PER_SECOND)


def run_in_virtual_time(
    function: Callable[[], Awaitable[_ResultT]],
) -> _ResultT:
    """Runs an async function in virtual time and returns its result."""
    return anyio.run(
        function,
        backend='asyncio',
        backend_options={'loop_factory': _VirtualTimeLoop},
    )
