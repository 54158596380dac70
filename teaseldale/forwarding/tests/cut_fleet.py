"""VMs whose paths to runners are cut, in virtual time on TCP in memory."""

import asyncio
import functools

import anyio
import httptools

from teaseldale.fakes import FakeTcpFabric, FakeTcpNetwork, VirtualClock
from teaseldale.forwarding import (
    ConfigurationHolder,
    RelayedRunners,
    RunnerConnectionPools,
)
from teaseldale.forwarding.tests.entry_world import make_runner
from teaseldale.forwarding.tests.fleet_world import (
    Arrival,
    ModelledFleet,
    now_ms,
)
from teaseldale.forwarding.tests.pausing_fleet import Pause
from teaseldale.memory import ByteBudget
from teaseldale.metrics import Metrics
from teaseldale.platform import PlatformWireFormat
from teaseldale.platform.tests.wire_names import NOT_RUN, STAMP, pause_header
from teaseldale.tunnels import (
    BaseRelayPolicy,
    PathWatch,
    RelayChoice,
    RelayingConnector,
    RunnerPaths,
    TunnelClient,
    TunnelServer,
)
from teaseldale.upstreams import DirectConnector

_WORK_MS = 80
_BUDGET_BYTES = 160_000_000
_SLOT_COUNT = 64
_PAUSED_SHARE = 0.2  # of the requests to a runner that asks for pauses
_REJECTION = (
    b'HTTP/1.1 503 Later\r\n'
    b'x-request-id: %b\r\n'
    b'%b: %b\r\n'
    b'%b: %b\r\n'
    b'keep-alive: timeout=5\r\n'
    b'content-length: 0\r\n\r\n'
)
_REJECTION_WITHOUT_ID = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'%b: %b\r\n'
    b'keep-alive: timeout=5\r\n'
    b'content-length: 0\r\n\r\n'
)
_ANSWER = (
    b'HTTP/1.1 200 OK\r\n'
    b'x-request-id: %b\r\n'
    b'%b: %b\r\n'
    b'keep-alive: timeout=5\r\n'
    b'content-length: 8\r\n\r\n'
    b'the body'
)


class ServedConnection(asyncio.Protocol):
    """A connection at a runner, which answers each request."""

    def __init__(self, runner):
        self._runner = runner
        self._parser = httptools.HttpRequestParser(self)
        self._request_id = b''
        self._body = b''
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        self._runner.connections.add(transport)

    def connection_lost(self, error):
        self._runner.connections.discard(self._transport)

    def data_received(self, received):
        self._parser.feed_data(received)

    def eof_received(self):
        return False

    def on_header(self, name, content):
        if name.lower() == b'x-request-id':
            self._request_id = content

    def on_body(self, part):
        self._body += part

    def on_message_complete(self):
        if self._request_id:
            self._run()
        else:
            self._send(_REJECTION_WITHOUT_ID % NOT_RUN)
        self._parser = httptools.HttpRequestParser(self)
        self._request_id = b''
        self._body = b''

    def _run(self):
        self._runner.note_arrival(
            self._request_id,
            self._body,
            self._transport.hosts[1],
        )
        loop = asyncio.get_running_loop()
        answer = self._runner.next_answer(
            self._request_id,
            self._transport.hosts[1],
        )
        loop.call_later(_WORK_MS / 1000, self._send, answer)

    def _send(self, answer):
        if not self._transport.is_closing():
            self._transport.write(answer)


class ListeningRunner:
    """A runner that accepts connections while it is up."""

    connection_class = ServedConnection

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.entry = make_runner(number, slot_count=_SLOT_COUNT)
        self.host = self.entry.runner_id
        self.connections = set()
        self.pause_s = None
        self.pauses = []
        self._network = FakeTcpNetwork(fabric=fleet.fabric, host=self.host)
        self._listener = None

    async def start(self):
        address = self.entry.address
        self._listener = await self._network.listen(
            lambda: self.connection_class(self),
            (address.ip, address.port),
        )

    def next_answer(self, request_id, host):
        """Returns the answer of a request that came from a host."""
        asks_pause = self.fleet.random.random() < _PAUSED_SHARE
        if self.pause_s is None or not asks_pause:
            return _ANSWER % (request_id, *STAMP)
        begin_ms = now_ms() + _WORK_MS
        self.pauses.append(
            Pause(
                vm_number=int(host.removeprefix('vm-')),
                begin_ms=begin_ms,
                end_ms=begin_ms + self.pause_s * 1000,
            )
        )
        headers = (NOT_RUN, pause_header(self.pause_s))
        return _REJECTION % (request_id, *headers[0], *headers[1])

    def note_arrival(self, request_id, body, host):
        self.fleet.arrivals.append(
            Arrival(
                runner_id=self.host,
                request_id=request_id,
                body=body,
                at_ms=now_ms(),
                vm_number=int(host.removeprefix('vm-')),
            )
        )

    def crash(self):
        """Ends the process; its entry stays."""
        self._listener.close()
        for transport in tuple(self.connections):
            transport.abort()


