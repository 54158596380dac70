"""Log lines and counters about the learned pace of runners."""

import math
from typing import Any

import attrs

from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import RunnerPace

_MIN_INTERVAL_MS = 5000  # between two lines of one runner
_MIN_CHANGE = math.log(1.5)
_MAX_RUNNERS = 20_000  # the longest unchanged ones are dropped


@attrs.frozen(kw_only=True)
class _LoggedPace:
    pace: RunnerPace
    logged_ms: int


class PaceReports:
    """Logs the runners whose pace has changed much, and unreadable reports."""

    def __init__(self) -> None:
        """Has logged nothing yet."""
        self._log = StateLog(channel='pace')
        self._logged: dict[str, _LoggedPace] = {}
        self._unreadable: dict[str, None] = {}

    def note_pace(
        self,
        runner: str,
        pace: RunnerPace,
        *,
        now_ms: int,
        metrics: Metrics,
    ) -> None:
        """Logs a pace that differs much from the last one in the log."""
        logged = self._logged.get(runner)
        if logged is None:
            self._remember(runner, pace, now_ms)
            return
        if now_ms - logged.logged_ms < _MIN_INTERVAL_MS:
            return
        if not _has_changed(logged.pace, pace):
            return
        self._remember(runner, pace, now_ms)
        metrics.increment('runner_pace_changes')
        self._log.changed(
            'runner_pace_changed',
            runner=runner,
            prefill_tokens_per_ms=round(pace.prefill_tokens_per_ms, 2),
            plain_ms=round(pace.plain_ms, 1),
            knee=None if math.isinf(pace.knee) else round(pace.knee, 1),
            slowdown=round(pace.slowdown, 2),
        )

    def note_unreadable_load(self, runner: str, metrics: Metrics) -> None:
        """Counts and logs a runner with an unreadable load report once."""
        if runner in self._unreadable:
            return
        self._unreadable[runner] = None
        _drop_oldest(self._unreadable)
        metrics.increment('load_reports_unreadable')
        self._log.changed('load_report_unreadable', runner=runner)

    def _remember(self, runner: str, pace: RunnerPace, now_ms: int) -> None:
        self._logged.pop(runner, None)
        self._logged[runner] = _LoggedPace(pace=pace, logged_ms=now_ms)
        _drop_oldest(self._logged)


def _drop_oldest(entries: dict[str, Any]) -> None:
    while len(entries) > _MAX_RUNNERS:
        entries.pop(next(iter(entries)))


def _has_changed(before: RunnerPace, after: RunnerPace) -> bool:
    return any(
        _distance(old, new) > _MIN_CHANGE
        for old, new in (
            (before.prefill_tokens_per_ms, after.prefill_tokens_per_ms),
            (before.plain_ms, after.plain_ms),
            (before.knee, after.knee),
        )
    )


def _distance(old: float, new: float) -> float:
    return 0 if old == new else abs(math.log(new) - math.log(old))
