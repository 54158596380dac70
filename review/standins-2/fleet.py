"""VMs as processes of the deploy file, with a store, runners and clients."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from http_text import encode, read_chunk, read_head
from store import Store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
_VARIABLE = 'TEASELDALE_NODE_FILE'
_START_SECONDS = 30
_STOP_SECONDS = 5
_SETTINGS = """
NodeName = "{name}"
Role = "node"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "riga-a"
Region = "lv-riga"
PortRange = [{first_port}, {last_port}]
Bootstrap = true
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout","pressure","platform"]
[Zones]
riga-a = "lv-riga"
[Listen]
Frontend = "{ip}:{callers_port}"
Ready = "{ip}:{ready_port}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = {memory_mb}
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
SkewMaxMs = 5000
RevokeFailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtraTries = 54
ExposureShare = 0.1
ExposureTolerance = 50
RollbackMs = 5000
RecoverS = 12
PassMs = 120
ReuseWindowS = 6.2
settle_ms = 1500
[Platform]
Address = "{store}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
CrossRegion = false
HistoryS = 20
"""


class Record:
    """Writes what is sent, answered and run to ``record.txt``."""

    def __init__(self, script):
        folder = pathlib.Path(script).resolve().parent
        self._file = (folder / 'record.txt').open('w')
        self._started = time.monotonic()

    def add(self, event, **fields):
        """Writes one line with the time since the start."""
        at = round(time.monotonic() - self._started, 3)
        line = json.dumps({'at_s': at, 'event': event, **fields})
        self._file.write(f'{line}\n')
        self._file.flush()


class Vm:
    """One VM: its settings file and its process."""

    def __init__(self, name, store, folder, memory_mb=300):
        self.name = name
        self.ip = random_ip()
        ports = free_ports(self.ip, 4)
        self.callers = (self.ip, ports[0])
        self._ready = (self.ip, ports[1])
        self._folder = folder
        self._process = None
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=self.ip,
                first_port=min(ports[2:]),
                last_port=max(ports[2:]),
                callers_port=ports[0],
                ready_port=ports[1],
                memory_mb=memory_mb,
                store=store.address,
            )
        )

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    @property
    def exit_status(self):
        """Status of the ended process; None while it runs."""
        return self._process.poll()

    def spawn(self):
        """Starts the process as the deploy file says."""
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['node']['run'])
        log = (self._folder / f'{self.name}.log').open('ab')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        self._process = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                **environment,
                'PYTHONPATH': str(REPOSITORY / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                _VARIABLE: str(self._settings),
            },
        )

    async def wait_ready(self):
        """Waits until the platform would send channels; returns success."""
        deadline = time.monotonic() + _START_SECONDS
        while time.monotonic() < deadline and self.exit_status is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        """Asks ``/-/readyz`` once."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self._ready)
                writer.write(encode('GET /-/readyz HTTP/1.1', [('Host', 'x')]))
                answer = await read_head(reader)
                writer.close()
                return answer is not None and answer.status == 200
        return False

    def memory_bytes(self):
        """Returns the resident memory of the process."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) * 1024
        return 0

    def log_text(self):
        """Returns what the process has written."""
        return (self._folder / f'{self.name}.log').read_text()

    def send(self, signal_number):
        """Sends a signal to the process."""
        self._process.send_signal(signal_number)

    async def wait_end(self, seconds):
        """Waits for the end of the process; returns its status or None."""
        deadline = time.monotonic() + seconds
        while self.exit_status is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        return self.exit_status

    def kill(self):
        """Ends the process at once."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait(_STOP_SECONDS)


class Fleet:
    """A store and the VMs of one script."""

    def __init__(self):
        self.store = Store()
        self.vms = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))

    async def start(self, count, **options):
        """Starts the store and ``count`` VMs; returns whether all are ready."""
        for number in range(count):
            self.add(f'edge-riga-a-{number + 1}', **options)
        for vm in self.vms:
            vm.spawn()
        ready = [await vm.wait_ready() for vm in self.vms]
        return all(ready)

    def add(self, name, **options):
        """Adds a VM that is not started yet."""
        vm = Vm(name, self.store, self.folder, **options)
        self.vms.append(vm)
        return vm

    def end(self):
        """Ends all processes."""
        for vm in self.vms:
            vm.kill()


def random_ip():
    """Returns a loopback address; the port of the metrics is fixed."""
    return '.'.join(['127', *(str(random.randint(2, 250)) for _ in range(3))])


def free_ports(ip, count):
    """Returns free ports of an address, in ascending order."""
    with contextlib.ExitStack() as stack:
        servers = [
            stack.enter_context(socket.create_server((ip, 0)))
            for _ in range(count)
        ]
        return sorted(server.getsockname()[1] for server in servers)


def _interrupt(number, frame):
    signal.signal(number, signal.SIG_IGN)  # not again while processes end
    raise KeyboardInterrupt


def run_script(script, main):
    """Runs a case; exits with its status, or 2 if it could not run."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, _interrupt)  # so that processes are ended
    fleet = Fleet()
    record = Record(script)

    async def limited():
        async with asyncio.timeout(115):
            await fleet.store.start(random_ip())
            return await main(fleet, record, has_trouble)

    status = 2
    try:
        status = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:
        record.add('could_not_run', reason=repr(error))
        sys.stderr.write(f'could not run: {error!r}\n')
    finally:
        fleet.end()
    record.add('end', status=status)
    sys.exit(status)


async def request(address, first_line, headers, body=b'', seconds=10):
    """Sends one request on a new channel.

    Returns the answer, or None if the channel ended before it was whole.
    """
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode(first_line, headers, body))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None


async def read_answer(reader):
    """Returns a whole answer; None if the channel ends before its head."""
    answer = await read_head(reader)
    if answer is None:
        return None
    if 'chunked' in (answer.header('transfer-encoding') or ''):
        chunks = []
        while chunk := await read_chunk(reader):
            chunks.append(chunk)
        answer.body = b''.join(chunks)
    else:
        length = int(answer.header('content-length') or 0)
        answer.body = await reader.readexactly(length)
    return answer
