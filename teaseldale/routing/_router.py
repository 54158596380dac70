"""Router interface, and a router without coordination between VMs."""

import abc

from teaseldale.notes import BaseConfigurationSource, Route
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.routing._choice import BaseUpstreamChoice
from teaseldale.routing._pool import UpstreamPool
from teaseldale.routing._request import Placement, RoutingRequest
from teaseldale.routing._runner_table import RunnerTable

RETRY_AFTER_MS = 500


class BaseRouter(abc.ABC):
    """Assigns upstream slots to requests."""

    @abc.abstractmethod
    async def place(self, request: RoutingRequest) -> Placement | Refusal:
        """Acquires a slot, waiting in the queue if necessary.

        Returns a refusal if no slot is available in time.
        """

    @abc.abstractmethod
    def release(self, placement: Placement, *, failed: bool) -> None:
        """Releases the slot and records whether the upstream failed."""

    @abc.abstractmethod
    def usable_upstreams(self, route: str, version: str) -> tuple[str, ...]:
        """Returns the names of the upstreams that accept new requests."""

    @abc.abstractmethod
    def take_retry(self, route: Route) -> bool:
        """Consumes a retry from the route's budget; False if none is left."""


class LocalRouter(BaseRouter):
    """Router that counts only this VM's requests and never queues."""

    def __init__(
        self,
        *,
        configuration: BaseConfigurationSource,
        choice: BaseUpstreamChoice,
    ) -> None:
        """Creates a router that picks configured upstreams by ``choice``."""
        self._choice = choice
        self.table = RunnerTable(configuration=configuration)

    async def place(self, request: RoutingRequest) -> Placement | Refusal:
        """Acquires a slot or returns a refusal without waiting."""
        pool = self._pool_of(request.route, request.version)
        if not any(request.allows(name) for name in pool.names):
            return no_upstream(request)
        chosen = self._choice.choose(request, pool)
        if chosen is None:
            return overloaded(request, RETRY_AFTER_MS)
        chosen.in_flight += 1
        pool.update(chosen)
        return Placement(upstream=chosen.upstream, request=request)

    def release(self, placement: Placement, *, failed: bool) -> None:
        """Releases the slot; ignores whether the upstream failed."""
        runner = self.table.runner(placement.upstream.name)
        if runner is not None:
            runner.in_flight -= 1
            self.table.update(runner)

    def usable_upstreams(self, route: str, version: str) -> tuple[str, ...]:
        """Returns the names of all upstreams of the version."""
        return tuple(self._pool_of(route, version).names)

    def take_retry(self, route: Route) -> bool:
        """Allows every retry."""
        return True

    def _pool_of(self, route: str, version: str) -> UpstreamPool:
        self.table.refresh()
        for runner in self.table:
            if runner.limit != runner.upstream.slot_count:
                runner.limit = runner.upstream.slot_count
                self.table.update(runner)
        route_pool = self.table.pool(route, version)
        return (
            UpstreamPool(runners=()) if route_pool is None else route_pool.pool
        )


def no_upstream(request: RoutingRequest) -> Refusal:
    """Returns a refusal for a request that no upstream can run."""
    return Refusal(
        code=RefusalCode.NO_UPSTREAM,
        message=f'No upstream of route {request.route!r} is usable now.',
        not_run=True,
        step=Step.CHOOSE_UPSTREAM,
        retry_after_ms=RETRY_AFTER_MS,
    )


def overloaded(request: RoutingRequest, retry_after_ms: int) -> Refusal:
    """Returns a refusal for a request that would wait too long."""
    return Refusal(
        code=RefusalCode.OVERLOADED,
        message=f'All upstreams of route {request.route!r} are full.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=retry_after_ms,
    )


def deadline_exceeded(request: RoutingRequest, retry_after_ms: int) -> Refusal:
    """Returns a refusal for a request that would miss its deadline."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        message='The request cannot be run before its deadline; send it '
        'again later, or with a later deadline.',
        not_run=True,
        step=Step.ADMIT,
        retry_after_ms=retry_after_ms,
    )
