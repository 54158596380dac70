"""Eras of a store: each return from an older copy begins a new one."""

from collections.abc import Callable

from teaseldale.clock import BaseClock, SystemClock
from teaseldale.logs import StateLog
from teaseldale.outcomes import PlatformError, Step

# Era of a store that does not report any.
NO_ERA = 0


class EraChangedError(PlatformError):
    """The answer or the revisions of a call belong to an earlier era."""


class StoreEras:
    """The latest era that any answer of the store has reported.

    Revisions and rows of an earlier era may not exist any more, and their
    revisions may have been assigned again.
    """

    def __init__(self, *, clock: BaseClock | None = None) -> None:
        """Starts with a store that has not reported an era."""
        self._clock = clock or SystemClock()
        self._current = NO_ERA
        self._last_answer_ms: int | None = None
        # Monotonic time of the first answer of this era, and of the last one
        # of the era before, if this process has seen that era.
        self.seen_since_ms: int | None = None
        self.left_ms: int | None = None
        self._listeners: list[Callable[[], None]] = []
        self._log = StateLog(channel='store')

    @property
    def current(self) -> int:
        """The latest era; ``NO_ERA`` until one is reported."""
        return self._current

    def add_change_listener(self, listener: Callable[[], None]) -> None:
        """Calls ``listener`` after each change of the era."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Records the era of an answer; lower ones are ignored."""
        now_ms = self._clock.monotonic_ms()
        if era == self._current:
            self._last_answer_ms = now_ms
        if era <= self._current:
            return
        self._log.changed(
            'store_era_changed', era=era, previous_era=self._current
        )
        self._current = era
        self.left_ms = self._last_answer_ms
        self._last_answer_ms = now_ms
        self.seen_since_ms = now_ms
        for listener in self._listeners:
            listener()

    def require_current(self, era: int, step: Step) -> None:
        """Raises ``EraChangedError`` unless ``era`` is the current one."""
        if era != self._current:
            raise EraChangedError(
                step=step,
                peer='store',
                reason=f'era {era} is over, now {self._current}',
            )
