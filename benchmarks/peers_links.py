"""Cost of links, measured on real sockets in a process of its own."""

import subprocess
import sys

import msgspec

from benchmarks.peers_process import LinkMeasures
from benchmarks.rows import BenchmarkRow, BoundKind, Slope, SlopePoint

_CONTROL_LIMIT_BYTES = 8 * 1024
_CONTROL_LIMIT_PERCENT = 2.1
_CELL_LIMIT_VMS = 16
_THREAD_LIMIT = 16
_FLEET_SIZES = (4, 8, 12, 16)
_QUICK_FLEET_SIZES = (4, 8, 16)
_measures: dict[tuple[int, int], LinkMeasures] = {}


def link_rows(quick: bool) -> list[BenchmarkRow]:
    """Returns cost of messages and of control in the largest cell."""
    largest = _measure(_CELL_LIMIT_VMS, quick)
    smallest = _measure(_FLEET_SIZES[0], quick)
    return [
        BenchmarkRow(
            name='peers.cpu_per_call',
            unit='us',
            ours=smallest.batched_cpu_us,
            naive=smallest.naive_cpu_us,
            naive_name='one request and reply socket for each peer',
            bound=smallest.naive_cpu_us,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.frames_per_1000_concurrent_calls',
            unit='frames',
            ours=smallest.frames_per_thousand,
            naive=1000,
            naive_name='one frame for each call',
            bound=1000,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.sequential_calls_per_second',
            unit='calls/s',
            ours=smallest.sequential_per_second,
            naive=smallest.naive_per_second,
            naive_name='one request and reply socket for each peer',
            bound=smallest.naive_per_second,
            bound_kind=BoundKind.AT_LEAST,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.idle_control_bytes_sent_16_vms',
            unit='B/s',
            ours=largest.idle_bytes_per_second,
            naive=None,
            bound=_CONTROL_LIMIT_BYTES,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.idle_control_cpu_16_vms',
            unit='% of a core',
            ours=largest.idle_cpu_percent,
            naive=None,
            bound=_CONTROL_LIMIT_PERCENT,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.threads_16_vms',
            unit='threads',
            ours=largest.thread_count,
            naive=largest.naive_thread_count,
            naive_name='default limits of the library',
            bound=_THREAD_LIMIT,
            deterministic=False,
        ),
    ]


def link_slopes(quick: bool) -> list[Slope]:
    """Returns control costs of one VM against the VMs of its cell."""
    sizes = _QUICK_FLEET_SIZES if quick else _FLEET_SIZES
    measures = [(size, _measure(size, quick)) for size in sizes]
    return [
        _slope('peers.idle_bytes_per_second', 'B/s', 'idle_bytes', measures),
        _slope('peers.idle_cpu', '% of a core', 'idle_cpu', measures),
        _slope('peers.memory_per_vm', 'MB', 'memory_mb', measures),
    ]


def _slope(
    name: str,
    unit: str,
    prefix: str,
    measures: list[tuple[int, LinkMeasures]],
) -> Slope:
    field = next(
        known.name
        for known in msgspec.structs.fields(LinkMeasures)
        if known.name.startswith(prefix)
    )
    return Slope(
        name=name,
        role='entry VM',
        size_name='VMs in the cell',
        size_at_target=_CELL_LIMIT_VMS,
        unit=unit,
        points=tuple(
            SlopePoint(size=size, measured=getattr(measured, field))
            for size, measured in measures
        ),
    )


def _measure(vm_count: int, quick: bool) -> LinkMeasures:
    idle_seconds = 4 if quick else 15
    known = _measures.get((vm_count, idle_seconds))
    if known is not None:
        return known
    outcome = subprocess.run(
        (
            sys.executable,
            '-m',
            'benchmarks.peers_process',
            str(vm_count),
            str(idle_seconds),
        ),
        stdout=subprocess.PIPE,
        check=True,
        timeout=300,
    )
    measured = msgspec.json.decode(outcome.stdout, type=LinkMeasures)
    _measures[vm_count, idle_seconds] = measured
    return measured
