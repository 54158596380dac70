"""Several VMs that share a store, in virtual time and without a network."""

import functools
import random

import anyio
import attrs

from teaseldale.fakes import FakeTableService, VirtualClock
from teaseldale.forwarding.tests.entry_world import (
    EntryOptions,
    fixed_members,
    make_configuration,
    make_entry,
)
from teaseldale.forwarding.tests.scripted_caller import ScriptedCaller
from teaseldale.forwarding.tests.scripted_runners import failure
from teaseldale.platform.tests.wire_names import unbilled_headers
from teaseldale.routing import PlacementExchange
from teaseldale.tables import InMemoryTable
from teaseldale.upstreams import FailureKind, ProbeOutcome

CONTACT_MS = 3000  # from the end of a disruption until bounds hold again
_DEADLINE_MS = 1000
_LINK_MS = 2
_DATAGRAM_MS = 3
_COALESCE_MS = 15
# Slow enough for the many followers of a large fleet.
_STORE_LATENCY_MS = 15


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that began to run at a runner."""

    runner_id: str
    request_id: bytes
    body: bytes
    at_ms: int
    vm_number: int


class ModelledVm:
    """One VM of a fleet."""

    def __init__(self, *, number, fleet):
        self.number = number
        self.fleet = fleet
        self.has_ended = False
        self._scopes = set()  # of its requests
        self.table = FakeTableService(
            state=fleet.state,
            random_source=random.Random(number),
            latency_ms=_STORE_LATENCY_MS,
        )
        self.entry, self.parts = make_entry(
            EntryOptions(
                connections=fleet.connections_of(number),
                clock=VirtualClock(),
                configuration=fleet.configuration,
                runners=tuple(
                    runner.entry for runner in fleet.runners.values()
                ),
                members=fleet.members_of(number),
                vm_name=f'vm-{number}',
                table=self.table,
                seed=number,
            ),
        )

    async def ask(self, body, path='/a/b', request_id=None):
        """Sends one request and returns its caller."""
        fleet = self.fleet
        fleet.asked_count += 1
        request_id = request_id or b'r-%d' % fleet.asked_count
        caller = ScriptedCaller(
            headers=(
                *unbilled_headers(request_id, _DEADLINE_MS),
                *fleet.headers_of(request_id),
            ),
            body=body,
            path=path,
        )
        caller.request_id = request_id
        caller.vm = self
        caller.asked_ms = now_ms()
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            await self.entry._respond(caller.exchange())
        self._scopes.discard(scope)
        fleet.callers.append(caller)
        return caller

    def end(self):
        """Ends the VM's process, which closes its connections."""
        self.has_ended = True
        for scope in self._scopes:
            scope.cancel()


class ModelledFleet:
    """VMs and their runners; subclasses model the runners."""

    def __init__(self, *, vm_count, kind):
        self.random = random.Random(3)
        self.vm_count = vm_count
        self.state = InMemoryTable()
        self.members = fixed_members(vm_count)
        self.configuration = make_configuration(kind, 2)
        self.runners = {}
        self.vms = []
        self.sends_others = True
        self.tasks = None
        self.asked_count = 0
        self.arrivals = []
        self.callers = []

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        raise AssertionError(vm_number)

    def members_of(self, vm_number):
        """Returns the member list that a VM reads."""
        return self.members

    def headers_of(self, request_id):
        """Returns the headers of a request beside those of each."""
        return ()

    async def start(self, tasks):
        """Starts all VMs."""
        self.tasks = tasks
        for number in range(self.vm_count):
            await self.start_vm(number)
        await anyio.sleep(1)

    async def start_vm(self, number):
        """Starts one VM."""
        vm = ModelledVm(number=number, fleet=self)
        await vm.parts.crashes.start(self.tasks)
        self.vms.append(vm)
        return vm

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


