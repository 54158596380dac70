"""The clock type; all times in the project are whole milliseconds."""

import abc
import time

import anyio

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1000


class BaseClock(abc.ABC):
    """Source of time in whole milliseconds."""

    @abc.abstractmethod
    def monotonic_ms(self) -> int:
        """Milliseconds that never go back and that include suspension."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
        await anyio.sleep(duration_ms / _MS_PER_SECOND)


class SystemClock(BaseClock):
    """Clock of the operating system."""

    def monotonic_ms(self) -> int:
        """Reads the boot-time clock, which goes on while suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Reads the wall clock."""
        return time.time_ns() // _NANOSECONDS_PER_MS


# Monotonic time at which this process began, or a little later.
STARTED_MS = SystemClock().monotonic_ms()
