"""Stand-ins of the platform's store, of runners and of clients, on loopback.

They speak what PROTOCOL.md says and use the standard library only. A node of
the fleet is started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ANSWER_SECONDS = 0.004  # of the store


def free_port(ip):
    """Returns a port that is free at the moment."""
    with socket.create_server((ip, 0)) as server:
        return server.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def now(self):
        """Seconds since the start of the script."""
        return time.monotonic() - self._began

    def note(self, *words):
        """Writes one line with the time."""
        line = ' '.join(str(word) for word in words)
        self._file.write(f'{self.now():8.3f} {line}\n')
        self._file.flush()

    def say(self, *words):
        """Writes one line to the record and to the standard output."""
        self.note(*words)
        print(*words, flush=True)


async def read_head(reader):
    """Returns the start line and the headers, names in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = []
    for line in lines:
        name, _, content = line.partition(':')
        headers.append((name.strip().lower(), content.strip()))
    return first, headers


def header(headers, name, default=None):
    """Returns the first header of that name."""
    return next((text for known, text in headers if known == name), default)


async def read_body(reader, headers):
    """Returns (body, is_complete) as the framing of the head says."""
    if (header(headers, 'transfer-encoding') or '').lower() == 'chunked':
        body = b''
        try:
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    return body, True
        except (asyncio.IncompleteReadError, ValueError, OSError):
            return body, False
    length = header(headers, 'content-length')
    if length is not None:
        try:
            return await reader.readexactly(int(length)), True
        except asyncio.IncompleteReadError as error:
            return error.partial, False
        except OSError:
            return b'', False
    return b'', True


