"""A VM on loopback: a ``node`` process with a stand-in store and a runner."""

import contextlib
import http.client
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

from teaseldale.platform import SETTINGS_VARIABLE
from teaseldale.platform._settings_file import METRICS_PORT
from teaseldale.platform.tests.store_process import (
    ROUTE_HOST,
    ROUTE_PREFIX,
)

_START_TIMEOUT_SECONDS = 20
_STOP_TIMEOUT_SECONDS = 5
_ANSWER_TIMEOUT_SECONDS = 15
_CALL_TIMEOUT_SECONDS = 5
_POLL_SECONDS = 0.05
_BYTES_PER_KB = 1024
# For callers, readiness, the store and the runner.
_SINGLE_PORTS = 4
_ORDINARY_BYTES = 72_000


class NodeProcess:
    """A VM with limits on memory and descriptors, and what it depends on."""

    def __init__(
        self,
        *,
        memory_mb,
        descriptor_count,
        settings='',
        name='edge-1',
        store=None,
    ):
        """Starts no process; a VM with a ``store`` starts none of its own."""
        # The port of the metrics is fixed, so each VM needs an address of its
        # own.
        numbers = [random.randint(1, 250) for _ in range(3)]
        self.ip = '.'.join(map(str, (127, *numbers)))
        ports, self._first_port = draw_ports(self.ip, _SINGLE_PORTS)
        addresses = [(self.ip, port) for port in ports]
        self.callers, self.readiness, self._store, self._runner = addresses
        self.metrics = (self.ip, METRICS_PORT)
        self.name = name
        self._has_store = store is not None
        self._start_count = 0
        self._store = store or self._store
        self._memory_mb = memory_mb
        self._descriptor_count = descriptor_count
        self._settings = settings
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='teaseldale-'))
        self._processes = []
        self._request_count = 0

    @property
    def pid(self):
        """Process id of the VM."""
        return self._processes[-1].pid

    @property
    def is_alive(self):
        """Whether the VM has not ended."""
        return self._processes[-1].poll() is None

    @property
    def peak_memory_bytes(self):
        """Most resident memory since the start of the process."""
        return read_peak_memory_bytes(self.pid)

    @property
    def descriptor_count(self):
        """Descriptors that the process has open now."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    @property
    def log(self):
        """Text that the VM has written."""
        return (self._folder / 'node.log').read_text()

    def start(self):
        """Starts all processes and waits until the VM is ready."""
        if not self._has_store:
            self._spawn(
                'store',
                '-m',
                'teaseldale.platform.tests.store_process',
                _text(self._store),
                _text(self._runner),
            )
        self._start_count += 1
        settings = self._folder / 'node.toml'
        settings.write_text(self._settings_text())
        self._spawn(
            'node',
            '-m',
            'teaseldale',
            'node',
            environment={SETTINGS_VARIABLE: str(settings)},
        )
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while self._status(self.readiness, 'GET', '/-/readyz') != 200:
            if time.monotonic() > deadline or not self.is_alive:
                raise TimeoutError(self.log[-2000:])
            time.sleep(_POLL_SECONDS)

    def signal(self, number):
        """Sends a signal to the VM."""
        self._processes[-1].send_signal(number)

    def end(self, number):
        """Ends the VM by a signal; it may be started again."""
        self.signal(number)
        self._processes[-1].wait()

    def stop(self):
        """Ends all processes."""
        for process in reversed(self._processes):
            process.kill()
            process.wait(_STOP_TIMEOUT_SECONDS)

    def answers_route(self):
        """Whether one ordinary request is served; refusals are retried."""
        return self._answers(self.callers, 'POST', f'{ROUTE_PREFIX}a')

    def answers_readiness(self):
        """Whether the balancer's check is answered."""
        return self._answers(self.readiness, 'GET', '/-/readyz')

    def answers_metrics(self):
        """Whether the metrics are answered."""
        return self._answers(self.metrics, 'GET', '/metrics')

    def _answers(self, address, method, path):
        deadline = time.monotonic() + _ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self._status(address, method, path) == 200:
                return True
            time.sleep(_POLL_SECONDS)
        return False

    def _status(self, address, method, path):
        self._request_count += 1
        body = b'x' * _ORDINARY_BYTES if method == 'POST' else None
        headers = {
            'host': ROUTE_HOST,
            'x-request-id': f'ordinary-{self._request_count}',
        }
        connection = http.client.HTTPConnection(
            *address,
            timeout=_CALL_TIMEOUT_SECONDS,
        )
        try:
            with contextlib.closing(connection):
                connection.request(method, path, body=body, headers=headers)
                answer = connection.getresponse()
                answer.read()
                return answer.status
        except (OSError, http.client.HTTPException):
            return 0

    def _spawn(self, name, *arguments, environment=()):
        with (self._folder / f'{name}.log').open('ab') as log:
            self._processes.append(
                subprocess.Popen(
                    [sys.executable, *arguments],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    env={**os.environ, **dict(environment)},
                ),
            )

    def _settings_text(self):
        # One VM forms the fleet when it starts for the first time.
        is_first = self.name == 'edge-1' and self._start_count == 1
        return f"""
NodeName = "{self.name}"
Ip = "{self.ip}"
Zone = "mill"
PortRange = [{self._first_port}, {self._first_port + 1}]
Bootstrap = {str(is_first).lower()}

[Listen]
Frontend = "{_text(self.callers)}"
Ready = "{_text(self.readiness)}"

[Bounds]
GraceS = 5

[Platform]
Address = "{_text(self._store)}"

[Limits]
MemoryMb = {self._memory_mb}
MaxFds = {self._descriptor_count}
{self._settings}
"""


def read_peak_memory_bytes(pid):
    """Returns the most resident memory of a process since its start."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (line for line in status.splitlines() if line.startswith('VmHWM'))
    return int(line.split()[1]) * _BYTES_PER_KB


def _text(address):
    ip, port = address
    return f'{ip}:{port}'


def draw_ports(ip, count):
    """Returns free ports, and the first one of two that follow each other.

    All are held until the last one is drawn, so that none is drawn twice.
    """
    with contextlib.ExitStack() as held:
        ports = [_hold_port(held, ip) for _ in range(count)]
        return ports, _hold_pair(held, ip)


def _hold_pair(held, ip):
    while True:
        first_port = _hold_port(held, ip)
        with contextlib.suppress(OSError, OverflowError):
            _hold_port(held, ip, first_port + 1)
            return first_port


def _hold_port(held, ip, port=0):
    server = held.enter_context(socket.create_server((ip, port)))
    return server.getsockname()[1]
