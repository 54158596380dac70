"""Measures a VM process with slow and normal readers on loopback."""

import asyncio
import pathlib
import socket
import sys
import time
from collections.abc import Sequence

import attrs
import msgspec

from benchmarks.fleet import ACCOUNT_KEY, Fleet

_ANSWER_TOKENS = 13_000  # words of five bytes: 64 KB
_NORMAL_TOKENS = 250
_NORMAL_READERS = 50
_TOKEN_INTERVAL_MS = 20
_SLOW_TOKENS_PER_EVENT = 400
_SLOW_TOKEN_INTERVAL_MS = 2
_SLOW_BYTES_PER_SECOND = 1024
_RECEIVE_BUFFER_BYTES = 4096
_RAMP_PER_SECOND = 200
_SLOW_UPSTREAMS = 16  # upstream names of the slow readers' one engine
_KILOBYTE = 1024


@attrs.frozen(kw_only=True)
class SlowReadersOutcome:
    """Measurements of one run."""

    resident_bytes: int  # peak, with slow readers connected
    gap_p95_ms: float  # of normal readers, with slow readers connected
    baseline_gap_p95_ms: float  # of normal readers, without slow readers
    slow_readers: int  # still connected at the end
    paused: int  # number of times that a stream was paused


class _SlowFleet(Fleet):
    def settings_of(self, vm) -> str:
        limit = f'[limits]\noutput_limit_tokens = {_ANSWER_TOKENS}'
        return super().settings_of(vm).replace('[limits]', limit)

    def first_note(self) -> str:
        engines, slot_count = self.engines, self.slot_count
        *slow_engines, quick_engine = engines
        self.engines = slow_engines * _SLOW_UPSTREAMS
        self.slot_count = slot_count // _SLOW_UPSTREAMS
        note = super().first_note()
        self.engines, self.slot_count = engines, slot_count
        return f"""{note}
[[additions.routes]]
name = "quick"
kind = "completion"
version = "v1"

[[additions.upstreams]]
name = "quick-runner"
route = "quick"
version = "v1"
url = "http://{quick_engine}"
availability_zone = "{self.vms[0].zone}"
slot_count = 64
"""


def measure(
    slow_count: int,
    *,
    settle_seconds: int,
    program: Sequence[str] = (sys.executable, '-m', 'benchmarks.answers_vm'),
) -> SlowReadersOutcome:
    """Runs one VM with ``slow_count`` slow readers and measures it."""
    fleet = _SlowFleet(
        vm_count=1,
        engine_count=2,
        slot_count=slow_count + 200,
        token_interval_ms=_TOKEN_INTERVAL_MS,
        program=program,
    )
    with fleet:
        fleet.set_faults(
            fleet.engines[0],
            tokens_per_event=_SLOW_TOKENS_PER_EVENT,
            token_interval_ms=_SLOW_TOKEN_INTERVAL_MS,
        )
        return asyncio.run(_measure(fleet, slow_count, settle_seconds))


async def _measure(
    fleet: Fleet,
    slow_count: int,
    settle_seconds: int,
) -> SlowReadersOutcome:
    baseline = await _measure_normal_gaps(fleet)
    connected = [0]
    slow = []
    for number in range(slow_count):
        keeps_reading = number % 2 == 0
        slow.append(
            asyncio.create_task(_read_slowly(fleet, keeps_reading, connected))
        )
        await asyncio.sleep(1 / _RAMP_PER_SECOND)
    await asyncio.sleep(settle_seconds)
    loaded = await _measure_normal_gaps(fleet)
    vm = fleet.vms[0]
    metrics = str(
        await asyncio.to_thread(fleet.call_operators_api, vm, 'GET', '/metrics')
    )
    resident = _peak_bytes(fleet.processes[vm.name].pid)
    still_connected = connected[0]
    for task in slow:
        task.cancel()
    await asyncio.gather(*slow, return_exceptions=True)
    return SlowReadersOutcome(
        resident_bytes=resident,
        gap_p95_ms=_p95(loaded),
        baseline_gap_p95_ms=_p95(baseline),
        slow_readers=still_connected,
        paused=_counter(metrics, 'teaseldale_streams_paused_total'),
    )


async def _read_slowly(
    fleet: Fleet, keeps_reading: bool, connected: list[int]
) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        host, _, port = fleet.vms[0].callers.rpartition(':')
        await loop.sock_connect(connection, (host, int(port)))
        await loop.sock_sendall(connection, _request('drafts', _ANSWER_TOKENS))
        connected[0] += 1
        while True:
            await asyncio.sleep(1)
            if keeps_reading:
                chunk = await loop.sock_recv(connection, _SLOW_BYTES_PER_SECOND)
                if not chunk:
                    connected[0] -= 1
                    return


async def _measure_normal_gaps(fleet: Fleet) -> list[float]:
    gaps: list[float] = []
    await asyncio.gather(
        *(_read_normally(fleet, gaps) for _ in range(_NORMAL_READERS)),
    )
    return gaps


async def _read_normally(fleet: Fleet, gaps: list[float]) -> None:
    host, _, port = fleet.vms[0].callers.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(_request('quick', _NORMAL_TOKENS))
    status = await reader.readline()
    if b' 200 ' not in status:
        raise RuntimeError(f'a normal reader was refused: {status!r}')
    last = 0.0
    while True:
        line = await reader.readline()
        if line.startswith(b'data: [DONE]') or not line:
            break
        if line.startswith(b'data: '):
            now = time.perf_counter()
            if last:
                gaps.append((now - last) * 1000)
            last = now
    writer.close()


def _request(model: str, tokens: int) -> bytes:
    body = msgspec.json.encode(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': 'a snow guard'}],
            'max_tokens': tokens,
            'stream': True,
        }
    )
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nhost: teaseldale\r\n'
        f'authorization: Bearer {ACCOUNT_KEY}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _p95(gaps: list[float]) -> float:
    return sorted(gaps)[int(len(gaps) * 0.95)]


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * _KILOBYTE
    raise LookupError('the process status has no VmHWM line')


def _counter(metrics: str, name: str) -> int:
    for line in metrics.splitlines():
        if line.startswith(f'{name} '):
            return int(line.split()[1])
    return 0