class Store:
    """The platform's metadata store."""

    def __init__(self, ip):
        self.ip = ip
        self.port = free_port(ip)
        self.rows = {}  # (table, part, key) -> (text, version)
        self.changes = []  # (version, table, part, key, text or None)
        self.version = 0
        self.changed = asyncio.Event()
        self.server = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )

    def put(self, table, key, record):
        """Writes a row of the operator or of a runner; returns its version."""
        text = base64.b64encode(json.dumps(record).encode()).decode()
        self._apply([(table, '', key, text)])
        return self.version

    def remove(self, table, key):
        self._apply([(table, '', key, None)])

    def get(self, table, key):
        """Returns the decoded JSON of a row, or None."""
        row = self.rows.get((table, '', key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _apply(self, writes):
        self.version += 1
        for table, part, key, text in writes:
            if text is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (text, self.version)
            self.changes.append((self.version, table, part, key, text))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body, _ = await read_body(reader, headers)
                status, answer = await self._answer(method, target, body)
                content = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n'
                    % (status, len(content))
                    + content
                )
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            OSError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        await asyncio.sleep(ANSWER_SECONDS)
        if parts.path == '/-/rows-tx':
            return self._transact(json.loads(body))
        if parts.path == '/-/rows-get':
            return 200, self._range(query)
        if parts.path == '/-/rows-feed':
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, call):
        stale = []
        for check in call.get('Expect') or ():
            place = (check['Table'], check.get('part', ''), check['Key'])
            row = self.rows.get(place)
            if (0 if row is None else row[1]) != check['SchemaVersion']:
                stale.append(place)
        if stale:
            rows = [
                self._shown(place, *self.rows[place])
                for check in call['Expect']
                for place in [
                    (check['Table'], check.get('part', ''), check['Key'])
                ]
                if place in self.rows
            ]
            return 412, self._page(rows)
        writes = [
            (put['Table'], put.get('part', ''), put['Key'], put['Value'])
            for put in call.get('Put') or ()
        ]
        writes += [
            (gone['Table'], gone.get('part', ''), gone['Key'], None)
            for gone in call.get('Remove') or ()
        ]
        if any(write[0] in {'op', 'servers'} for write in writes):
            return 403, {}
        self._apply(writes)
        return 200, self._page([])

    def _range(self, query):
        first, end = query.get('From', ''), query.get('Target', '')
        rows = [
            self._shown(place, *row)
            for place, row in sorted(self.rows.items())
            if place[0] == query['Table']
            and place[1] == query.get('part', '')
            and place[2] >= first
            and (not end or place[2] < end)
        ]
        page = self._page(rows[:500])
        page['HasMore'] = len(rows) > 500
        return page

    async def _feed(self, query):
        after = int(query.get('AfterRevision', 0))
        end = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            rows = [
                self._shown((table, part, key), text, version)
                for version, table, part, key, text in self.changes
                if version > after and table == query['Table']
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self._page(rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _shown(self, place, text, version):
        shown = {
            'Table': place[0],
            'part': place[1],
            'Key': place[2],
            'SchemaVersion': version,
        }
        if text is None:
            shown['Deleted'] = True
        else:
            shown['Value'] = text
        return shown

    def _page(self, rows):
        return {
            'SchemaVersion': self.version,
            'NowMs': int(time.monotonic() * 1000),
            'Rows': rows,
            'HasMore': False,
        }


class Runner:
    """A runner; ``answer`` decides what it does with a request."""

    def __init__(self, store, record, ip, name, service, version, answer):
        self.store, self.record = store, record
        self.ip, self.port = ip, free_port(ip)
        self.name, self.service, self.version = name, service, version
        self.answer = answer
        self.slots = 48
        self.runs = []  # (request id, path, seconds)
        self.state = 'ready'
        self.stops_ready = False
        self.running = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.enter()

    def enter(self):
        """Writes the runner's entry."""
        self.store.put(
            'servers',
            self.name,
            {
                'Service': self.service,
                'Address': f'{self.ip}:{self.port}',
                'Zone': 'riga-a',
                'Version': self.version,
                'Slots': self.slots,
                'State': self.state,
                'ColdLeftMs': 0,
                'Sequence': 1,
                'born': int(time.time() * 1000),
            },
        )

    def drain(self):
        self.state = 'draining'
        self.enter()

    def end(self):
        """Leaves: the entry goes, and all channels are closed."""
        self.store.remove('servers', self.name)
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body, is_whole = await read_body(reader, headers)
                if not is_whole:
                    return
                if target == '/healthz':
                    self._write(writer, 200, (), b'ok')
                    continue
                expected = header(headers, 'x-expect-instance')
                if expected is not None and expected != self.name:
                    self._write(writer, 421, (), b'')
                    continue
                request_id = header(headers, 'x-request-id') or ''
                self.runs.append((request_id, target, self.record.now()))
                self.record.note('run', self.name, request_id, target)
                self.running += 1
                try:
                    goes_on = await self.answer(
                        self, writer, request_id, unquote(target), headers
                    )
                finally:
                    self.running -= 1
                await writer.drain()
                if goes_on is False:
                    return
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            OSError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _write(self, writer, status, headers, body):
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {text}' for name, text in headers]
        lines.append(f'X-Instance-Id: {self.name}')
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def reply(self, writer, request_id, status, body, extra=(), stamp=True):
        """Writes an answer with a length."""
        headers = [('X-Request-Id', request_id)]
        if stamp:
            headers.append(('X-Server-Stamp', f'{self.name}.{request_id}'))
        load = f'{self.running},0,{self.slots}'
        headers.append(('X-Instance-Load', load))
        headers.append(('Keep-Alive', 'timeout=5'))
        self._write(writer, status, (*headers, *extra), body)

    def begin_stream(self, writer, request_id, extra=()):
        """Writes the head of a stream in chunks."""
        lines = [
            'HTTP/1.1 200 OK',
            f'X-Request-Id: {request_id}',
            f'X-Server-Stamp: {self.name}.{request_id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *(f'{name}: {text}' for name, text in extra),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')


def chunk(content):
    """Returns one chunk."""
    return b'%x\r\n%s\r\n' % (len(content), content)


class Answer:
    """What a client has received."""

    def __init__(self, status, headers, body, is_whole, seconds):
        self.status, self.headers, self.body = status, headers, body
        self.is_whole, self.seconds = is_whole, seconds

    def header(self, name):
        return header(self.headers, name)


class Client:
    """Sends requests to a node, each on a new channel."""

    def __init__(self, record, address):
        self.record, self.address = record, address

    async def send(
        self, request_id, method, path, headers=(), body=b'', seconds=10
    ):
        """Returns the answer; None if the channel ended without one."""
        began = time.monotonic()
        self.record.note('send', request_id, method, path)
        try:
            answer = await asyncio.wait_for(
                self._send(request_id, method, path, headers, body), seconds
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            self.record.note('answer', request_id, 'none')
            return None
        answer.seconds = time.monotonic() - began
        self.record.note(
            'answer',
            request_id,
            answer.status,
            f'stamp={answer.header("x-server-stamp")}',
            f'whole={answer.is_whole}',
            f'bytes={len(answer.body)}',
        )
        return answer

    async def _send(self, request_id, method, path, headers, body):
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Host: {HOST}',
                f'X-Request-Id: {request_id}',
                *(f'{name}: {text}' for name, text in headers),
            ]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await writer.drain()
            first, received = await read_head(reader)
            content, is_whole = await read_body(reader, received)
            status = int(first.split(' ')[1])
            return Answer(status, received, content, is_whole, 0)
        finally:
            writer.close()


class Node:
    """A process of the fleet."""

    def __init__(self, store, number, network):
        self.ip = f'{network}.{number}'
        self.name = f'edge-riga-a-{number}'
        self.store = store
        self.frontend = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.first_port = free_port(self.ip)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.process = None
        self.starts = 0

    def start(self):
        settings = self.folder / 'settings.toml'
        settings.write_text(self._settings())
        self.starts += 1
        with (self.folder / f'log-{self.starts}.txt').open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'teaseldale', 'node'],
                cwd=REPOSITORY,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', ''),
                    'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'TEASELDALE_NODE_FILE': str(settings),
                },
            )

    def log(self):
        return ''.join(
            path.read_text() for path in sorted(self.folder.glob('log-*'))
        )

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.kill()
            self.process.wait(5)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, seconds=20):
        """Raises ``TimeoutError`` if the node does not become ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in first:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{self.name} is not ready\n{self.log()[-2000:]}')

    def _settings(self):
        return f"""