class RunnerLinks:
    """Connections of one VM to the runners of a fleet."""

    def __init__(self, *, fleet, vm_number):
        self._fleet = fleet
        self._vm_number = vm_number

    def pool_for(self, runner):
        return RunnerLink(
            runner=self._fleet.runners[runner.runner_id],
            vm_number=self._vm_number,
        )

    async def probe(self, runner, timeout_ms):
        """Returns what became of a new connection to a runner."""
        return ProbeOutcome.ACCEPTED

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class RunnerLink:
    """Connections of one VM to one runner."""

    def __init__(self, *, runner, vm_number):
        self._runner = runner
        self._vm_number = vm_number

    async def send(self, prepare, *, belongs, timeout_ms):
        message = prepare()
        await anyio.sleep(_LINK_MS / 1000)
        try:
            with anyio.fail_after(timeout_ms / 1000):
                return await self._runner.run(message, self._vm_number)
        except TimeoutError as timeout:
            raise failure(FailureKind.SILENT) from timeout


class LinkedFleet(ModelledFleet):
    """VMs that send each other datagrams about their runners."""

    def __init__(self, *, vm_count, kind):
        super().__init__(vm_count=vm_count, kind=kind)
        self.loss_share = 0  # of the datagrams between VMs
        self.cut_numbers = frozenset()  # VMs that other VMs do not reach

    async def start_vm(self, number):
        """Starts one VM and connects it to the others by datagrams."""
        vm = await super().start_vm(number)
        for service in (vm.parts.limits, vm.parts.rooms):
            await service.start(self.tasks)
            service.set_datagram_sender(
                functools.partial(self._send_datagram, vm),
            )
        vm.handlers = {
            **vm.parts.limits.handlers,
            **vm.parts.rooms.handlers,
            **vm.parts.part_directory.handlers,
        }
        vm.parts.part_directory.set_datagram_sender(
            functools.partial(self._send_datagram, vm),
        )
        vm.exchange = PlacementExchange(
            vm_name=f'vm-{number}',
            choice=vm.parts.choice,
            leaving_runners=vm.parts.announcements,
            clock=vm.parts.clock,
        )
        self.tasks.start_soon(self._broadcast, vm)
        return vm

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        return RunnerLinks(fleet=self, vm_number=vm_number)

    def restart(self, runner):
        """Registers a new incarnation of a runner."""
        runner.entry = attrs.evolve(
            runner.entry,
            started_wall_ms=runner.entry.started_wall_ms + 1,
        )
        for vm in self.vms:
            vm.parts.directory.apply_changes(
                {runner.entry.runner_id: runner.entry},
            )

    async def _broadcast(self, vm):
        while not vm.has_ended:
            await vm.exchange.wait_for_change()
            await anyio.sleep(_COALESCE_MS / 1000)
            vm.exchange.remove_expired()
            peers = vm.parts.cells.peers
            for datagram in vm.exchange.next_datagrams(tuple(peers)):
                for name in datagram.vm_names:
                    self._send_datagram(
                        vm, peers[name].address, datagram.content
                    )

    def _send_datagram(self, sender, address, datagram):
        if sender.has_ended:
            return
        is_cut = self.cut_numbers and (
            sender.number in self.cut_numbers
            or self._number_at(address) in self.cut_numbers
        )
        if not is_cut and self.random.random() >= self.loss_share:
            self.tasks.start_soon(self._deliver, address, datagram)

    def _number_at(self, address):
        return int(address.rpartition(':')[2]) - 1

    async def _deliver(self, address, datagram):
        await anyio.sleep(_DATAGRAM_MS / 1000)
        for vm in self.vms:
            entry = self.members.entries().get(f'vm-{vm.number}')
            if entry is not None and entry.address == address:
                handlers = {**vm.exchange.handlers, **vm.handlers}
                handlers[datagram[:1]](datagram[1:])


def now_ms():
    """Returns the virtual time in milliseconds."""
    return round(anyio.current_time() * 1000)
