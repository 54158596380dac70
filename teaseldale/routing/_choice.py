"""Ways of choosing among the upstreams that could run a request."""

import abc
import random
from collections.abc import Mapping, Sequence

import attrs

from teaseldale.notes import Upstream


@attrs.frozen(kw_only=True)
class RoutingRequest:
    """What the choice of an upstream depends on."""

    route: str
    version: str  # only upstreams of this version may run the request
    prompt: str  # prefix decides about cache affinity
    priority: int  # 0 is the highest
    deadline_ms: int  # monotonic time by which the answer is wanted
    excluded: frozenset[str] = frozenset()  # upstreams tried already


class BaseUpstreamChoice(abc.ABC):
    """Picks one of several upstreams that may run a request."""

    @abc.abstractmethod
    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Upstream],
        in_flight: Mapping[str, int],
    ) -> Upstream:
        """Returns one of ``candidates``, of which there is at least one."""


class RandomChoice(BaseUpstreamChoice):
    """Picks uniformly at random."""

    def __init__(self, *, random_source: random.Random) -> None:
        """Draws from ``random_source``."""
        self._random = random_source

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Upstream],
        in_flight: Mapping[str, int],
    ) -> Upstream:
        """Returns a random candidate."""
        return self._random.choice(candidates)


class LeastInFlightChoice(BaseUpstreamChoice):
    """Picks the upstream with the fewest requests of this VM."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Upstream],
        in_flight: Mapping[str, int],
    ) -> Upstream:
        """Returns the candidate least used by this VM."""
        return min(
            candidates,
            key=lambda upstream: in_flight.get(upstream.name, 0),
        )
