"""Choice by cached prompt prefix, with bounded load."""

import random

from teaseldale.clock import BaseClock
from teaseldale.routing._choice import BaseUpstreamChoice
from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._prefix_index import PrefixIndex, prefix_hashes
from teaseldale.routing._request import RoutingRequest

_SAMPLE_SIZE = 4
_HOME_COUNT = 2
_LOAD_ALLOWANCE = 0.5  # load that a cached prefix is worth
_OTHER_ZONE_LOAD = 0.05  # load that staying in the zone is worth


class AffinityChoice(BaseUpstreamChoice):
    """Prefers runners that hold the prompt's prefix unless overloaded."""

    def __init__(
        self,
        *,
        index: PrefixIndex,
        clock: BaseClock,
        zone: str,
        random_source: random.Random,
    ) -> None:
        """Chooses for a VM of availability zone ``zone``."""
        self._index = index
        self._clock = clock
        self._zone = zone
        self._random = random_source

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a free runner; notes demand for one that is not free."""
        hashes = prefix_hashes(request.prompt)
        least = self._least_loaded(request, pool)
        if least is None:
            _note_demand(self._preferred(hashes, pool), request)
            return None
        bound = self._cost(least) + _LOAD_ALLOWANCE
        for runner in self._preferred(hashes, pool):
            if not request.allows(runner.name):
                continue
            if runner.has_free_slot and self._cost(runner) <= bound:
                return self._chosen(runner, hashes)
            runner.demand += 1
        return self._chosen(least, hashes)

    def _chosen(self, runner: Runner, hashes: list[int]) -> Runner:
        self._index.assume(runner.name, hashes, self._clock.monotonic_ms())
        return runner

    def _preferred(
        self,
        hashes: list[int],
        pool: UpstreamPool,
    ) -> list[Runner]:
        if not hashes:
            return []
        now_ms = self._clock.monotonic_ms()
        for prefix_hash in reversed(hashes):
            holders = [
                pool.runners[name]
                for name in self._index.runners_of(prefix_hash, now_ms)
                if name in pool.runners
            ]
            if holders:
                return sorted(holders, key=self._cost)
        return self._homes(hashes[0], pool)

    def _homes(self, first_hash: int, pool: UpstreamPool) -> list[Runner]:
        count = len(pool.names)
        return [
            pool.runners[pool.names[(first_hash + step) % count]]
            for step in range(min(_HOME_COUNT, count))
        ]

    def _least_loaded(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        near = pool.free_in(self._zone).members
        sample = [
            runner
            for members in (near, pool.free.members)
            for runner in self._sample(members)
            if request.allows(runner.name)
        ]
        if not sample and pool.free:
            sample = [
                runner
                for runner in pool.free.members
                if request.allows(runner.name)
            ]
        return min(sample, key=self._cost, default=None)

    def _sample(self, members: list[Runner]) -> list[Runner]:
        if len(members) <= _SAMPLE_SIZE:
            return members
        count = len(members)
        return [
            members[int(self._random.random() * count)]
            for _ in range(_SAMPLE_SIZE)
        ]

    def _cost(self, runner: Runner) -> float:
        if runner.upstream.availability_zone == self._zone:
            return runner.load
        return runner.load + _OTHER_ZONE_LOAD


def _note_demand(runners: list[Runner], request: RoutingRequest) -> None:
    for runner in runners:
        if request.allows(runner.name):
            runner.demand += 1
