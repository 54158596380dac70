"""Router of a VM in a fleet that shares the slots of upstreams."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.notes import BaseConfigurationSource, Route
from teaseldale.outcomes import Refusal
from teaseldale.peers import BasePeerNetwork
from teaseldale.routing._admission import (
    Admission,
    any_allowed,
    update_mean_hold,
)
from teaseldale.routing._choice import BaseUpstreamChoice
from teaseldale.routing._pool import Runner
from teaseldale.routing._request import Placement, RoutingRequest, SlotLoan
from teaseldale.routing._retries import RetryBudget
from teaseldale.routing._router import BaseRouter, no_upstream
from teaseldale.routing._runner_table import RoutePool, RunnerTable
from teaseldale.routing._slot_holder import SlotDemand, SlotHolder
from teaseldale.routing._slot_loans import SlotLoans
from teaseldale.routing._suspensions import Suspensions
from teaseldale.routing._waiting import WaitingRequest

_TICK_MS = 50
_MIN_RESERVE_POOL_SLOTS = 8  # smallest pool with a high-priority reserve
_RESERVED_SLOTS = 1
_RESERVE_LIFETIME_MS = 10_000  # after the last high-priority request


class FleetRouter(BaseRouter, BaseService):
    """Places requests within this VM's leased and borrowed slots."""

    def __init__(
        self,
        *,
        configuration: BaseConfigurationSource,
        choice: BaseUpstreamChoice,
        network: BasePeerNetwork,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Creates a router that picks configured upstreams by ``choice``."""
        self._choice = choice
        self._clock = clock
        self._metrics = metrics
        self._retries = RetryBudget()
        self.table = RunnerTable(configuration=configuration)
        self._admission = Admission(clock=clock)
        self._suspensions = Suspensions(clock=clock, metrics=metrics)
        self._configuration = configuration
        self._loans = SlotLoans(
            network=network,
            table=self.table,
            clock=clock,
            metrics=metrics,
        )
        self.slots = SlotHolder(
            network=network,
            clock=clock,
            metrics=metrics,
            demand=self._slot_demand,
            changed=self._limits_changed,
        )

    @property
    def name(self) -> str:
        """Service name."""
        return 'routing'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the renewal of leases, slot returns and queue processing."""
        await self.slots.start(tasks)
        await self._loans.start(tasks)
        tasks.start_soon(self._tick_forever)

    async def drain(self) -> None:
        """Returns borrowed slots and releases all leases."""
        await self._loans.drain()
        await self.slots.drain()

    async def place(self, request: RoutingRequest) -> Placement | Refusal:
        """Acquires a slot, waiting in the bounded queue if necessary.

        Returns a refusal if no upstream is usable or the wait would be too
        long.
        """
        self.table.refresh()
        route_pool = self.table.pool(request.route, request.version)
        if route_pool is None or not any_allowed(request, route_pool.pool):
            return self._count_refusal(no_upstream(request))
        self._note_arrival(request, route_pool)
        slot_target = self._choice.slot_request_target(request, route_pool.pool)
        if slot_target is not None:
            await self.slots.request_extra_slot(slot_target)
        if not route_pool.queue.count_ahead(request.queue_level):
            runner = self._choose(request, route_pool)
            if runner is not None:
                return self._new_placement(request, runner)
        if not request.priority:
            loan = await self._loans.borrow(request)
            if loan is not None:
                return self._new_placement(request, loan.runner, loan.slot)
        refusal = self._admission.refusal_on_arrival(request, route_pool)
        if refusal is not None:
            return self._count_refusal(refusal)
        return await self._wait(request, route_pool)

    def release(self, placement: Placement, *, failed: bool) -> None:
        """Releases the slot; repeated failures suspend the upstream.

        Raises ``LookupError`` if the runner is not known any more.
        """
        runner = self.table.runner(placement.upstream.name)
        if runner is None:
            raise LookupError(f'{placement} was released before.')
        if placement.loan is None:
            runner.in_flight -= 1
        else:
            runner.borrowed -= 1
            self._loans.queue_return(placement.loan)
        self._suspensions.note_outcome(runner, failed=failed)
        self.table.update(runner)
        route_pool = self.table.pool_of(runner)
        if route_pool is None:
            return
        if not failed:
            held_ms = self._clock.monotonic_ms() - placement.placed_ms
            update_mean_hold(route_pool.pool, held_ms)
        self._serve_queue(route_pool)

    def usable_upstreams(self, route: str, version: str) -> tuple[str, ...]:
        """Returns the names of the upstreams that accept new requests."""
        self.table.refresh()
        route_pool = self.table.pool(route, version)
        if route_pool is None:
            return ()
        return tuple(
            runner.name for runner in route_pool.pool if not runner.leaving
        )

    def take_retry(self, route: Route) -> bool:
        """Consumes a retry from the route's budget; False if none is left."""
        is_allowed = self._retries.take_retry(route.name)
        if not is_allowed:
            self._metrics.increment('retries_refused', route.name)
        return is_allowed

    def tick(self) -> None:
        """Expires loans and suspensions, then processes all queues."""
        self.table.refresh()
        self._loans.end_expired()
        for runner in self._suspensions.end_expired():
            self.table.update(runner)
        for route_pool in self.table.pools():
            self._serve_queue(route_pool)
            self._admission.refuse_unservable(route_pool)

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            self.tick()

    def _note_arrival(
        self, request: RoutingRequest, route_pool: RoutePool
    ) -> None:
        if not request.priority:
            now_ms = self._clock.monotonic_ms()
            route_pool.reserve_until_ms = now_ms + _RESERVE_LIFETIME_MS
        if request.first_attempt:
            route = self._configuration.current().routes.get(request.route)
            share_percent = route.retry_share_percent if route else 0
            self._retries.note_request(request.route, share_percent)

    def _choose(
        self,
        request: RoutingRequest,
        route_pool: RoutePool,
    ) -> Runner | None:
        if request.queue_level and self._only_reserve_left(route_pool):
            return None
        runner = self._choice.choose(request, route_pool.pool)
        if runner is not None:
            runner.in_flight += 1
            route_pool.pool.update(runner)
        return runner

    def _only_reserve_left(self, route_pool: RoutePool) -> bool:
        return (
            route_pool.pool.free_slots <= _RESERVED_SLOTS
            and route_pool.pool.limit_slots >= _MIN_RESERVE_POOL_SLOTS
            and self._clock.monotonic_ms() < route_pool.reserve_until_ms
        )

    def _new_placement(
        self,
        request: RoutingRequest,
        runner: Runner,
        loan: SlotLoan | None = None,
    ) -> Placement:
        return Placement(
            upstream=runner.upstream,
            request=request,
            placed_ms=self._clock.monotonic_ms(),
            loan=loan,
        )

    async def _wait(
        self,
        request: RoutingRequest,
        route_pool: RoutePool,
    ) -> Placement | Refusal:
        waiting = WaitingRequest(
            request=request,
            queued_ms=self._clock.monotonic_ms(),
        )
        route_pool.queue.add(waiting)
        self.slots.request_renewal()
        with self._dequeue_on_cancel(waiting, route_pool):
            await waiting.settled.wait()
        waited_ms = self._clock.monotonic_ms() - waiting.queued_ms
        self._metrics.record_ms('queue_wait', waited_ms)
        if isinstance(waiting.outcome, Runner):
            return self._new_placement(request, waiting.outcome)
        return self._count_refusal(waiting.outcome or no_upstream(request))

    @contextmanager
    def _dequeue_on_cancel(
        self,
        waiting: WaitingRequest,
        route_pool: RoutePool,
    ) -> Iterator[None]:
        try:
            yield
        except BaseException:
            if waiting.outcome is None:
                route_pool.queue.remove(waiting)
            elif isinstance(waiting.outcome, Runner):
                placement = self._new_placement(
                    waiting.request, waiting.outcome
                )
                self.release(placement, failed=False)
            raise

    def _serve_queue(self, route_pool: RoutePool) -> None:
        if not route_pool.pool.free:
            return
        for waiting in tuple(route_pool.queue):
            runner = self._choose(waiting.request, route_pool)
            if runner is not None:
                route_pool.queue.remove(waiting)
                waiting.settle(runner)
            if not route_pool.pool.free:
                return

    def _count_refusal(self, refusal: Refusal) -> Refusal:
        self._metrics.increment('placements_refused', refusal.code)
        return refusal

    def _slot_demand(self) -> SlotDemand:
        self.table.refresh()
        return SlotDemand(
            runners=tuple(self.table),
            waiting={
                runner.name: -(
                    -len(route_pool.queue) // len(route_pool.pool.runners)
                )
                for route_pool in self.table.pools()
                if route_pool.queue
                for runner in route_pool.pool
            },
        )

    def _limits_changed(self, runners: Iterable[Runner]) -> None:
        changed = tuple(runners)
        for runner in changed:
            self.table.update(runner)
        if changed:
            self.tick()
