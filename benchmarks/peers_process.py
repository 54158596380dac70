"""Runs the peer links of several VMs and prints their costs as JSON.

All VMs share one process and one thread, so the figures per VM are those of
the process divided by the number of VMs.
"""

import contextlib
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator

import anyio
import attrs
import msgspec
import psutil
import pynng

from benchmarks.fleet import free_port
from teaseldale.clock import SystemClock
from teaseldale.metrics import Metrics
from teaseldale.peers import PynngPeerNetwork, VmIdentity
from teaseldale.tables import BaseMembershipList, VmMember

_SEQUENTIAL_CALLS = 1000
_CONCURRENT_TASKS = 50
_CALLS_PER_TASK = 40
_PACED_RATES = (25, 50, 100)
_PACED_SECONDS = 2
_TEXT = 'x' * 200
_RECORD = 'x' * 60  # as long as a key, a budget's name and an amount
_BYTES_PER_MB = 1_048_576


class PacedMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one VM that makes and answers calls at a steady rate."""

    calls_per_second: int
    cpu_percent: float
    bytes_per_second: float  # payload sent, without TCP headers


class IdleMeasures(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of one VM without calls; CPU time includes native threads."""

    bytes_per_second: float  # payload sent, without TCP headers
    cpu_percent: float
    memory_mb: float  # growth of the process per VM
    thread_count: int


