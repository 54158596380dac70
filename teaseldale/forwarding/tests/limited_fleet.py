"""VMs before runners that limit their requests, in virtual time."""

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
from teaseldale.platform.tests.wire_names import (
    NOT_RUN,
    limit_header,
    request_id_of,
)
from teaseldale.upstreams import FailureKind

_WORK_MS = 80
_SLOT_COUNT = 16
_DATAGRAM_MS = 3
_NOT_RUN_SHARE = 0.05  # of requests that a runner rejects


class LimitedRunner:
    """A runner that names its limit in each answer while it has one."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.entry = make_runner(number, slot_count=_SLOT_COUNT)
        self.limit_per_s = None
        self.named_ms = None
        self.is_silent = False
        self.told_ms = {}  # by VM: when it first got an answer with the limit

    async def run(self, message, vm_number):
        """Returns the answer of a request."""
        self.fleet.arrivals.append(
            Arrival(
                runner_id=self.entry.runner_id,
                request_id=request_id_of(message),
                body=message.body,
                at_ms=now_ms(),
                vm_number=vm_number,
            )
        )
        if self.is_silent:
            await anyio.sleep_forever()
        is_rejected = self.fleet.random.random() < _NOT_RUN_SHARE
        await anyio.sleep(0.001 if is_rejected else _WORK_MS / 1000)
        headers = (NOT_RUN,) if is_rejected else ()
        if self.limit_per_s is not None:
            headers = (*headers, limit_header(self.limit_per_s))
            self.told_ms.setdefault(vm_number, now_ms())
            self.named_ms = self.named_ms or now_ms()
        return ScriptedAnswer(
            status=503 if is_rejected else 200,
            parts=[b'the ', b'body'],
            headers=headers,
        )

    def restart(self):
        """Starts a new incarnation, which has no limit."""
        self.limit_per_s = None
        self.entry = attrs.evolve(
            self.entry,
            started_wall_ms=self.entry.started_wall_ms + 1,
        )
        for vm in self.fleet.vms:
            vm.parts.directory.apply_changes(
                {self.entry.runner_id: self.entry},
            )


class LimitedConnections:
    """Connections of one VM to the runners of a fleet."""

    def __init__(self, *, fleet, vm_number):
        self._fleet = fleet
        self._vm_number = vm_number

    def pool_for(self, runner):
        return LimitedPool(
            runner=self._fleet.runners[runner.runner_id],
            vm_number=self._vm_number,
        )

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class LimitedPool:
    """Connections of one VM to one runner."""

    def __init__(self, *, runner, vm_number):
        self._runner = runner
        self._vm_number = vm_number

    async def send(self, prepare, *, belongs, timeout_ms):
        message = prepare()
        await anyio.sleep(0.002)
        try:
            with anyio.fail_after(timeout_ms / 1000):
                return await self._runner.run(message, self._vm_number)
        except TimeoutError as timeout:
            raise failure(FailureKind.SILENT) from timeout


class LimitedFleet(ModelledFleet):
    """VMs before runners of which some limit their requests."""

    def __init__(self, *, vm_count, runner_count, kind):
        super().__init__(vm_count=vm_count, kind=kind)
        self.runners = {
            f'i-{number}': LimitedRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.limited_ms = None
        self.unlimited_ms = None
        self.loss_share = 0  # of the datagrams between VMs

    async def start_vm(self, number):
        """Starts one VM and connects it to the others by datagrams."""
        vm = await super().start_vm(number)
        await vm.parts.limits.start(self.tasks)
        vm.parts.limits.set_datagram_sender(self._send_datagram)
        return vm

    def _send_datagram(self, address, datagram):
        if self.random.random() >= self.loss_share:
            self.tasks.start_soon(self._deliver, address, datagram)

    async def _deliver(self, address, datagram):
        await anyio.sleep(_DATAGRAM_MS / 1000)
        for vm in self.vms:
            entry = self.members.entries().get(f'vm-{vm.number}')
            if entry is not None and entry.address == address:
                vm.parts.limits.handlers[datagram[:1]](datagram[1:])

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        return LimitedConnections(fleet=self, vm_number=vm_number)

    def limit(self, count, limit_per_s):
        """Makes some runners name a limit from now on."""
        self.limited_ms = now_ms()
        for runner in tuple(self.runners.values())[:count]:
            runner.limit_per_s = limit_per_s

    def lift(self):
        """Makes all runners name no limit any more."""
        self.unlimited_ms = now_ms()
        for runner in self.runners.values():
            runner.limit_per_s = None

    def remove_holders(self):
        """Removes the VMs that hold limits from the fleet."""
        holders = self.vms[0].parts.limits._holders
        names = {
            holders.holder_of(runner.entry.incarnation_name)
            for runner in self.runners.values()
            if runner.limit_per_s is not None
        }
        self.vms = [vm for vm in self.vms if f'vm-{vm.number}' not in names]
        self.members.remove(names)
