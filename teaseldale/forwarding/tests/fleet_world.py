"""Several VMs that share a store, in virtual time and without a network."""

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
from teaseldale.platform.tests.wire_names import unbilled_headers
from teaseldale.tables import InMemoryTable

CONTACT_MS = 3000  # from the end of a disruption until bounds hold again
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
    vm_number: int


class ModelledVm:
    """One VM of a fleet."""

    def __init__(self, *, number, fleet):
        self.number = number
        self.fleet = fleet
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
        caller.asked_ms = now_ms()
        await self.entry._respond(caller.exchange())
        fleet.callers.append(caller)
        return caller


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


def now_ms():
    """Returns the virtual time in milliseconds."""
    return round(anyio.current_time() * 1000)
