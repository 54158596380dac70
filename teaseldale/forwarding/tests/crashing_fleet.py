"""VMs before runners that crash, in virtual time and without a network."""

import random

import anyio
import attrs

from teaseldale.fakes import FakeTableService, VirtualClock
from teaseldale.forwarding.tests.entry_world import (
    EntryOptions,
    fixed_members,
    make_configuration,
    make_entry,
    make_runner,
)
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import (
    ScriptedAnswer,
    failure,
)
from teaseldale.platform.tests.wire_names import (
    request_id_of,
    unbilled_headers,
)
from teaseldale.tables import InMemoryTable
from teaseldale.upstreams import FailureKind

CRASHING_BODY = b'crashes its runner'
CONTACT_MS = 3000  # from the end of a disruption until bounds hold again
_DOWN_MS = 3000  # from a crash until the runner's next incarnation
_WORK_MS = 80
_CRASH_AFTER_MS = 20  # from the start of a request until its runner crashes
_SLOT_COUNT = 64
_DEADLINE_MS = 1000
# Slow enough for the many followers of a large fleet.
_STORE_LATENCY_MS = 15


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that began to run at a runner."""

    runner_id: str
    request_id: bytes
    body: bytes
    at_ms: int


@attrs.frozen(kw_only=True)
class Crash:
    """The end of a runner's incarnation."""

    at_ms: int
    is_caused: bool  # whether a request caused it


class CrashingRunner:
    """A runner that ends under one body and comes back later."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.entry = make_runner(number, slot_count=_SLOT_COUNT)
        self.is_up = True
        self._scopes = set()

    async def run(self, message):
        """Returns the answer of a request, unless the runner ends first."""
        self.fleet.arrivals.append(
            Arrival(
                runner_id=self.entry.runner_id,
                request_id=request_id_of(message),
                body=message.body,
                at_ms=_now_ms(),
            )
        )
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            if message.body == CRASHING_BODY:
                await anyio.sleep(_CRASH_AFTER_MS / 1000)
                self.crash(is_caused=True)
            await anyio.sleep(_WORK_MS / 1000)
        self._scopes.discard(scope)
        if scope.cancel_called:
            raise failure(FailureKind.BROKEN)
        return ScriptedAnswer(status=200, parts=[b'the ', b'body'])

    def crash(self, *, is_caused=False):
        """Breaks all requests; the next incarnation starts later."""
        if not self.is_up:
            return
        self.is_up = False
        self.fleet.crashes.append(Crash(at_ms=_now_ms(), is_caused=is_caused))
        for scope in self._scopes:
            scope.cancel()
        self.fleet.tasks.start_soon(self._come_back)

    async def _come_back(self):
        await anyio.sleep(_DOWN_MS / 1000)
        self.entry = attrs.evolve(
            self.entry,
            started_wall_ms=self.entry.started_wall_ms + 1,
        )
        self.is_up = True
        for vm in self.fleet.vms:
            vm.parts.directory.apply_changes(
                {self.entry.runner_id: self.entry},
            )


class CrashingConnections:
    """Connections of one VM to the runners of a fleet."""

    def __init__(self, *, fleet):
        self.fleet = fleet

    def pool_for(self, runner):
        return CrashingPool(runner=self.fleet.runners[runner.runner_id])

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class CrashingPool:
    """Connections of one VM to one runner."""

    def __init__(self, *, runner):
        self._runner = runner

    async def send(self, message, *, belongs, timeout_ms):
        await anyio.sleep(0.002)
        if not self._runner.is_up:
            raise failure(FailureKind.REFUSED)
        return await self._runner.run(message)

    async def is_refused(self, timeout_ms):
        """Returns whether a new connection to the runner is refused."""
        await anyio.sleep(0.002)
        return not self._runner.is_up


class CrashingVm:
    """One VM of the fleet."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.table = FakeTableService(
            state=fleet.state,
            random_source=random.Random(number),
            latency_ms=_STORE_LATENCY_MS,
        )
        self.entry, self.parts = make_entry(
            EntryOptions(
                connections=CrashingConnections(fleet=fleet),
                clock=VirtualClock(),
                configuration=fleet.configuration,
                runners=tuple(
                    runner.entry for runner in fleet.runners.values()
                ),
                members=fleet.members,
                vm_name=f'vm-{number}',
                table=self.table,
                seed=number,
            ),
        )

    async def ask(self, body, path='/a/b'):
        """Sends one request and returns its caller."""
        fleet = self.fleet
        fleet.asked_count += 1
        request_id = b'r-%d' % fleet.asked_count
        caller = ScriptedCaller(
            headers=unbilled_headers(request_id, _DEADLINE_MS),
            body=body,
            path=path,
        )
        caller.request_id = request_id
        await self.entry._respond(caller.exchange())
        fleet.callers.append(caller)
        return caller


class CrashingFleet:
    """VMs that share a store, and their runners."""

    def __init__(self, *, vm_count, runner_count, kind):
        self.random = random.Random(3)
        self.vm_count = vm_count
        self.state = InMemoryTable()
        self.members = fixed_members(vm_count)
        self.configuration = make_configuration(kind, 2)
        self.runners = {
            f'i-{number}': CrashingRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.vms = []
        self.sends_others = True
        self.tasks = None
        self.asked_count = 0
        self.arrivals = []
        self.crashes = []
        self.callers = []

    async def start(self, tasks):
        """Starts all VMs."""
        self.tasks = tasks
        for number in range(self.vm_count):
            await self.start_vm(number)
        await anyio.sleep(1)

    async def start_vm(self, number):
        """Starts one VM."""
        vm = CrashingVm(number=number, fleet=self)
        await vm.parts.crashes.start(self.tasks)
        self.vms.append(vm)

    async def send_other_requests(self, per_s):
        """Sends requests whose bodies differ, and one that is repeated."""
        while True:
            await anyio.sleep(1 / per_s)
            vm = self.random.choice(self.vms)
            self.tasks.start_soon(
                vm.ask,
                self.random.choice((b'', b'%d' % self.asked_count)),
                '/a/other',
            )

    def crash_some(self, share):
        """Ends a share of the runners at the same moment."""
        runners = sorted(self.runners)
        count = max(1, round(len(runners) * share))
        for name in self.random.sample(runners, count):
            self.runners[name].crash()


def _now_ms():
    return round(anyio.current_time() * 1000)
