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
from teaseldale.platform.tests.wire_names import NOT_RUN, request_id_of
from teaseldale.upstreams import FailureKind, ProbeOutcome

CRASHING_BODY = b'crashes its runner'
_WORK_MS = 80
_CRASH_AFTER_MS = 20  # from the start of a request until its runner crashes
_SLOT_COUNT = 64


@attrs.frozen(kw_only=True)
class CrashVisibility:
    """How a crash shows outside its runner."""

    unanswered_share: float = 0  # of probes, which are lost on the way
    # From a crash until a process listens again.
    down_ms: int = 3000
    # From then on until its entry is registered.
    register_ms: int = 0
    has_new_id: bool = False  # of the entry; the old one is removed later
    # Time after a crash until the entry of a runner with a new id is removed.
    removal_ms: int = 3600


@attrs.frozen(kw_only=True)
class Crash:
    """The end of a runner's incarnation."""

    runner_id: str
    at_ms: int
    is_caused: bool  # whether a request caused it


class CrashingRunner:
    """A runner that ends under one body and comes back later."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.entry = make_runner(number, slot_count=_SLOT_COUNT)
        self.is_up = True
        self.failing_share = 0  # of requests that get a 500 of the runner
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
        if self.fleet.happens(self.failing_share):
            return ScriptedAnswer(status=500, parts=[b'failed'])
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

    def reset(self):
        """Breaks all requests; the runner lives on."""
        self.fleet.reset_count += len(self._scopes)
        for scope in self._scopes:
            scope.cancel()

    def crash(self, *, is_caused=False):
        """Breaks all requests; the next incarnation starts later."""
        if not self.is_up:
            return
        self.is_up = False
        self.fleet.crashes.append(
            Crash(
                runner_id=self.entry.runner_id,
                at_ms=now_ms(),
                is_caused=is_caused,
            )
        )
        for scope in self._scopes:
            scope.cancel()
        self.fleet.tasks.start_soon(self._come_back)

    async def _come_back(self):
        visibility = self.fleet.visibility
        old = self.entry
        await anyio.sleep(visibility.down_ms / 1000)
        self.entry = attrs.evolve(
            old,
            runner_id=self.fleet.next_id(old, visibility),
            started_wall_ms=old.started_wall_ms + 1,
        )
        self.fleet.runners[self.entry.runner_id] = self
        self.is_up = True
        await anyio.sleep(visibility.register_ms / 1000)
        self._register({self.entry.runner_id: self.entry})
        if visibility.has_new_id:
            waited_ms = visibility.down_ms + visibility.register_ms
            left_ms = max(0, visibility.removal_ms - waited_ms)
            await anyio.sleep(left_ms / 1000)
            self._register({old.runner_id: None})

    def _register(self, changes):
        for vm in self.fleet.vms:
            vm.parts.directory.apply_changes(changes)


class CrashingConnections:
    """Connections of one VM to the runners of a fleet."""

    def __init__(self, *, fleet, vm_number):
        self._fleet = fleet
        self._vm_number = vm_number

    def pool_for(self, runner):
        return CrashingPool(
            fleet=self._fleet,
            expected=runner,
            vm_number=self._vm_number,
        )

    async def probe(self, runner, timeout_ms):
        """Returns what became of a new connection to the runner."""
        return await self.pool_for(runner).probe(timeout_ms)

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class CrashingPool:
    """Connections of one VM to one runner."""

    def __init__(self, *, fleet, expected, vm_number):
        self._fleet = fleet
        self._expected = expected
        self._runner = fleet.runners[expected.runner_id]
        self._vm_number = vm_number

    async def send(self, prepare, *, belongs, timeout_ms):
        message = prepare()
        await anyio.sleep(0.002)
        if not self._runner.is_up:
            raise failure(FailureKind.REFUSED)
        if self._runner.entry.runner_id != self._expected.runner_id:
            return ScriptedAnswer(status=421, parts=[], headers=(NOT_RUN,))
        return await self._runner.run(message, self._vm_number)

    async def probe(self, timeout_ms):
        """Returns what became of a new connection to the runner."""
        fleet = self._fleet
        if fleet.happens(fleet.visibility.unanswered_share):
            await anyio.sleep(timeout_ms / 1000)
            return ProbeOutcome.UNANSWERED
        await anyio.sleep(0.002)
        if self._runner.is_up:
            return ProbeOutcome.ACCEPTED
        return ProbeOutcome.REFUSED


class CrashingFleet(ModelledFleet):
    """VMs before runners that end under one body."""

    def __init__(self, *, vm_count, runner_count, kind, visibility=None):
        super().__init__(vm_count=vm_count, kind=kind)
        self.visibility = visibility or CrashVisibility()
        self.runners = {
            f'i-{number}': CrashingRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.crashes = []
        self.reset_count = 0  # requests whose connections were reset
        self._new_ids = 0

    def happens(self, share):
        """Returns whether something happens that does in a share of cases."""
        return bool(share) and self.random.random() < share

    def next_id(self, entry, visibility):
        """Returns the id under which a runner comes back."""
        if not visibility.has_new_id:
            return entry.runner_id
        self._new_ids += 1
        return f'i-new-{self._new_ids}'

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        return CrashingConnections(fleet=self, vm_number=vm_number)

    def crash_some(self, share):
        """Ends a share of the runners at the same moment."""
        for runner in self._sample(share):
            runner.crash()

    def reset_some(self, share):
        """Resets the connections of a share of the runners."""
        for runner in self._sample(share):
            runner.reset()

    def _sample(self, share):
        names = sorted(
            name
            for name, runner in self.runners.items()
            if runner.entry.runner_id == name
        )
        count = max(1, round(len(names) * share))
        return [self.runners[name] for name in self.random.sample(names, count)]
