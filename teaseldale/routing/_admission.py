"""Admission control for requests that find no free slot."""

from teaseldale.clock import BaseClock
from teaseldale.outcomes import Refusal
from teaseldale.routing._pool import UpstreamPool
from teaseldale.routing._request import RoutingRequest
from teaseldale.routing._router import (
    RETRY_AFTER_MS,
    deadline_exceeded,
    no_upstream,
    overloaded,
)
from teaseldale.routing._runner_table import RoutePool
from teaseldale.routing._waiting import WaitingRequest

_MAX_EXPECTED_WAIT_MS = 1000  # larger expected waits are refused on arrival
_MAX_QUEUE_WAIT_MS = 2000
_MAX_QUEUE_WAIT_WITHOUT_SLOTS_MS = 5000
_HOLD_WEIGHT = 0.1  # of the newest sample in the moving average


class Admission:
    """Refuses requests as soon as queueing cannot meet their limits."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Measures deadlines and waiting times with ``clock``."""
        self._clock = clock

    def refusal_on_arrival(
        self,
        request: RoutingRequest,
        route_pool: RoutePool,
    ) -> Refusal | None:
        """Returns a refusal, or None if the request may join the queue.

        May evict a queued request of lower priority when the queue is full.
        """
        if request.resumed:
            return None
        ahead = route_pool.queue.count_ahead(request.queue_level)
        wait_ms = _expected_wait_ms(route_pool.pool, ahead)
        retry_after_ms = max(round(wait_ms), RETRY_AFTER_MS)
        end_ms = (
            self._clock.monotonic_ms() + wait_ms + route_pool.pool.mean_hold_ms
        )
        if end_ms > request.deadline_ms:
            return deadline_exceeded(request, retry_after_ms)
        if wait_ms > _MAX_EXPECTED_WAIT_MS:
            return overloaded(request, retry_after_ms)
        if route_pool.queue.is_full and not _evict_lower_priority(
            request, route_pool
        ):
            return overloaded(request, retry_after_ms)
        return None

    def refuse_unservable(self, route_pool: RoutePool) -> None:
        """Removes and refuses queued requests that cannot start in time."""
        for position, waiting in enumerate(tuple(route_pool.queue)):
            refusal = self._refusal_in_queue(waiting, position, route_pool)
            if refusal is not None:
                route_pool.queue.remove(waiting)
                waiting.settle(refusal)

    def _refusal_in_queue(
        self,
        waiting: WaitingRequest,
        position: int,
        route_pool: RoutePool,
    ) -> Refusal | None:
        if not any_allowed(waiting.request, route_pool.pool):
            return no_upstream(waiting.request)
        if waiting.request.resumed:
            return None
        wait_ms = _expected_wait_ms(route_pool.pool, position)
        start_ms = self._clock.monotonic_ms() + wait_ms
        if start_ms > waiting.request.deadline_ms:
            return deadline_exceeded(waiting.request, RETRY_AFTER_MS)
        if start_ms - waiting.queued_ms > _max_queue_wait_ms(route_pool):
            return overloaded(waiting.request, _MAX_EXPECTED_WAIT_MS)
        return None


def any_allowed(request: RoutingRequest, pool: UpstreamPool) -> bool:
    """Returns whether any runner of the pool may ever run the request."""
    if request.only_upstream:
        return request.only_upstream in pool.runners
    return any(
        not runner.leaving and request.allows(runner.name) for runner in pool
    )


def update_mean_hold(pool: UpstreamPool, held_ms: int) -> None:
    """Adds a slot's holding time to the pool's exponential moving average."""
    if not pool.mean_hold_ms:
        pool.mean_hold_ms = held_ms
    pool.mean_hold_ms += _HOLD_WEIGHT * (held_ms - pool.mean_hold_ms)


def _evict_lower_priority(
    request: RoutingRequest, route_pool: RoutePool
) -> bool:
    evicted = route_pool.queue.eviction_candidate(request.queue_level)
    if evicted is None:
        return False
    route_pool.queue.remove(evicted)
    evicted.settle(overloaded(evicted.request, _MAX_EXPECTED_WAIT_MS))
    return True


def _expected_wait_ms(pool: UpstreamPool, ahead: int) -> float:
    if not pool.limit_slots or any(runner.may_get_slots for runner in pool):
        return 0
    return (ahead + 1) * pool.mean_hold_ms / pool.limit_slots


def _max_queue_wait_ms(route_pool: RoutePool) -> int:
    if route_pool.pool.limit_slots:
        return _MAX_QUEUE_WAIT_MS
    return _MAX_QUEUE_WAIT_WITHOUT_SLOTS_MS