class DeferredPolicy(BaseRelayPolicy):
    """Relays as the VM of this number does, which is made later."""

    def __init__(self, *, fleet, number):
        self._fleet = fleet
        self._number = number

    def is_registered(self, address):
        return self._policy.is_registered(address)

    def is_paused(self, address):
        return self._policy.is_paused(address)

    def witness_of(self, address):
        return self._policy.witness_of(address)

    def note_answer(self, address, status, headers):
        self._policy.note_answer(address, status, headers)

    @functools.cached_property
    def _policy(self):
        parts = self._fleet.vms[self._number].parts
        return RelayedRunners(
            directory=parts.directory,
            announcements=parts.announcements,
            connections=self._fleet.links[self._number].pools,
            wire=parts.wire,
        )


class CutVm:
    """The connections of one VM, direct ones and tunnels."""

    def __init__(self, *, fleet, number):
        self.host = f'vm-{number}'
        self.metrics = Metrics()
        clock = VirtualClock()
        network = FakeTcpNetwork(fabric=fleet.fabric, host=self.host)
        direct = DirectConnector(network=network)
        self.paths = RunnerPaths(clock=clock, metrics=self.metrics)
        relaying = RelayingConnector(
            direct=direct,
            tunnels=TunnelClient(
                network=network,
                choice=RelayChoice(
                    members=fleet.members,
                    vm_name=self.host,
                    clock=clock,
                    random_source=fleet.random,
                ),
                metrics=self.metrics,
            ),
            paths=self.paths,
            clock=clock,
        )
        self.pools = RunnerConnectionPools(
            connector=relaying,
            wire=PlatformWireFormat(),
            configuration=ConfigurationHolder(),
            clock=clock,
            metrics=self.metrics,
        )
        self.paths.add_change_listener(self.pools.apply_path_change)
        self.server = TunnelServer(
            address=('127.0.0.1', number + 1),
            network=network,
            policy=DeferredPolicy(fleet=fleet, number=number),
            paths=self.paths,
            held_bytes=ByteBudget(
                limit_bytes=_BUDGET_BYTES,
                metrics=self.metrics,
            ),
            metrics=self.metrics,
        )
        self.watch = PathWatch(
            paths=self.paths,
            direct=direct,
            relaying=relaying,
            addresses=self.pools.addresses,
            clock=clock,
        )

    def search_count(self, outcome):
        """Returns the number of searches for a tunnel that ended so."""
        return self.metrics.counter_value('tunnel_searches', outcome)

    async def start(self, tasks, *, relays):
        if relays:
            await self.server.start(tasks)
        await self.watch.start(tasks)


class CutFleet(ModelledFleet):
    """VMs of which some lose their paths to runners."""

    runner_class = ListeningRunner

    def __init__(self, *, vm_count, runner_count, kind):
        super().__init__(vm_count=vm_count, kind=kind)
        self.fabric = FakeTcpFabric()
        self.links = []
        self.older_numbers = frozenset()  # VMs that open no tunnels
        self.cut_ms = None
        self.healed_ms = None
        self.cut_numbers = frozenset()
        self.runners = {
            f'i-{number}': self.runner_class(number=number, fleet=self)
            for number in range(runner_count)
        }

    async def start(self, tasks):
        """Starts the runners, then the VMs."""
        for runner in self.runners.values():
            await runner.start()
        await super().start(tasks)

    async def start_vm(self, number):
        """Starts one VM and its connections."""
        vm = await super().start_vm(number)
        await self.links[number].start(
            self.tasks,
            relays=number not in self.older_numbers,
        )
        return vm

    def connections_of(self, vm_number):
        """Returns the runner connections of a VM."""
        link = CutVm(fleet=self, number=vm_number)
        self.links.append(link)
        return link.pools

    def cut(self, count, mode, runner_count=None):
        """Cuts the last VMs off from some runners, or from all of them."""
        self.cut_ms = now_ms()
        self.cut_numbers = frozenset(
            range(self.vm_count - count, self.vm_count),
        )
        hosts = tuple(self.runners)[:runner_count]
        for number in self.cut_numbers:
            self.fabric.cut(f'vm-{number}', hosts, mode)

    def heal(self):
        """Ends all cuts."""
        self.healed_ms = now_ms()
        self.fabric.heal()

    async def ask_always(self, per_s):
        """Sends requests to VMs at random, each with a body of its own."""
        while True:
            await anyio.sleep(1 / per_s)
            vm = self.random.choice(self.vms)
            self.tasks.start_soon(self._ask, vm)

    async def _ask(self, vm):
        caller = await vm.ask(b'%d' % self.asked_count)
        caller.vm_number = vm.number

    def served_share(self, *, is_cut, from_ms, until_ms=float('inf')):
        """Returns the share of the requests that cut, or other, VMs served."""
        asked = [
            caller
            for caller in self.callers
            if (caller.vm_number in self.cut_numbers) == is_cut
            and from_ms <= caller.asked_ms < until_ms
        ]
        assert asked
        return sum(caller.status == 200 for caller in asked) / len(asked)

    def tunnel_count(self):
        """Returns the number of tunnels opened so far."""
        return sum(link.search_count('opened') for link in self.links)
