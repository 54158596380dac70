"""Simulated fleet with one version move and callers."""

import anyio
import attrs

from teaseldale.moves import (
    BaseOrderClient,
    EvidenceSample,
    MovesDependencies,
    MovesService,
    OrderOutcome,
)
from teaseldale.notes import (
    Budget,
    ItemLists,
    ReleaseNote,
    Route,
    RouteKind,
    Upstream,
    VersionMove,
)
from teaseldale.notes.tests.notes_world import World
from teaseldale.requests import RequestIdentity

DEADLINE_MS = 400_000
REQUESTS_PER_SECOND = 40
_TICK_MS = 250
_WARM_UP_MS = 2000
_STALL_MS = 2000


@attrs.define(kw_only=True)
class SentRequest:
    """Request that was sent to the new version."""

    at_ms: int
    zone: str


class FakeOrders(BaseOrderClient):
    """Engines that ignore fencing numbers and record every order."""

    def __init__(self):
        self.orders = []

    async def send(self, upstream, order):
        self.orders.append(order)
        return OrderOutcome.TAKEN


class MovesWorld(World):
    """Simulated fleet with a moves service on each VM and request load."""

    def __init__(self):
        super().__init__(seed=7, on_vm_created=self.add_moves)
        self.orders = FakeOrders()
        self.new_fails = False
        self.new_hangs = False
        self.fails_elsewhere = False
        self.sent = []
        self.taken_back_ms = None
        self.cut_ms = None
        self.number = 0

    def add_moves(self, vm):
        vm.moves = MovesService(
            parts=MovesDependencies(
                configuration=vm.notes,
                table=vm.table,
                peers=vm.peers,
                clock=vm.clock,
                metrics=vm.metrics,
                orders=self.orders,
            ),
        )
        vm.extra_services = (vm.moves,)

    async def begin(self):
        await self.clock.sleep_ms(_WARM_UP_MS)
        note = move_note(self.clock.wall_ms() + DEADLINE_MS)
        status = await self.vms['mill-0'].notes.apply(note)
        assert status.state == 'accepted', status
        await self.clock.sleep_ms(3000)

    async def run_requests(self, seconds):
        end_ms = self.clock.monotonic_ms() + seconds * 1000
        count = REQUESTS_PER_SECOND * _TICK_MS // 1000
        while self.clock.monotonic_ms() < end_ms:
            await self.clock.sleep_ms(_TICK_MS)
            for _ in range(count):
                self.request(self.random.choice(list(self.vms.values())))
            self.check_take_back()

    def request(self, vm):
        route = vm.notes.current().routes.get('drafts')
        if route is None or not vm.notes.may_serve():
            return
        self.number += 1
        request = RequestIdentity(client_account='a', key=str(self.number))
        version = vm.moves.assignment.version_for(route, request)
        if self.fails_elsewhere:
            vm.moves.assignment.record(
                EvidenceSample(
                    route='summaries',
                    version='v2',
                    failed=True,
                    first_token_ms=None,
                    largest_gap_ms=None,
                ),
            )
        running = vm.moves.assignment.begin('drafts', version)
        new = version == 'v2'
        if new:
            now_ms = self.clock.monotonic_ms()
            self.sent.append(SentRequest(at_ms=now_ms, zone=vm.zone))
        if new and self.new_hangs:
            self.tasks.start_soon(self.hang, vm)
            return
        failed = self.random.random() < (
            0.4 if new and self.new_fails else 0.01
        )
        vm.moves.assignment.record(
            EvidenceSample(
                route='drafts',
                version=version,
                failed=failed,
                first_token_ms=50,
                largest_gap_ms=20,
            ),
        )
        vm.moves.assignment.finish(running)

    async def hang(self, vm):
        await self.clock.sleep_ms(_STALL_MS)
        vm.moves.assignment.record(
            EvidenceSample(
                route='drafts',
                version='v2',
                failed=False,
                first_token_ms=_STALL_MS,
                largest_gap_ms=None,
            ),
        )

    def check_take_back(self):
        if self.taken_back_ms is not None:
            return
        read = self.table.scan(
            table='notes',
            prefix='takeback-',
            after_revision=0,
        )
        if read:
            self.taken_back_ms = self.clock.monotonic_ms()

    def steering_vm(self):
        for vm in self.vms.values():
            step = vm.notes.follower.head.step_of('to-v2')
            if step is not None and step.steering_vm == vm.identity.key:
                return vm
        return None


def move_note(deadline_wall_ms):
    upstreams = tuple(
        Upstream(
            name=f'runner-{version}',
            route='drafts',
            version=version,
            url='http://127.0.0.1:1',
            availability_zone='mill',
            slot_count=8,
        )
        for version in ('v1', 'v2')
    )
    return ReleaseNote(
        name='first',
        team='red',
        additions=ItemLists(
            budgets=(Budget(name='b1'),),
            routes=(
                Route(
                    name='drafts',
                    kind=RouteKind.COMPLETION,
                    version='v1',
                ),
            ),
            upstreams=upstreams,
            moves=(
                VersionMove(
                    name='to-v2',
                    route='drafts',
                    from_version='v1',
                    to_version='v2',
                    deadline_wall_ms=deadline_wall_ms,
                    watch_ms=20_000,
                ),
            ),
        ),
    )


async def run_script(actions):
    """Runs actions in a new world; returns the world and the last result."""
    world = MovesWorld()
    async with anyio.create_task_group() as tasks:
        world.tasks = tasks
        world.start(tasks)
        await world.begin()
        outcome = None
        for action in actions:
            outcome = await action(world)
        world.stop()
        tasks.cancel_scope.cancel()
    assert not world.violations, world.violations[:5]
    return world, outcome
