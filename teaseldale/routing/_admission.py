"""Whether a request that finds no free slot may wait, and how long."""

from teaseldale.clock import BaseClock
from teaseldale.outcomes import Refusal
from teaseldale.routing._pool import UpstreamPool
from teaseldale.routing._request import RoutingRequest
from teaseldale.routing._router import (
    RETRY_AFTER_MS,
    no_upstream,
    overloaded,
    too_late,
)
from teaseldale.routing._runner_table import RoutePool
from teaseldale.routing._waiting import WaitingRequest

_LONGEST_QUEUE_MS = 1000  # expected wait above which nobody may join
_LONGEST_WAIT_MS = 2000
_LONGEST_WAIT_WITHOUT_SLOTS_MS = 5000
_HOLD_WEIGHT = 0.1  # of the newest hold in the moving mean


class Admission:
    """Refuses as soon as it is known that waiting will not help."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Reads times from ``clock``."""
        self._clock = clock

    def refusal_on_arrival(
        self,
        request: RoutingRequest,
        found: RoutePool,
    ) -> Refusal | None:
        """Returns why a request may not join the queue."""
        if request.resumed:
            return None
        ahead = found.queue.count_ahead(request.queue_level)
        wait_ms = _expected_wait_ms(found.pool, ahead)
        retry_after_ms = max(round(wait_ms), RETRY_AFTER_MS)
        end_ms = self._clock.monotonic_ms() + wait_ms + found.pool.mean_hold_ms
        if end_ms > request.deadline_ms:
            return too_late(request, retry_after_ms)
        if wait_ms > _LONGEST_QUEUE_MS:
            return overloaded(request, retry_after_ms)
        if found.queue.is_full and not _displace(request, found):
            return overloaded(request, retry_after_ms)
        return None

    def refuse_hopeless(self, found: RoutePool) -> None:
        """Refuses the waiting requests that cannot be served in time."""
        for position, waiting in enumerate(tuple(found.queue)):
            refusal = self._refusal_in_queue(waiting, position, found)
            if refusal is not None:
                found.queue.remove(waiting)
                waiting.settle(refusal)

    def _refusal_in_queue(
        self,
        waiting: WaitingRequest,
        position: int,
        found: RoutePool,
    ) -> Refusal | None:
        if not any_allowed(waiting.request, found.pool):
            return no_upstream(waiting.request)
        if waiting.request.resumed:
            return None
        wait_ms = _expected_wait_ms(found.pool, position)
        start_ms = self._clock.monotonic_ms() + wait_ms
        if start_ms > waiting.request.deadline_ms:
            return too_late(waiting.request, RETRY_AFTER_MS)
        if start_ms - waiting.queued_ms > _longest_wait_ms(found):
            return overloaded(waiting.request, _LONGEST_QUEUE_MS)
        return None


def any_allowed(request: RoutingRequest, pool: UpstreamPool) -> bool:
    """Whether the pool has a runner that may run the request some time."""
    if request.only_upstream:
        return request.only_upstream in pool.runners
    return any(
        not runner.leaving and request.allows(runner.name) for runner in pool
    )


def note_hold(pool: UpstreamPool, held_ms: int) -> None:
    """Takes the time that a request held its slot into the mean."""
    if not pool.mean_hold_ms:
        pool.mean_hold_ms = held_ms
    pool.mean_hold_ms += _HOLD_WEIGHT * (held_ms - pool.mean_hold_ms)


def _displace(request: RoutingRequest, found: RoutePool) -> bool:
    displaced = found.queue.least_important(request.queue_level)
    if displaced is None:
        return False
    found.queue.remove(displaced)
    displaced.settle(overloaded(displaced.request, _LONGEST_QUEUE_MS))
    return True


def _expected_wait_ms(pool: UpstreamPool, ahead: int) -> float:
    if not pool.limit_slots or any(runner.may_get_slots for runner in pool):
        return 0
    return (ahead + 1) * pool.mean_hold_ms / pool.limit_slots


def _longest_wait_ms(found: RoutePool) -> int:
    if found.pool.limit_slots:
        return _LONGEST_WAIT_MS
    return _LONGEST_WAIT_WITHOUT_SLOTS_MS
