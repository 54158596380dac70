"""Limits of cold runners, which lapse by themselves."""

from collections.abc import Callable, Collection

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing._limit_schedule import LimitSchedule

_MS_PER_SECOND = 1000
# Bounds what one malformed entry can do.
_MAX_COLD_MS = 3_600_000
# Makes up for starts that no request asked for in time. One second holds no
# more starts for it: 8 at a limit of 7.7.
_CREDIT_SHARE = 0.2


@attrs.frozen(kw_only=True)
class ColdStatement:
    """States how long a runner stays cold, and what it tolerates until then."""

    limit_per_s: float
    left_ms: float  # 0 if the runner is warm
    revision: int  # of the entry that states it; a later one replaces it


@attrs.define(kw_only=True)
class _KnownState:
    limit_per_s: float
    ends_ms: float  # monotonic
    revision: int
    schedule: LimitSchedule  # used by the holder


class ColdLimits:
    """What is known of cold runners, by incarnation."""

    def __init__(self, *, clock: BaseClock, metrics: Metrics) -> None:
        """Starts without cold runners."""
        self._clock = clock
        self._metrics = metrics
        self._states: dict[str, _KnownState] = {}
        self._on_change: Callable[[str], None] | None = None
        self._log = StateLog(channel='limits')

    def set_change_listener(self, callback: Callable[[str], None]) -> None:
        """Sets the function that gets runners which have become cold."""
        self._on_change = callback

    def note_entry(self, runner: str, statement: ColdStatement) -> None:
        """Applies an entry that this VM has read itself.

        The time left counts from the first read of the entry's revision, as
        the store returns an unchanged entry again in each full read.
        """
        known = self._states.get(runner)
        if known is None or known.revision != statement.revision:
            self._apply(runner, statement)
        else:
            known.limit_per_s = statement.limit_per_s

    def note_message(self, runner: str, statement: ColdStatement) -> None:
        """Applies what another VM has read in a later entry.

        Only a later revision counts: otherwise the delay of each message would
        prolong the period, without end if VMs repeat it to each other.
        """
        known = self._states.get(runner)
        if statement.limit_per_s <= 0:
            return
        if known is None or statement.revision > known.revision:
            self._apply(runner, statement)

    def is_cold(self, runner: str) -> bool:
        """Returns whether a runner is cold now."""
        return self.left_ms(runner) > 0

    def left_ms(self, runner: str) -> float:
        """Returns the time until a runner is warm; 0 if it is."""
        known = self._states.get(runner)
        if known is None:
            return 0
        return max(0, known.ends_ms - self._clock.monotonic_ms())

    def statement_of(self, runner: str) -> ColdStatement | None:
        """Returns what to tell other VMs of a runner; None if it is warm."""
        known = self._states.get(runner)
        left_ms = self.left_ms(runner)
        if known is None or not left_ms:
            return None
        return ColdStatement(
            limit_per_s=known.limit_per_s,
            left_ms=left_ms,
            revision=known.revision,
        )

    def schedule_of(self, runner: str) -> LimitSchedule | None:
        """Returns the schedule of a cold runner; None if it is warm."""
        return self._states[runner].schedule if self.is_cold(runner) else None

    def cold_runners(self) -> tuple[str, ...]:
        """Returns the runners that are cold now."""
        return tuple(filter(self.is_cold, self._states))

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops what is known of incarnations that have ended."""
        for ended in self._states.keys() - runners:
            self._states.pop(ended)

    def forget(self, runner: str) -> None:
        """Drops a runner whose service has no cold runners any more."""
        self._states.pop(runner, None)

    def _apply(self, runner: str, statement: ColdStatement) -> None:
        now_ms = self._clock.monotonic_ms()
        was_cold = self.is_cold(runner)
        known = self._states.get(runner)
        left_ms = min(statement.left_ms, _MAX_COLD_MS)
        # The first start is one interval away, as requests that were sent
        # before the state was known are still on their way.
        first_ms = now_ms + _MS_PER_SECOND / statement.limit_per_s
        schedule = LimitSchedule(next_ms=first_ms, credit_share=_CREDIT_SHARE)
        if known is not None and was_cold:
            schedule = known.schedule
        self._states[runner] = _KnownState(
            limit_per_s=statement.limit_per_s,
            ends_ms=now_ms + left_ms,
            revision=statement.revision,
            schedule=schedule,
        )
        if left_ms:
            self._note_cold(runner, statement, was_cold=was_cold)
        elif was_cold:
            self._log.changed('runner_warm', runner=runner)

    def _note_cold(
        self,
        runner: str,
        statement: ColdStatement,
        *,
        was_cold: bool,
    ) -> None:
        if not was_cold:
            self._metrics.increment('runners_turned_cold')
        self._log.changed(
            'runner_cold',
            runner=runner,
            left_ms=statement.left_ms,
            limit_per_s=statement.limit_per_s,
            was_cold=was_cold,
        )
        if self._on_change is not None:
            self._on_change(runner)
