"""Starts the processes of a case, and ends them."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

from review.standins.http1 import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'case.example'
KEY = 'key-of-team-a'
TENANT = 'team-a'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
_NODE = ('python3', '-m', 'teaseldale', 'node')
_SETTINGS = """\
NodeName = "{name}"
Role = "node"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "zone-a"
Region = "region-a"
PortRange = [7340,7355]
Seeds = []
Bootstrap = {first}
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
zone-a = "region-a"
[Listen]
Frontend = "{ip}:8227"
Ready = "{ip}:8220"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
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
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
"""


class CaseCannotRun(Exception):
    """The case could not be brought about; exit status 2."""


class Node:
    """One process of the system, with the machine it runs on."""

    def __init__(self, fleet, name, ip):
        self.name = name
        self.ip = ip
        self.process = None
        self._fleet = fleet
        self.starts = 0

    def start(self):
        """Starts the process with the command of the deploy file."""
        folder = self._fleet.folder
        settings = folder / f'{self.name}.toml'
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                first='true' if not self.starts else 'false',
                store='{0}:{1}'.format(*self._fleet.store_address),
            )
        )
        self.starts += 1
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['TEASELDALE_NODE_FILE'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                _NODE,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._fleet.processes.append(self.process)

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    async def ready(self, timeout=15):
        """Waits until the node says that it is ready."""
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            answer = await call(
                self.ip, 8220, 'GET', '/-/readyz', (('Host', 'x'),), timeout=1
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseCannotRun(f'{self.name} is not ready')

    async def send(self, target, *, request_id, method='POST', **options):
        """Sends a request of a client to this node."""
        headers = [
            ('Host', options.pop('host', HOST)),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(options.pop('deadline_ms', 10_000))),
            *options.pop('headers', ()),
        ]
        key = options.pop('key', KEY)
        if key:
            headers.append(('Authorization', f'Bearer {key}'))
        return await call(self.ip, 8227, method, target, headers, **options)


class Fleet:
    """The store, the nodes and other processes of a case."""

    def __init__(self, record_path, store_clock_ms=0):
        self._record = open(record_path, 'w')
        self._began = time.monotonic()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.processes = []
        # An own part of the loopback network for each run.
        self._net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self._hosts = 10
        self.store_address = (self.new_ip(), 8223)
        self._store_clock_ms = store_clock_ms

    def new_ip(self):
        """Returns an unused loopback address."""
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    def note(self, text):
        """Writes a line of the record."""
        line = f'{time.monotonic() - self._began:8.3f}  {text}'
        self._record.write(line + '\n')
        self._record.flush()
        print(line, flush=True)

    def spawn(self, module, *arguments):
        """Starts a stand-in as a process of its own."""
        process = subprocess.Popen(
            ('python3', '-m', module, *map(str, arguments)), cwd=ROOT
        )
        self.processes.append(process)
        return process

    async def start_store(self):
        """Starts the store and waits until it answers."""
        self.spawn(
            'review.standins.store', *self.store_address, self._store_clock_ms
        )
        await self.listening(self.store_address)

    async def listening(self, address, timeout=10):
        """Waits until a process listens."""
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            with socket.socket() as probe:
                probe.settimeout(0.5)
                if probe.connect_ex(address) == 0:
                    return
            await asyncio.sleep(0.05)
        raise CaseCannotRun(f'nothing listens at {address}')

    async def put(self, table, key, value):
        """Writes a row as the operator or a runner would."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {'Put': [{'Table': table, 'Key': key, 'Value': encoded}]}
        answer = await call(
            *self.store_address,
            'POST',
            '/outside/put',
            (('Host', 'store'),),
            json.dumps(body).encode(),
        )
        if answer.status != 200:
            raise CaseCannotRun('the store takes no row')

    async def start_nodes(self, count):
        """Starts nodes and waits until all are ready."""
        nodes = [
            Node(self, f'edge-{number}', self.new_ip())
            for number in range(1, count + 1)
        ]
        for node in nodes:
            node.start()
        for node in nodes:
            await node.ready()
        # The member list counts as complete after a second without changes.
        await asyncio.sleep(2)
        return nodes

    def close(self):
        """Ends all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self._record.close()
        self._temporary.cleanup()


def route(name, prefix, kind, service, **fields):
    """Returns a route of the manifest."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': prefix,
        'RouteKind': kind,
        'Service': service,
        'TimeoutMs': 10_000,
        'GoalMs': 1000,
        'Priority': 0,
        'MaxAttempts': 1,
        **fields,
    }


def manifest(version, routes, services, prepaid=10_000_000):
    """Returns a manifest with one tenant."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'MaxConns': 300, **fields}
            for name, fields in services.items()
        ],
        'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY], 'Prepaid': prepaid}],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 4_194_304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
    }


def entry(service, address, born, **fields):
    """Returns a runner's entry."""
    return {
        'Service': service,
        'Address': '{0}:{1}'.format(*address),
        'Zone': 'zone-a',
        'Version': 'v1',
        'Slots': 48,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Sequence': 1,
        'born': born,
        **fields,
    }


def run_case(record_path, case, **options):
    """Runs a case; returns the exit status of its script."""
    fleet = Fleet(record_path, **options)
    try:
        return asyncio.run(_run(fleet, case))
    except CaseCannotRun as error:
        fleet.note(f'the case could not run: {error}')
        return 2
    finally:
        fleet.close()


async def _run(fleet, case):
    async with asyncio.timeout(115):
        await fleet.start_store()
        broken = await case(fleet)
    fleet.note(f'rule broken: {broken}' if broken else 'the rule held')
    return 1 if broken else 0
