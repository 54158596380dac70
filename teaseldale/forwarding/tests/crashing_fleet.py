"""VMs before runners that crash, in virtual time and without a network."""

import anyio
import attrs

from teaseldale.forwarding.tests.entry_world import make_runner
from teaseldale.forwarding.tests.fleet_world import (
    Arrival,
    ModelledFleet,
    now_ms,
)
from teaseldale.forwarding.tests.scripted_runners import (
    ScriptedAnswer,
    failure,
)
from teaseldale.platform.tests.wire_names import request_id_of
from teaseldale.upstreams import FailureKind

CRASHING_BODY = b'crashes its runner'
_DOWN_MS = 3000  # from a crash until the runner's next incarnation
_WORK_MS = 80
_CRASH_AFTER_MS = 20  # from the start of a request until its runner crashes
_SLOT_COUNT = 64


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

    async def run(self, message, vm_number):
        """Returns the answer of a request, unless the runner ends first."""
        self.fleet.arrivals.append(
            Arrival(
                runner_id=self.entry.runner_id,
                request_id=request_id_of(message),
                body=message.body,
                at_ms=now_ms(),
                vm_number=vm_number,
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
        self.fleet.crashes.append(Crash(at_ms=now_ms(), is_caused=is_caused))
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

    def __init__(self, *, fleet, vm_number):
        self._fleet = fleet
        self._vm_number = vm_number

    def pool_for(self, runner):
        return CrashingPool(
            runner=self._fleet.runners[runner.runner_id],
            vm_number=self._vm_number,
        )

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class CrashingPool:
    """Connections of one VM to one runner."""

    def __init__(self, *, runner, vm_number):
        self._runner = runner
        self._vm_number = vm_number

    async def send(self, message, *, belongs, timeout_ms):
        await anyio.sleep(0.002)
        if not self._runner.is_up:
            raise failure(FailureKind.REFUSED)
        return await self._runner.run(message, self._vm_number)

    async def is_refused(self, timeout_ms):
        """Returns whether a new connection to the runner is refused."""
        await anyio.sleep(0.002)
        return not self._runner.is_up


class CrashingFleet(ModelledFleet):
    """VMs before runners that end under one body."""

    def __init__(self, *, vm_count, runner_count, kind):
        super().__init__(vm_count=vm_count, kind=kind)
        self.runners = {
            f'i-{number}': CrashingRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.crashes = []

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        return CrashingConnections(fleet=self, vm_number=vm_number)

    def crash_some(self, share):
        """Ends a share of the runners at the same moment."""
        runners = sorted(self.runners)
        count = max(1, round(len(runners) * share))
        for name in self.random.sample(runners, count):
            self.runners[name].crash()
