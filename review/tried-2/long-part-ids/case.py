"""Prompts with long part ids fill the memory of the VMs."""

import asyncio
import pathlib
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

from fleet import HOST, random_ip, run_script  # noqa: E402
from http_text import encode  # noqa: E402
from runner import Runner  # noqa: E402

_RUNNERS = 9
_VMS = 2
_MEMORY_MB = 200
_CONNECTIONS = 16
_LOAD_SECONDS = 80
# With the other headers, a head stays below MaxHeaderBytes (16,384).
_LONG_DIGITS = 15_900
_USUAL_DIGITS = 8
_ENDS = 3  # of one VM, as the rule counts them
_BYTES_PER_MB = 1_000_000


def _configuration():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': 'r-draft',
                'Host': HOST,
                'Prefix': '/lohu930/',
                'RouteKind': 'streaming',
                'TimeoutMs': 10000,
                'GoalMs': 1200,
                'Priority': 2,
                'Service': 'huvo11a',
                'MaxAttempts': 2,
                'Anonymous': True,
                'Sticky': True,
                'Resumable': True,
                'GapTargetMs': 300,
            }
        ],
        'Services': [
            {
                'Name': 'huvo11a',
                'HealthPath': '/healthz',
                'MaxConns': 300,
                'Engine': {
                    'Slots': 48,
                    'KvCapacityTokens': 444000,
                    'KvBytes': 131072,
                    'LinkMbps': 260000.0,
                    'Stride': 9,
                    'Models': [{'Name': 'm'}],
                },
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [],
    }


class _Quiet:
    """Counts runs, which are too many for the record."""

    def add(self, event, **fields):
        """Writes nothing."""


async def _respond(runner, message, writer):
    body = b'id: 1\ndata: x\n\n'
    headers = runner.headers(
        message,
        ('Content-Type', 'text/event-stream'),
        ('Content-Length', str(len(body))),
    )
    writer.write(encode('HTTP/1.1 200 OK', headers, body))


async def _watch(vm, record, until):
    """Ends a VM above its memory, as the platform does; returns how often."""
    ends = 0
    while time.monotonic() < until and ends < _ENDS:
        await asyncio.sleep(0.1)
        used_mb = vm.memory_bytes() / _BYTES_PER_MB
        if used_mb <= _MEMORY_MB:
            continue
        ends += 1
        record.add('memory_exceeded', vm=vm.name, used_mb=round(used_mb))
        vm.kill()
        vm.spawn()
        if not await vm.wait_ready():
            raise RuntimeError('a VM is not ready')
    return ends


async def _main(fleet, record, has_trouble):
    fleet.store.put('op', 'config', _configuration())
    runners = [Runner(f'i-{n}', _respond, _Quiet()) for n in range(_RUNNERS)]
    for runner in runners:
        await runner.start(random_ip(), fleet.store, 'huvo11a', slots=48)
    if not await fleet.start(_VMS, memory_mb=_MEMORY_MB):
        raise RuntimeError('a VM is not ready')
    record.add('ready', memory_mb=[vm.memory_bytes() >> 20 for vm in fleet.vms])
    loads = []
    for vm in fleet.vms:
        ip, port = vm.callers
        digits = _LONG_DIGITS if has_trouble else _USUAL_DIGITS
        arguments = (ip, port, _CONNECTIONS, digits)
        load = subprocess.Popen(
            [sys.executable, FOLDER / 'load.py', *map(str, arguments)],
            stdout=(fleet.folder / f'{vm.name}.load').open('w'),
        )
        loads.append(load)
    until = time.monotonic() + _LOAD_SECONDS
    try:
        ends = await asyncio.gather(
            *(_watch(vm, record, until) for vm in fleet.vms)
        )
    finally:
        for load in loads:
            load.kill()
            load.wait()
    for vm in fleet.vms:
        record.add('used', vm=vm.name, mb=vm.memory_bytes() // _BYTES_PER_MB)
        lines = (fleet.folder / f'{vm.name}.load').read_text().splitlines()
        record.add('load', vm=vm.name, sent_and_answered=lines[-1])
    record.add('verdict', ends=ends, runs=sum(len(r.runs) for r in runners))
    return 1 if sum(count >= _ENDS for count in ends) >= _VMS else 0


run_script(__file__, _main)
