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
from teaseldale.routing._admission import Admission, any_allowed, note_hold
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
_RESERVE_FROM_SLOTS = 8  # smallest pool with a high-priority reserve
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
        self.table.follow()
        found = self.table.pool(request.route, request.version)
        if found is None or not any_allowed(request, found.pool):
            return self._refused(no_upstream(request))
        self._note_arrival(request, found)
        wished = self._choice.worth_a_slot(request, found.pool)
        if wished is not None:
            await self.slots.ask_now(wished)
        if not found.queue.count_ahead(request.queue_level):
            runner = self._choose(request, found)
            if runner is not None:
                return self._placed(request, runner)
        if not request.priority:
            loan = await self._loans.borrow(request)
            if loan is not None:
                return self._placed(request, loan.runner, loan.slot)
        refusal = self._admission.refusal_on_arrival(request, found)
        if refusal is not None:
            return self._refused(refusal)
        return await self._wait(request, found)

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
            self._loans.give_back(placement.loan)
        self._suspensions.note_outcome(runner, failed=failed)
        self.table.update(runner)
        found = self.table.pool_of(runner)
        if found is None:
            return
        if not failed:
            held_ms = self._clock.monotonic_ms() - placement.placed_ms
            note_hold(found.pool, held_ms)
        self._serve_queue(found)

    def usable_upstreams(self, route: str, version: str) -> tuple[str, ...]:
        """Returns the names of the upstreams that accept new requests."""
        self.table.follow()
        found = self.table.pool(route, version)
        if found is None:
            return ()
        return tuple(runner.name for runner in found.pool if not runner.leaving)

    def take_retry(self, route: Route) -> bool:
        """Consumes a retry from the route's budget; False if none is left."""
        taken = self._retries.take_retry(route.name)
        if not taken:
            self._metrics.increment('retries_refused', route.name)
        return taken

    def tick(self) -> None:
        """Expires loans and suspensions, then processes all queues."""
        self.table.follow()
        self._loans.end_expired()
        for runner in self._suspensions.ended():
            self.table.update(runner)
        for found in self.table.pools():
            self._serve_queue(found)
            self._admission.refuse_hopeless(found)

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            self.tick()

    def _note_arrival(self, request: RoutingRequest, found: RoutePool) -> None:
        if not request.priority:
            now_ms = self._clock.monotonic_ms()
            found.reserve_until_ms = now_ms + _RESERVE_LIFETIME_MS
        if request.first_attempt:
            route = self._configuration.current().routes.get(request.route)
            share_percent = route.retry_share_percent if route else 0
            self._retries.note_request(request.route, share_percent)

    def _choose(
        self,
        request: RoutingRequest,
        found: RoutePool,
    ) -> Runner | None:
        if request.queue_level and self._only_reserve_left(found):
            return None
        runner = self._choice.choose(request, found.pool)
        if runner is not None:
            runner.in_flight += 1
            found.pool.update(runner)
        return runner

    def _only_reserve_left(self, found: RoutePool) -> bool:
        return (
            found.pool.free_slots <= _RESERVED_SLOTS
            and found.pool.limit_slots >= _RESERVE_FROM_SLOTS
            and self._clock.monotonic_ms() < found.reserve_until_ms
        )

    def _placed(
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
        found: RoutePool,
    ) -> Placement | Refusal:
        waiting = WaitingRequest(
            request=request,
            queued_ms=self._clock.monotonic_ms(),
        )
        found.queue.add(waiting)
        self.slots.hurry()
        with self._withdrawn_on_cancel(waiting, found):
            await waiting.settled.wait()
        waited_ms = self._clock.monotonic_ms() - waiting.queued_ms
        self._metrics.record_ms('queue_wait', waited_ms)
        if isinstance(waiting.outcome, Runner):
            return self._placed(request, waiting.outcome)
        return self._refused(waiting.outcome or no_upstream(request))

    @contextmanager
    def _withdrawn_on_cancel(
        self,
        waiting: WaitingRequest,
        found: RoutePool,
    ) -> Iterator[None]:
        try:
            yield
        except BaseException:
            if waiting.outcome is None:
                found.queue.remove(waiting)
            elif isinstance(waiting.outcome, Runner):
                placed = self._placed(waiting.request, waiting.outcome)
                self.release(placed, failed=False)
            raise

    def _serve_queue(self, found: RoutePool) -> None:
        if not found.pool.free:
            return
        for waiting in tuple(found.queue):
            runner = self._choose(waiting.request, found)
            if runner is not None:
                found.queue.remove(waiting)
                waiting.settle(runner)
            if not found.pool.free:
                return

    def _refused(self, refusal: Refusal) -> Refusal:
        self._metrics.increment('placements_refused', refusal.code)
        return refusal

    def _slot_demand(self) -> SlotDemand:
        self.table.follow()
        return SlotDemand(
            runners=tuple(self.table),
            waiting={
                runner.name: -(-len(found.queue) // len(found.pool.runners))
                for found in self.table.pools()
                if found.queue
                for runner in found.pool
            },
        )

    def _limits_changed(self, runners: Iterable[Runner]) -> None:
        changed = tuple(runners)
        for runner in changed:
            self.table.update(runner)
        if changed:
            self.tick()
