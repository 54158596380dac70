"""One timer that paces the writes of all fast streams of a VM."""

import itertools

import anyio

from teaseldale.clock import BaseClock

_PHASE_COUNT = 4


class WritePacer:
    """Wakes each stream once an interval, a part of the streams at a time.

    One timer for all streams costs less processor time than one sleep for
    each write; the phases keep all streams from writing at the same moment.
    """

    def __init__(self, *, clock: BaseClock, interval_ms: int) -> None:
        """Prepares the pacer; ``run`` has to run for ``wait`` to return."""
        self._clock = clock
        self._interval_ms = interval_ms
        self._phases = itertools.cycle(range(_PHASE_COUNT))
        self._ticks = [anyio.Event() for _ in range(_PHASE_COUNT)]

    @property
    def interval_ms(self) -> int:
        """Time between two writes of a fast stream."""
        return self._interval_ms

    def next_phase(self) -> int:
        """Returns the phase of a new stream."""
        return next(self._phases)

    async def wait(self, phase: int) -> None:
        """Returns at the next tick of the stream's phase."""
        await self._ticks[phase].wait()

    async def run(self) -> None:
        """Ticks until it is cancelled."""
        pause_ms = max(self._interval_ms, 1) / _PHASE_COUNT
        for phase in itertools.cycle(range(_PHASE_COUNT)):
            await self._clock.sleep_ms(pause_ms)
            ticked = self._ticks[phase]
            self._ticks[phase] = anyio.Event()
            ticked.set()