NodeName = "{self.name}"
Role = "node"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.ip}"
Zone = "riga-a"
Region = "lv-riga"
PortRange = [{self.first_port}, {self.first_port + 15}]
Seeds = []
Bootstrap = {'true' if self.starts == 0 else 'false'}
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "rollout", "pressure", "platform"]

[Zones]
riga-a = "lv-riga"

[Listen]
Frontend = "{self.frontend[0]}:{self.frontend[1]}"
Ready = "{self.ready[0]}:{self.ready[1]}"

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
Address = "{self.store.address}"
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


class Fleet:
    """A store and some nodes on addresses of their own."""

    def __init__(self, count):
        first, second = random.randint(1, 250), random.randint(1, 250)
        self.network = f'127.{first}.{second}'
        self.ip = f'{self.network}.200'
        self.store = Store(self.ip)
        self.nodes = [
            Node(self.store, number + 1, self.network)
            for number in range(count)
        ]

    async def start(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def end(self):
        for node in self.nodes:
            node.end()


def run(case, folder):
    """Runs ``case(record)``; exits with 1 if it returns False, 0 if True."""
    record = Record(folder)
    try:
        is_held = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # the case could not run
        record.say('could not run:', type(error).__name__, error)
        sys.exit(2)
    record.say('the rule held' if is_held else 'the rule was broken')
    sys.exit(0 if is_held else 1)
