"""Clock interface and system clock; times are integer milliseconds."""

import abc
import time

import anyio

_NANOSECONDS_PER_MS = 1_000_000
_MS_PER_SECOND = 1000


class BaseClock(abc.ABC):
    """Interface of a time source with millisecond resolution."""

    @abc.abstractmethod
    def monotonic_ms(self) -> int:
        """Returns monotonic milliseconds, including time in suspension."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns the milliseconds since the Unix epoch."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task for ``duration_ms`` milliseconds."""
        await anyio.sleep(duration_ms / _MS_PER_SECOND)


class SystemClock(BaseClock):
    """Clock that reads the time from the operating system."""

    def monotonic_ms(self) -> int:
        """Reads ``CLOCK_BOOTTIME``, which also advances during suspension."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Returns the operating system's wall-clock time."""
        return time.time_ns() // _NANOSECONDS_PER_MS


# Monotonic time at which this module was imported, shortly after the process
# started.
PROCESS_START_MS = SystemClock().monotonic_ms()
