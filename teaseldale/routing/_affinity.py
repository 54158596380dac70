"""Upstream choice by cached prompt prefix, with bounded load."""

import random

from teaseldale.clock import BaseClock
from teaseldale.routing._choice import BaseUpstreamChoice
from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._prefix_index import PrefixIndex, prefix_hashes
from teaseldale.routing._request import RoutingRequest

_SAMPLE_SIZE = 4
_HOME_COUNT = 3
_MIN_SLOT_REQUEST_BLOCKS = 4  # shorter prompts do not request an extra slot
_CACHED_PREFIX_LOAD = 0.5  # extra load accepted for a cached prefix
_OTHER_ZONE_LOAD = 0.05  # load penalty for leaving the zone


class AffinityChoice(BaseUpstreamChoice):
    """Prefers runners that cache the prompt's prefix unless overloaded."""

    def __init__(
        self,
        *,
        index: PrefixIndex,
        clock: BaseClock,
        zone: str,
        random_source: random.Random,
    ) -> None:
        """Creates the choice of a VM in availability zone ``zone``."""
        self._index = index
        self._clock = clock
        self._zone = zone
        self._random = random_source
        self._last_prompt = ''
        self._last_hashes: list[int] = []

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a free runner, or None; records demand for full runners."""
        hashes = self._hashes_of(request.prompt)
        least_loaded = self._least_loaded(request, pool)
        preferred = self._preferred(hashes, pool)
        bound = _CACHED_PREFIX_LOAD
        if least_loaded is not None:
            bound += self._cost(least_loaded)
        for runner in preferred:
            if not request.allows(runner.name):
                continue
            if not runner.has_free_slot:
                runner.demand += 1
            elif self._cost(runner) <= bound:
                return self._record_choice(runner, hashes)
        return (
            None
            if least_loaded is None
            else self._record_choice(least_loaded, hashes)
        )

    def slot_request_target(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a runner that caches a long prefix but has no free slot."""
        hashes = self._hashes_of(request.prompt)
        if len(hashes) < _MIN_SLOT_REQUEST_BLOCKS:
            return None
        for runner in self._preferred(hashes, pool)[:1]:
            if runner.lacks_slot and request.allows(runner.name):
                return runner
        return None

    def _hashes_of(self, prompt: str) -> list[int]:
        if self._last_prompt != prompt:
            self._last_prompt = prompt
            self._last_hashes = prefix_hashes(prompt)
        return self._last_hashes

    def _record_choice(self, runner: Runner, hashes: list[int]) -> Runner:
        self._index.add_assumed(runner.name, hashes, self._clock.monotonic_ms())
        return runner

    def _preferred(
        self,
        hashes: list[int],
        pool: UpstreamPool,
    ) -> list[Runner]:
        if not hashes:
            return []
        homes = self._homes(hashes[0], pool)
        holders = self._holders(hashes, pool)
        ordered = sorted(
            holders,
            key=lambda runner: (runner is not homes[0], self._cost(runner)),
        )
        return list(dict.fromkeys((*ordered, *homes)))

    def _holders(
        self,
        hashes: list[int],
        pool: UpstreamPool,
    ) -> list[Runner]:
        now_ms = self._clock.monotonic_ms()
        for prefix_hash in reversed(hashes):
            holders = [
                pool.runners[name]
                for name in self._index.runners_of(prefix_hash, now_ms)
                if name in pool.runners
            ]
            if holders:
                return holders
        return []

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
        same_zone = pool.free_in(self._zone).members
        sample = [
            runner
            for members in (same_zone, pool.free.members)
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
