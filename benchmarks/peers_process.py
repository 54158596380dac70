"""Process that runs several VMs' links and prints what they cost, as JSON.

All VMs run in one process and one thread, so the figures for one VM are the
process's divided by their number.
"""

import os
import subprocess
import sys
import time

import anyio
import attrs
import msgspec
import psutil
import pynng

from benchmarks.fleet import free_port
from teaseldale.clock import SystemClock
from teaseldale.metrics import Metrics
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.platform import BaseMembershipList, VmMember

_SEQUENTIAL_CALLS = 1000
_CONCURRENT_TASKS = 50
_CALLS_PER_TASK = 40
_TEXT = 'x' * 200
_BYTES_PER_MB = 1_048_576


class LinkMeasures(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one VM; CPU includes the library's own threads."""

    idle_bytes_per_second: float  # payload sent, without TCP headers
    idle_cpu_percent: float
    memory_mb: float  # growth of the process by each VM
    thread_count: int
    naive_thread_count: int
    sequential_per_second: float
    batched_cpu_us: float  # both ends
    frames_per_thousand: float
    naive_per_second: float
    naive_cpu_us: float  # both ends


@attrs.frozen(kw_only=True)
class Ask:
    """Message of the measurement."""

    text: str


@attrs.frozen(kw_only=True)
class Answer:
    """Its reply."""

    text: str


@attrs.frozen(kw_only=True)
class _Envelope:
    kind: str
    version: int
    sender: bytes
    body: bytes


class _MemberList(BaseMembershipList):
    def __init__(self) -> None:
        self._listed: dict[str, VmMember] = {}

    async def announce(self, member: VmMember) -> None:
        self._listed[member.name] = member

    async def members(self) -> tuple[VmMember, ...]:
        return tuple(self._listed.values())


async def _echo(_sender: VmIdentity, message: Ask) -> Answer:
    return Answer(text=message.text)


class _Run:
    def __init__(self, vm_count: int) -> None:
        members = _MemberList()
        self.metrics = [Metrics() for _ in range(vm_count)]
        self.networks = [
            PynngPeerNetwork(
                identity=VmIdentity(
                    name=f'vm-{index}',
                    incarnation=f'{index:032x}',
                    availability_zone='mill',
                    address=f'127.0.0.1:{free_port()}',
                ),
                membership=members,
                clock=SystemClock(),
                metrics=metrics,
            )
            for index, metrics in enumerate(self.metrics)
        ]
        for network in self.networks:
            network.handle(Ask, kind='ask', reply_type=Answer, handler=_echo)

    async def wait_for_all(self) -> None:
        wanted = len(self.networks) - 1
        while any(
            len(network.reachable_peers()) < wanted for network in self.networks
        ):
            await anyio.sleep(0.05)

    async def ask(self) -> None:
        await self.networks[0].request(
            self.networks[1].identity,
            Ask(text=_TEXT),
            timeout_ms=30_000,
        )

    def sent(self, counter: str) -> int:
        return sum(metrics.count_of(counter) for metrics in self.metrics)


async def _measure(vm_count: int, idle_seconds: float) -> LinkMeasures:
    memory_before = psutil.Process().memory_info().rss
    run = _Run(vm_count)
    async with anyio.create_task_group() as tasks:
        for network in run.networks:
            await network.start(tasks)
        await run.wait_for_all()
        memory = psutil.Process().memory_info().rss - memory_before
        idle_bytes, idle_cpu = await _idle(run, idle_seconds)
        sequential = await _sequential(run.ask)
        batched_cpu, frames = await _concurrent(run)
        threads = len(os.listdir('/proc/self/task'))
        for network in run.networks:
            await network.stop()
        tasks.cancel_scope.cancel()
    naive_rate, naive_cpu = await _naive()
    return LinkMeasures(
        idle_bytes_per_second=idle_bytes / vm_count,
        idle_cpu_percent=idle_cpu * 100 / vm_count,
        memory_mb=memory / vm_count / _BYTES_PER_MB,
        thread_count=threads,
        naive_thread_count=_naive_thread_count(),
        sequential_per_second=sequential,
        batched_cpu_us=batched_cpu,
        frames_per_thousand=frames,
        naive_per_second=naive_rate,
        naive_cpu_us=naive_cpu,
    )


async def _idle(run: _Run, idle_seconds: float) -> tuple[float, float]:
    bytes_before = run.sent('peer_bytes_sent')
    cpu_before = time.process_time()
    await anyio.sleep(idle_seconds)
    return (
        (run.sent('peer_bytes_sent') - bytes_before) / idle_seconds,
        (time.process_time() - cpu_before) / idle_seconds,
    )


async def _sequential(ask) -> float:
    started = time.perf_counter()
    for _ in range(_SEQUENTIAL_CALLS):
        await ask()
    return _SEQUENTIAL_CALLS / (time.perf_counter() - started)


async def _concurrent(run: _Run) -> tuple[float, float]:
    async def ask_many() -> None:
        for _ in range(_CALLS_PER_TASK):
            await run.ask()

    cpu_before = time.process_time()
    frames_before = run.metrics[0].count_of('peer_frames_sent')
    async with anyio.create_task_group() as tasks:
        for _ in range(_CONCURRENT_TASKS):
            tasks.start_soon(ask_many)
    call_count = _CONCURRENT_TASKS * _CALLS_PER_TASK
    frames = run.metrics[0].count_of('peer_frames_sent') - frames_before
    return (
        (time.process_time() - cpu_before) / call_count * 1_000_000,
        frames / call_count * 1000,
    )


async def _naive() -> tuple[float, float]:
    """Request and reply sockets, a native context for each call.

    Each message carries its kind, its version and its sender, and each call
    has a time limit, as the calls that it is compared with.
    """
    url = f'tcp://127.0.0.1:{free_port()}'
    sender = VmIdentity(
        name='vm-0',
        incarnation='0' * 32,
        availability_zone='mill',
        address='127.0.0.1:7201',
    )

    async def serve(listener: pynng.Rep0) -> None:
        context = listener.new_context()
        while True:
            asked = _decode_naive(await context.arecv())
            await context.asend(_encode_naive(asked, sender))

    async def ask() -> None:
        with anyio.fail_after(30), dialer.new_context() as context:
            await context.asend(_encode_naive(Ask(text=_TEXT), sender))
            _decode_naive(await context.arecv())

    listener = pynng.Rep0(listen=url)
    dialer = pynng.Req0(dial=url)
    async with anyio.create_task_group() as tasks:
        for _ in range(8):
            tasks.start_soon(serve, listener)
        rate = await _sequential(ask)
        cpu_before = time.process_time()
        async with anyio.create_task_group() as calls:
            for _ in range(_CONCURRENT_TASKS):
                calls.start_soon(_repeat, ask)
        cpu = time.process_time() - cpu_before
        tasks.cancel_scope.cancel()
    return rate, cpu / (_CONCURRENT_TASKS * _CALLS_PER_TASK) * 1_000_000


def _encode_naive(message: Ask, sender: VmIdentity) -> bytes:
    envelope = _Envelope(
        kind='ask',
        version=1,
        sender=msgspec.msgpack.encode(sender),
        body=msgspec.msgpack.encode(message),
    )
    return msgspec.msgpack.encode(envelope)


def _decode_naive(encoded: bytes) -> Ask:
    envelope = msgspec.msgpack.decode(encoded, type=_Envelope)
    msgspec.msgpack.decode(envelope.sender, type=VmIdentity)
    return msgspec.msgpack.decode(envelope.body, type=Ask)


async def _repeat(ask) -> None:
    for _ in range(_CALLS_PER_TASK):
        await ask()


def _naive_thread_count() -> int:
    program = (
        'import os, pynng\n'
        f"pynng.Pull0(listen='tcp://127.0.0.1:{free_port()}')\n"
        "print(len(os.listdir('/proc/self/task')))"
    )
    outcome = subprocess.run(
        (sys.executable, '-c', program),
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    return int(outcome.stdout)


def main() -> None:
    """Prints the measures for the number of VMs given."""
    vm_count, idle_seconds = int(sys.argv[1]), float(sys.argv[2])
    measured = anyio.run(
        _measure,
        vm_count,
        idle_seconds,
        backend_options={'use_uvloop': True},
    )
    sys.stdout.buffer.write(msgspec.json.encode(measured))
    sys.stdout.flush()
    os._exit(0)  # sockets of the naive run need no orderly end


if __name__ == '__main__':
    main()
