"""Polling of runners' reports and of the membership list."""

from collections import deque

import anyio
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.routing._pool import Runner
from teaseldale.routing._prefix_index import (
    CacheAction,
    CacheEvent,
    PrefixIndex,
)
from teaseldale.routing._runner_table import RunnerTable
from teaseldale.tables import BaseMembershipList, MemberState
from teaseldale.upstreams import BaseRunnerReports, CacheChange

_INTERVAL_MS = 500
_REPORT_LAG_MS = 2000
_MAX_CONCURRENT_REPORTS = 16


class RunnerWatch(BaseService):
    """Polls reports of the runners in use and updates the runner table."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        index: PrefixIndex,
        reports: BaseRunnerReports,
        membership: BaseMembershipList,
        clock: BaseClock,
        metrics: Metrics,
        report_lag_ms: int = _REPORT_LAG_MS,
    ) -> None:
        """Creates a watch; ``report_lag_ms`` is the age of load reports."""
        self._table = table
        self._index = index
        self._reports = reports
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._history_length = report_lag_ms // _INTERVAL_MS + 1
        self._own_history: dict[str, deque[int]] = {}
        self._leaving_by_report: set[str] = set()
        self._leaving_by_list: frozenset[str] = frozenset()
        self._limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_REPORTS)

    @property
    def name(self) -> str:
        """Service name."""
        return 'runner_watch'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts polling in the background."""
        tasks.start_soon(self._poll_forever)

    async def poll_once(self) -> None:
        """Polls all reports and the membership list once."""
        self._table.refresh()
        in_use = [
            runner
            for runner in self._table
            if runner.limit or not runner.is_idle
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_membership)
            for runner in in_use:
                tasks.start_soon(self._read_runner, runner)
        self._table.set_leaving(
            self._leaving_by_list | self._leaving_by_report,
        )

    async def _poll_forever(self) -> None:
        while True:
            await self.poll_once()
            await self._clock.sleep_ms(_INTERVAL_MS)

    async def _read_membership(self) -> None:
        try:
            members = await self._membership.members()
        except PlatformError as error:
            self._metrics.increment('membership_not_read', error.step)
            return
        self._leaving_by_list = frozenset(
            member.name
            for member in members
            if member.state is MemberState.LEAVING
        )

    async def _read_runner(self, runner: Runner) -> None:
        async with self._limiter:
            await self._read_load(runner)
            await self._read_cache(runner)

    async def _read_load(self, runner: Runner) -> None:
        history = self._own_history.setdefault(
            runner.name,
            deque(maxlen=self._history_length),
        )
        history.append(runner.own_requests)
        report = await self._reports.load(runner.upstream)
        if report is None:
            self._metrics.increment('load_reports_missing')
            return
        self._table.take_report(
            runner.name,
            running=report.running,
            own_at_report=history[0],
        )
        if report.leaving:
            self._leaving_by_report.add(runner.name)
        else:
            self._leaving_by_report.discard(runner.name)

    async def _read_cache(self, runner: Runner) -> None:
        changes = await self._reports.cache_changes(
            runner.upstream,
            after=self._index.last_sequence(runner.name),
        )
        if changes is None:
            return
        now_ms = self._clock.monotonic_ms()
        for change in changes.events:
            self._index.apply_event(runner.name, _event_of(change), now_ms)


def _event_of(change: CacheChange) -> CacheEvent:
    return CacheEvent(
        sequence=change.sequence,
        action=CacheAction(change.action),
        block_hash=change.block_hash,
    )
