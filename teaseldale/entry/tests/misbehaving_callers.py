"""A VM with its own interface on loopback, and callers that misbehave.

The limits of the VM are low, so that a crowd of 300 shows whether the unsent
answers are bounded in total.
"""

import contextlib
import http.client
import itertools
import subprocess
import sys
import time

import psutil

from benchmarks.fleet import ACCOUNT_KEY, Fleet, free_port, wait_for_port

_ROUTE_COUNT = 4000  # makes a list of models of 324 KB
_SLOT_COUNT = 400
_ANSWER_TIMEOUT_SECONDS = 20
_CALL_TIMEOUT_SECONDS = 5
_POLL_SECONDS = 0.05
_STOP_TIMEOUT_SECONDS = 5
_CALLER_COUNT = 300
_PIPELINING_COUNT = 200
_PIPELINED_REQUESTS = 20


class OwnInterfaceVm:
    """A VM with many routes and a service with large answers."""

    def __init__(self, *, memory_mb, descriptor_count):
        self._service_address = f'127.0.0.1:{free_port()}'
        self._service = None
        self._fleet = Fleet(
            vm_count=1,
            zones=('mill',),
            engine_count=0,
            limits={
                'memory_mb': memory_mb,
                'descriptor_count': descriptor_count,
            },
        )
        self._fleet = self._with_note(self._fleet)

    def start(self):
        """Starts all processes and waits until the VM is ready."""
        self._service = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'teaseldale.entry.tests.large_service',
                self._service_address,
            ],
        )
        wait_for_port(self._service_address)
        self._fleet.start()

    def stop(self):
        """Ends all processes."""
        self._fleet.stop()
        if self._service is not None:
            self._service.kill()
            self._service.wait(_STOP_TIMEOUT_SECONDS)

    @property
    def callers(self):
        """Address for callers, as a pair."""
        host, _, port = self._fleet.vms[0].callers.rpartition(':')
        return (host, int(port))

    @property
    def pid(self):
        """Process id of the VM."""
        return self._process.pid

    @property
    def is_alive(self):
        """Whether the VM has not ended."""
        return self._process.poll() is None

    @property
    def log(self):
        """Text that the VM has written."""
        return (self._fleet.path / f'{self._fleet.vms[0].name}.log').read_text()

    @property
    def descriptor_count(self):
        """Descriptors that the process has open now."""
        return psutil.Process(self.pid).num_fds()

    def answers_call(self):
        """Whether a large call of a service is served; refusals are retried."""
        return self._answers('/services/files/ordinary')

    def answers_models(self):
        """Whether the list of models is answered; refusals are retried."""
        return self._answers('/v1/models')

    @property
    def _process(self):
        return self._fleet.processes[self._fleet.vms[0].name]

    def _answers(self, path):
        deadline = time.monotonic() + _ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if self._status(path) == 200:
                return True
            time.sleep(_POLL_SECONDS)
        return False

    def _status(self, path):
        connection = http.client.HTTPConnection(
            *self.callers,
            timeout=_CALL_TIMEOUT_SECONDS,
        )
        headers = {'authorization': f'Bearer {ACCOUNT_KEY}'}
        try:
            with contextlib.closing(connection):
                connection.request('GET', path, headers=headers)
                answer = connection.getresponse()
                answer.read()
                return answer.status
        except (OSError, http.client.HTTPException):
            return 0

    def _with_note(self, fleet):
        routes = ''.join(
            f"""
[[additions.routes]]
name = "model-{index:05d}"
kind = "completion"
version = "v1"
"""
            for index in range(_ROUTE_COUNT)
        )
        fleet._note = f"""{fleet.first_note()}
[[additions.routes]]
name = "files"
kind = "service"
version = "v1"

[[additions.upstreams]]
name = "file-store"
route = "files"
version = "v1"
url = "http://{self._service_address}"
availability_zone = "mill"
slot_count = {_SLOT_COUNT}
{routes}"""
        return fleet


def _request(path, key=''):
    lines = [
        f'GET {path} HTTP/1.1',
        'host: callers.test',
        f'authorization: Bearer {ACCOUNT_KEY}',
    ]
    if key:
        lines.append(f'idempotency-key: {key}')
    return '\r\n'.join((*lines, '\r\n')).encode()


def _models():
    yield _request('/v1/models')


def _pipelined_models():
    yield _request('/v1/models') * _PIPELINED_REQUESTS


def _pipelined_call():
    yield _request('/services/files/same', 'same') * _PIPELINED_REQUESTS


def _same_call():
    yield _request('/services/files/same', 'same')


_numbers = itertools.count()


def _own_call():
    yield _request('/services/files/own', f'own-{next(_numbers)}')


def read_byte(connection):
    """Reads slowly, but goes on."""
    connection.recv(1)


# Number of connections, their bytes, and how they go on.
KINDS = {
    'ask for the models and read nothing': (_CALLER_COUNT, _models, None),
    'ask for the models and read byte by byte': (
        _CALLER_COUNT,
        _models,
        read_byte,
    ),
    'pipeline requests for the models and read nothing': (
        _PIPELINING_COUNT,
        _pipelined_models,
        None,
    ),
    'pipeline requests for one large answer and read nothing': (
        _PIPELINING_COUNT,
        _pipelined_call,
        None,
    ),
    'ask for one large answer with the same key and read nothing': (
        _CALLER_COUNT,
        _same_call,
        None,
    ),
    'ask for large answers of their own and read nothing': (
        _CALLER_COUNT,
        _own_call,
        None,
    ),
}
