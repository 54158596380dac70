"""Runners and pools of the current configuration."""

from collections.abc import Iterable, Iterator

import attrs

from teaseldale.logs import StateLog
from teaseldale.notes import (
    BaseConfigurationSource,
    Configuration,
    Upstream,
)
from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._waiting import WaitingQueue

_QUEUE_LIMIT = 256
_PoolKey = tuple[str, str]


@attrs.define(kw_only=True, eq=False)
class RoutePool:
    """Runners of one version of a route, and its request queue."""

    pool: UpstreamPool
    queue: WaitingQueue
    reserve_until_ms: int = 0  # monotonic; end of the reserve for priority 0


class RunnerTable:
    """Index of runners by name and of pools by route and version."""

    def __init__(self, *, configuration: BaseConfigurationSource) -> None:
        """Creates an empty table, which the first refresh fills."""
        self._configuration = configuration
        self._applied: Configuration | None = None
        self._runners: dict[str, Runner] = {}
        self._pools: dict[_PoolKey, RoutePool] = {}
        self._log = StateLog(channel='routing')

    def __iter__(self) -> Iterator[Runner]:
        """Iterates over all runners, including removed ones still in use."""
        return iter(tuple(self._runners.values()))

    def pools(self) -> tuple[RoutePool, ...]:
        """Returns the pools of all routes and versions."""
        return tuple(self._pools.values())

    def pool(self, route: str, version: str) -> RoutePool | None:
        """Returns the pool of a route's version, or None if there is none."""
        return self._pools.get((route, version))

    def runner(self, name: str) -> Runner | None:
        """Returns the runner of this name, or None if there is none."""
        return self._runners.get(name)

    def pool_of(self, runner: Runner) -> RoutePool | None:
        """Returns a runner's pool, or None if it is no longer configured."""
        route_pool = self.pool(runner.upstream.route, runner.upstream.version)
        if route_pool is None or runner.name not in route_pool.pool.runners:
            return None
        return route_pool

    def update(self, runner: Runner) -> None:
        """Updates the indexes after a change of the runner's state.

        Drops a runner that is no longer configured once it is idle.
        """
        route_pool = self.pool_of(runner)
        if route_pool is not None:
            route_pool.pool.update(runner)
        elif runner.is_idle:
            self._runners.pop(runner.name, None)

    def set_leaving(self, names: Iterable[str]) -> None:
        """Marks exactly the runners in ``names`` as leaving."""
        leaving = frozenset(names)
        for runner in self:
            if runner.leaving != (runner.name in leaving):
                runner.leaving = runner.name in leaving
                self._log.changed(
                    'upstream leaves' if runner.leaving else 'upstream stays',
                    upstream=runner.name,
                )
                self.update(runner)

    def take_report(
        self,
        name: str,
        *,
        running: int,
        own_at_report: int,
    ) -> None:
        """Stores a runner's delayed load report.

        ``own_at_report`` is this VM's share of ``running`` at that time.
        """
        runner = self._runners.get(name)
        if runner is not None:
            runner.reported_running = running
            runner.own_at_report = own_at_report

    def refresh(self) -> None:
        """Rebuilds runners and pools if the configuration has changed.

        Keeps removed runners while they are in use, and pools while requests
        are queued in them.
        """
        configuration = self._configuration.current()
        if configuration is self._applied:
            return
        self._applied = configuration
        runners = {
            upstream.name: self._runner_for(upstream)
            for upstream in configuration.upstreams.values()
        }
        in_use = {runner.name: runner for runner in self if not runner.is_idle}
        self._runners = {**in_use, **runners}
        self._rebuild_pools(runners.values())

    def _runner_for(self, upstream: Upstream) -> Runner:
        runner = self._runners.get(upstream.name)
        if runner is None:
            return Runner(upstream=upstream)
        runner.upstream = upstream
        return runner

    def _rebuild_pools(self, runners: Iterable[Runner]) -> None:
        members: dict[_PoolKey, list[Runner]] = {}
        for runner in runners:
            key = (runner.upstream.route, runner.upstream.version)
            members.setdefault(key, []).append(runner)
        previous = self._pools
        keys_with_requests = {
            key for key, route_pool in previous.items() if route_pool.queue
        }
        self._pools = {
            key: _rebuilt(previous.get(key), members.get(key, []))
            for key in (*members, *keys_with_requests)
        }


def _rebuilt(previous: RoutePool | None, runners: list[Runner]) -> RoutePool:
    pool = UpstreamPool(runners=runners)
    if previous is None:
        return RoutePool(pool=pool, queue=WaitingQueue(limit=_QUEUE_LIMIT))
    pool.mean_hold_ms = previous.pool.mean_hold_ms
    return RoutePool(
        pool=pool,
        queue=previous.queue,
        reserve_until_ms=previous.reserve_until_ms,
    )