class CallMeasures(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of calls between two VMs."""

    naive_thread_count: int
    sequential_per_second: float
    batched_cpu_us: float  # caller and responder
    paced: tuple['PacedMeasure', ...]
    frames_per_thousand: float
    naive_per_second: float
    naive_cpu_us: float  # caller and responder


@attrs.frozen(kw_only=True)
class Ask:
    """Request message of the measurement."""

    text: str


@attrs.frozen(kw_only=True)
class Answer:
    """Reply to ``Ask``, with the same text."""

    text: str


@attrs.frozen(kw_only=True)
class _Envelope:
    kind: str
    version: int
    sender: bytes
    body: bytes


class _MemberList(BaseMembershipList):
    def __init__(self) -> None:
        self._members: dict[str, VmMember] = {}

    async def announce(self, member: VmMember) -> None:
        self._members[member.name] = member

    async def members(self) -> tuple[VmMember, ...]:
        return tuple(self._members.values())


async def _echo(_sender: VmIdentity, message: Ask) -> Answer:
    return Answer(text=message.text)


class _LinkRun:
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

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            for network in self.networks:
                await network.start(tasks)
            await self._wait_for_all()
            yield
            for network in self.networks:
                await network.stop()
            tasks.cancel_scope.cancel()

    async def _wait_for_all(self) -> None:
        expected_peers = len(self.networks) - 1
        while any(
            len(network.reachable_peers()) < expected_peers
            for network in self.networks
        ):
            await anyio.sleep(0.05)

    async def call_with_record(self) -> None:
        await self.networks[0].request(
            self.networks[1].identity,
            Ask(text=_RECORD),
            timeout_ms=30_000,
        )

    async def ask(self) -> None:
        await self.networks[0].request(
            self.networks[1].identity,
            Ask(text=_TEXT),
            timeout_ms=30_000,
        )

    def sent(self, counter: str) -> int:
        return sum(metrics.counter_value(counter) for metrics in self.metrics)


async def _measure_idle(vm_count: int, idle_seconds: float) -> IdleMeasures:
    memory_before = psutil.Process().memory_info().rss
    run = _LinkRun(vm_count)
    async with run.running():
        memory = psutil.Process().memory_info().rss - memory_before
        idle_bytes, idle_cpu = await _sample_idle(run, idle_seconds)
        return IdleMeasures(
            bytes_per_second=idle_bytes / vm_count,
            cpu_percent=idle_cpu * 100 / vm_count,
            memory_mb=memory / vm_count / _BYTES_PER_MB,
            thread_count=len(os.listdir('/proc/self/task')),
        )


async def _measure_calls() -> CallMeasures:
    run = _LinkRun(2)
    async with run.running():
        paced = [await _measure_paced(run, rate) for rate in _PACED_RATES]
        sequential = await _measure_sequential(run.ask)
        batched_cpu, frames = await _measure_concurrent(run)
    naive_rate, naive_cpu = await _measure_naive()
    return CallMeasures(
        paced=tuple(paced),
        naive_thread_count=_naive_thread_count(),
        sequential_per_second=sequential,
        batched_cpu_us=batched_cpu,
        frames_per_thousand=frames,
        naive_per_second=naive_rate,
        naive_cpu_us=naive_cpu,
    )


async def _sample_idle(
    run: _LinkRun, idle_seconds: float
) -> tuple[float, float]:
    bytes_before = run.sent('peer_bytes_sent')
    cpu_before = time.process_time()
    await anyio.sleep(idle_seconds)
    return (
        (run.sent('peer_bytes_sent') - bytes_before) / idle_seconds,
        (time.process_time() - cpu_before) / idle_seconds,
    )


async def _measure_paced(run: _LinkRun, calls_per_second: int) -> PacedMeasure:
    """Calls VM 1 from VM 0 at a steady rate.

    Caller and responder together cost as much as one VM that does both.
    """
    bytes_before = run.sent('peer_bytes_sent')
    cpu_before = time.process_time()
    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for number in range(calls_per_second * _PACED_SECONDS):
            due = started + number / calls_per_second
            await anyio.sleep(max(0, due - time.perf_counter()))
            tasks.start_soon(run.call_with_record)
    elapsed_seconds = time.perf_counter() - started
    cpu_seconds = time.process_time() - cpu_before
    return PacedMeasure(
        calls_per_second=calls_per_second,
        cpu_percent=100 * cpu_seconds / elapsed_seconds,
        bytes_per_second=(run.sent('peer_bytes_sent') - bytes_before)
        / elapsed_seconds,
    )


async def _measure_sequential(ask) -> float:
    started = time.perf_counter()
    for _ in range(_SEQUENTIAL_CALLS):
        await ask()
    return _SEQUENTIAL_CALLS / (time.perf_counter() - started)


async def _measure_concurrent(run: _LinkRun) -> tuple[float, float]:
    async def ask_many() -> None:
        for _ in range(_CALLS_PER_TASK):
            await run.ask()

    cpu_before = time.process_time()
    frames_before = run.metrics[0].counter_value('peer_frames_sent')
    async with anyio.create_task_group() as tasks:
        for _ in range(_CONCURRENT_TASKS):
            tasks.start_soon(ask_many)
    call_count = _CONCURRENT_TASKS * _CALLS_PER_TASK
    frames = run.metrics[0].counter_value('peer_frames_sent') - frames_before
    return (
        (time.process_time() - cpu_before) / call_count * 1_000_000,
        frames / call_count * 1000,
    )


async def _measure_naive() -> tuple[float, float]:
    """Measures request and reply sockets with one native context per call.

    As in the calls that it is compared with, each message carries its kind,
    version and sender, and each call has a timeout.
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
            request = _decode_naive(await context.arecv())
            await context.asend(_encode_naive(request, sender))

    async def ask() -> None:
        with anyio.fail_after(30), dialer.new_context() as context:
            await context.asend(_encode_naive(Ask(text=_TEXT), sender))
            _decode_naive(await context.arecv())

    listener = pynng.Rep0(listen=url)
    dialer = pynng.Req0(dial=url)
    async with anyio.create_task_group() as tasks:
        for _ in range(8):
            tasks.start_soon(serve, listener)
        rate = await _measure_sequential(ask)
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
    """Measures "calls", or "idle" with a VM count and a time in seconds."""
    if sys.argv[1] == 'calls':
        function, arguments = _measure_calls, ()
    else:
        function = _measure_idle
        arguments = (int(sys.argv[2]), float(sys.argv[3]))
    measured = anyio.run(
        function, *arguments, backend_options={'use_uvloop': True}
    )
    sys.stdout.buffer.write(msgspec.json.encode(measured))
    sys.stdout.flush()
    os._exit(0)  # sockets of the naive run need no graceful shutdown


if __name__ == '__main__':
    main()
