"""Cost of peer links, measured on real sockets in a separate process."""

import functools
import subprocess
import sys
from typing import TypeVar

import msgspec

from benchmarks.peers_process import CallMeasures, IdleMeasures
from benchmarks.rows import BenchmarkRow, BoundKind, Slope, SlopePoint

_CONTROL_LIMIT_BYTES = 8 * 1024
_CONTROL_LIMIT_PERCENT = 2.1
_CELL_LIMIT_VMS = 16
_CALLS_PER_REQUEST = 3  # reservation, settlement and slot
_TARGET_REQUESTS_PER_SECOND = 110_000 / 2700
_THREAD_LIMIT = 16
_FLEET_SIZES = (4, 8, 12, 16)
_QUICK_FLEET_SIZES = (4, 8, 16)
_IDLE_SECONDS = 15
_QUICK_IDLE_SECONDS = 4
_ResultT = TypeVar('_ResultT')


def link_rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the cost of messages, and of control in the largest cell."""
    largest = _measure_idle(_CELL_LIMIT_VMS, quick)
    calls = _measure_calls()
    return [
        BenchmarkRow(
            name='peers.cpu_per_call',
            unit='us',
            ours=calls.batched_cpu_us,
            naive=calls.naive_cpu_us,
            naive_name='one request and reply socket for each peer',
            bound=calls.naive_cpu_us,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.frames_per_1000_concurrent_calls',
            unit='frames',
            ours=calls.frames_per_thousand,
            naive=1000,
            naive_name='one frame for each call',
            bound=1000,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.sequential_calls_per_second',
            unit='calls/s',
            ours=calls.sequential_per_second,
            naive=calls.naive_per_second,
            naive_name='one request and reply socket for each peer',
            bound=calls.naive_per_second,
            bound_kind=BoundKind.AT_LEAST,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.idle_control_bytes_sent_16_vms',
            unit='B/s',
            ours=largest.bytes_per_second,
            naive=None,
            bound=_CONTROL_LIMIT_BYTES,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.idle_control_cpu_16_vms',
            unit='% of a core',
            ours=largest.cpu_percent,
            naive=None,
            bound=_CONTROL_LIMIT_PERCENT,
            deterministic=False,
        ),
        BenchmarkRow(
            name='peers.threads_16_vms',
            unit='threads',
            ours=largest.thread_count,
            naive=calls.naive_thread_count,
            naive_name='default limits of the library',
            bound=_THREAD_LIMIT,
            deterministic=False,
        ),
    ]


def link_slopes(quick: bool) -> list[Slope]:
    """Returns the control costs of one VM by the number of VMs in its cell."""
    sizes = _QUICK_FLEET_SIZES if quick else _FLEET_SIZES
    idle = [(size, _measure_idle(size, quick)) for size in sizes]
    calls = _measure_calls()
    return [
        _idle_slope('peers.idle_bytes', 'B/s', 'bytes_per_second', idle),
        _idle_slope('peers.idle_cpu', '% of a core', 'cpu_percent', idle),
        _idle_slope('peers.memory_per_vm', 'MB', 'memory_mb', idle),
        _paced_slope('peers.call_cpu', '% of a core', 'cpu_percent', calls),
        _paced_slope('peers.call_bytes', 'B/s', 'bytes_per_second', calls),
    ]


def _idle_slope(
    name: str,
    unit: str,
    field: str,
    measures: list[tuple[int, IdleMeasures]],
) -> Slope:
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


def _paced_slope(
    name: str,
    unit: str,
    field: str,
    measured: CallMeasures,
) -> Slope:
    return Slope(
        name=name,
        role='entry VM',
        size_name=f'calls/s, {_CALLS_PER_REQUEST} for each request',
        size_at_target=_TARGET_REQUESTS_PER_SECOND * _CALLS_PER_REQUEST,
        unit=unit,
        points=tuple(
            SlopePoint(
                size=paced.calls_per_second, measured=getattr(paced, field)
            )
            for paced in measured.paced
        ),
    )


@functools.cache
def _measure_idle(vm_count: int, quick: bool) -> IdleMeasures:
    seconds = _QUICK_IDLE_SECONDS if quick else _IDLE_SECONDS
    return _run_subprocess(IdleMeasures, 'idle', str(vm_count), str(seconds))


@functools.cache
def _measure_calls() -> CallMeasures:
    return _run_subprocess(CallMeasures, 'calls')


def _run_subprocess(result_type: type[_ResultT], *arguments: str) -> _ResultT:
    outcome = subprocess.run(
        (sys.executable, '-m', 'benchmarks.peers_process', *arguments),
        stdout=subprocess.PIPE,
        check=True,
        timeout=300,
    )
    return msgspec.json.decode(outcome.stdout, type=result_type)
