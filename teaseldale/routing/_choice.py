"""Strategies for choosing among upstreams with a free slot."""

import abc
import random

import xxhash

from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._request import RoutingRequest

_RANDOM_ATTEMPTS = 4
_HASHED_PROMPT_BYTES = 256


class BaseUpstreamChoice(abc.ABC):
    """Strategy that picks one of the free runners of a pool."""

    @abc.abstractmethod
    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a runner with a free slot, or None if none is allowed."""

    def slot_request_target(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a full runner for which an extra slot should be requested.

        The router calls ``choose`` afterwards, whether or not it got the slot.
        """
        return None


class RandomChoice(BaseUpstreamChoice):
    """Picks uniformly at random."""

    def __init__(self, *, random_source: random.Random) -> None:
        """Creates a choice that draws from ``random_source``."""
        self._random = random_source

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns a random free runner."""
        for _ in range(_RANDOM_ATTEMPTS):
            if not pool.free:
                return None
            runner = self._random.choice(pool.free.members)
            if request.allows(runner.name):
                return runner
        return _first_allowed(request, pool)


class RoundRobinChoice(BaseUpstreamChoice):
    """Cycles through the free runners in the order of their names."""

    def __init__(self) -> None:
        """Creates a choice whose position is at the start."""
        self._position = 0

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns the next free runner by name."""
        for _ in pool.names:
            self._position += 1
            name = pool.names[self._position % len(pool.names)]
            runner = pool.runners[name]
            if runner.has_free_slot and request.allows(name):
                return runner
        return None


class LeastReportedChoice(BaseUpstreamChoice):
    """Picks the runner with the lowest load by its delayed report."""

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns the free runner with the lowest reported load."""
        return min(
            _allowed(request, pool),
            key=lambda runner: (
                runner.reported_running / runner.upstream.slot_count
            ),
            default=None,
        )


class LeastInFlightChoice(BaseUpstreamChoice):
    """Picks the runner with the fewest in-flight requests of this VM."""

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns the free runner with the fewest requests of this VM."""
        return min(
            _allowed(request, pool),
            key=lambda runner: runner.in_flight,
            default=None,
        )


class PrefixHashChoice(BaseUpstreamChoice):
    """Picks by a hash of the prompt's first bytes, ignoring load."""

    def choose(
        self,
        request: RoutingRequest,
        pool: UpstreamPool,
    ) -> Runner | None:
        """Returns the first allowed runner by hash if it has a free slot."""
        start = request.prompt.encode()[:_HASHED_PROMPT_BYTES]
        first = xxhash.xxh3_64_intdigest(start) % len(pool.names)
        for name in (*pool.names[first:], *pool.names[:first]):
            if request.allows(name):
                runner = pool.runners[name]
                return runner if runner.has_free_slot else None
        return None


def _allowed(request: RoutingRequest, pool: UpstreamPool) -> list[Runner]:
    return [
        runner for runner in pool.free.members if request.allows(runner.name)
    ]


def _first_allowed(
    request: RoutingRequest,
    pool: UpstreamPool,
) -> Runner | None:
    return next(iter(_allowed(request, pool)), None)
