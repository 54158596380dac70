"""A VM's knowledge of the limits that runners name."""

from collections.abc import Collection, Iterable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.routing._limit_schedule import LimitSchedule

_MS_PER_SECOND = 1000
# A runner that allows nothing is asked rarely whether that has changed.
_MIN_LIMIT_PER_S = 0.05


@attrs.define(kw_only=True)
class KnownLimit:
    """Limit of one runner."""

    limit_per_s: float
    schedule: LimitSchedule  # used by the holder
    confirmed_ms: int  # monotonic; by the runner or the holder
    asked_ms: int = 0  # monotonic; last message to the holder


class LimitBook:
    """Known limits by incarnation of a runner."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts without limits."""
        self._clock = clock
        self._limits: dict[str, KnownLimit] = {}
        self._lifted_ms: dict[str, int] = {}  # monotonic
        self._log = StateLog(channel='limits')

    @property
    def is_empty(self) -> bool:
        """Returns whether no runner names a limit."""
        return not self._limits

    def find(self, runner: str) -> KnownLimit | None:
        """Returns the limit of a runner, or None if it names none."""
        return self._limits.get(runner)

    def all_limits(self) -> Iterable[tuple[str, KnownLimit]]:
        """Returns a copy of the limits, by runner."""
        return tuple(self._limits.items())

    def set_limit(self, runner: str, limit_per_s: float | None) -> bool:
        """Sets or, with None, removes a limit; returns whether it changed."""
        known = self._limits.get(runner)
        previous_per_s = None if known is None else known.limit_per_s
        if limit_per_s is None:
            self._limits.pop(runner, None)
            self._lifted_ms[runner] = self._clock.monotonic_ms()
        else:
            limit_per_s = max(limit_per_s, _MIN_LIMIT_PER_S)
            self._confirm(runner, limit_per_s)
        if limit_per_s == previous_per_s:
            return False
        self._log.changed(
            'runner_limit_changed',
            runner=runner,
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
        )
        return True

    def is_newer(
        self,
        runner: str,
        limit_per_s: float | None,
        *,
        age_ms: int,
    ) -> bool:
        """Returns whether knowledge of this age is newer than that here."""
        heard_ms = self._clock.monotonic_ms() - age_ms
        known = self._limits.get(runner)
        if known is not None:
            return heard_ms > known.confirmed_ms
        if limit_per_s is None:
            return False
        lifted_ms = self._lifted_ms.get(runner)
        return lifted_ms is None or heard_ms > lifted_ms

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops what is known of incarnations that have ended."""
        for ended in self._limits.keys() - runners:
            self._limits.pop(ended)
        for ended in self._lifted_ms.keys() - runners:
            self._lifted_ms.pop(ended)

    def _confirm(self, runner: str, limit_per_s: float) -> None:
        now_ms = self._clock.monotonic_ms()
        known = self._limits.get(runner)
        if known is None:
            # The first start is one interval away, as requests that were sent
            # before the limit was known are still on their way.
            first_ms = now_ms + _MS_PER_SECOND / limit_per_s
            known = KnownLimit(
                limit_per_s=limit_per_s,
                schedule=LimitSchedule(next_ms=first_ms),
                confirmed_ms=now_ms,
            )
            self._limits[runner] = known
        known.limit_per_s = limit_per_s
        known.confirmed_ms = now_ms
