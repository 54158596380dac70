"""VMs before runners that leave, in virtual time and without a network."""

import anyio
import attrs

from teaseldale.forwarding.tests.entry_world import make_runner
from teaseldale.forwarding.tests.fleet_world import (
    Arrival,
    ModelledFleet,
    now_ms,
)
from teaseldale.forwarding.tests.scripted_runners import ScriptedAnswer
from teaseldale.platform.tests.wire_names import (
    LEAVING,
    NOT_RUN,
    request_id_of,
)
from teaseldale.routing import PlacementExchange

_WORK_MS = 80
_SLOT_COUNT = 16
_LINK_MS = 2
_DATAGRAM_MS = 3
_COALESCE_MS = 30


@attrs.frozen(kw_only=True)
class LeavingAnswer:
    """A kind of answer in which a leaving runner announces it."""

    status: int = 200
    is_rejection: bool = False
    breaks: bool = False
    # Whether the announcement comes with an answer to another request.
    is_crossed: bool = False


LEAVING_ANSWERS = {
    'complete answers': LeavingAnswer(),
    'rejections': LeavingAnswer(status=503, is_rejection=True),
    'server errors': LeavingAnswer(status=500),
    'answers that break off': LeavingAnswer(breaks=True),
    'answers to other requests': LeavingAnswer(is_crossed=True),
    'misdirected answers': LeavingAnswer(status=421, is_rejection=True),
}


class LeavingRunner:
    """A runner that announces in its answers that it leaves."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.entry = make_runner(number, slot_count=_SLOT_COUNT)
        self.leaving_answer = None  # the kind of its answers once it leaves
        self.announced_ms = {}  # by VM: when it first got the announcement

    async def run(self, message, vm_number, belongs):
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
        kind = self.leaving_answer
        if vm_number not in self.fleet.announced_to:
            kind = None
        await anyio.sleep(_WORK_MS / 1000)
        if kind is None:
            return ScriptedAnswer(status=200, parts=[b'the ', b'body'])
        self.announced_ms.setdefault(vm_number, now_ms())
        headers = (NOT_RUN,) if kind.is_rejection else ()
        if kind.is_crossed:
            belongs(200, (LEAVING, (b'x-request-id', b'another')))
        else:
            headers = (*headers, LEAVING)
        return ScriptedAnswer(
            status=kind.status,
            parts=[b'the ', b'body'],
            headers=headers,
            breaks=kind.breaks,
        )


class LeavingConnections:
    """Connections of one VM to the runners of a fleet."""

    def __init__(self, *, fleet, vm_number):
        self._fleet = fleet
        self._vm_number = vm_number

    def pool_for(self, runner):
        return LeavingPool(
            runner=self._fleet.runners[runner.runner_id],
            vm_number=self._vm_number,
        )

    async def probe(self, runner, timeout_ms):
        """Fails, as nothing may be sent to a runner that leaves."""
        raise AssertionError(runner)

    def close_expired(self):
        """Does nothing, as no connections are pooled."""


class LeavingPool:
    """Connections of one VM to one runner."""

    def __init__(self, *, runner, vm_number):
        self._runner = runner
        self._vm_number = vm_number

    async def send(self, prepare, *, belongs, timeout_ms):
        message = prepare()
        await anyio.sleep(_LINK_MS / 1000)
        return await self._runner.run(message, self._vm_number, belongs)


class LeavingFleet(ModelledFleet):
    """VMs before runners whose entries do not say that they leave."""

    def __init__(self, *, vm_count, runner_count, kind):
        super().__init__(vm_count=vm_count, kind=kind)
        self.exchanges = {}
        self.runners = {
            f'i-{number}': LeavingRunner(number=number, fleet=self)
            for number in range(runner_count)
        }

        self.loss_share = 0  # of the datagrams between VMs
        # VMs whose answers hold the announcement.
        self.announced_to = range(vm_count)

    async def start_vm(self, number):
        """Starts one VM, which exchanges notices with the others."""
        vm = await super().start_vm(number)
        exchange = PlacementExchange(
            vm_name=f'vm-{number}',
            choice=vm.parts.choice,
            leaving_runners=vm.parts.announcements,
            clock=vm.parts.clock,
        )
        self.exchanges[number] = exchange
        self.tasks.start_soon(self._broadcast, vm.parts.cells, exchange)
        return vm

    async def _broadcast(self, cells, exchange):
        while True:
            await exchange.wait_for_change()
            await anyio.sleep(_COALESCE_MS / 1000)
            exchange.remove_expired()
            # As in the product, placements go to the VMs of the cell.
            peers = {
                name: int(name.removeprefix('vm-')) for name in cells.peers
            }
            for datagram in exchange.next_datagrams(peers):
                await self._deliver(
                    [peers[name] for name in datagram.vm_names],
                    datagram.content,
                )

    async def _deliver(self, receivers, content):
        await anyio.sleep(_DATAGRAM_MS / 1000)
        for number in receivers:
            is_lost = self.random.random() < self.loss_share
            if number in self.exchanges and not is_lost:
                handlers = self.exchanges[number].handlers
                handlers[content[:1]](content[1:])

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        return LeavingConnections(fleet=self, vm_number=vm_number)

    def leave(self, count, kind):
        """Makes some runners announce that they leave from now on."""
        for runner in tuple(self.runners.values())[:count]:
            runner.leaving_answer = LEAVING_ANSWERS[kind]

    def write_entries_again(self):
        """Registers all runners again as if none of them left."""
        for vm in self.vms:
            vm.parts.directory.apply_changes(
                dict.fromkeys(self.runners),
            )
            vm.parts.directory.apply_changes(
                {name: runner.entry for name, runner in self.runners.items()},
            )
