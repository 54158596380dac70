"""Starts stand-ins and VMs as separate processes on loopback.

Used by the demo, the features and the benchmarks. Every process started here
is stopped by its process id.
"""

import hashlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from types import TracebackType
from typing import Any

import attrs
import httpcore
import msgspec

OPERATORS_KEY = 'operators-key'
ACCOUNT_KEY = 'account-key'
EMPTY_ACCOUNT_KEY = 'empty-account-key'
_START_TIMEOUT_SECONDS = 30
_PORT_RANGE = (10_240, 32_768)
_port_source = random.SystemRandom()
_used_ports: set[int] = set()
_STOP_TIMEOUT_SECONDS = 30
_SETTLED_SECONDS = 2
_UNPACK_FOLDER = pathlib.Path('build/unpacked')  # SHIV_ROOT of the built file


def free_port() -> int:
    """Returns a loopback TCP port that nothing listens on.

    The port lies below the range from which the system assigns ports to
    outgoing connections, and is returned only once per process.
    """
    while True:
        port = _port_source.randrange(*_PORT_RANGE)
        if port not in _used_ports and _can_listen(port):
            _used_ports.add(port)
            return port


def _can_listen(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


@attrs.frozen(kw_only=True)
class Vm:
    """Addresses of one VM of the fleet."""

    name: str
    zone: str
    callers: str
    operators: str
    peers: str

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://{self.callers}'


class Fleet:
    """Context manager that runs a platform, engines, a service and VMs."""

    def __init__(
        self,
        *,
        vm_count: int = 4,
        zones: Sequence[str] = ('mill', 'port'),
        engine_count: int = 2,
        slot_count: int = 64,
        token_interval_ms: float = 5,
        first_token_ms: int = 10,
        limits: Mapping[str, int] | None = None,
        note: str = '',
        program: Sequence[str] = (sys.executable, '-m', 'teaseldale'),
    ) -> None:
        """Chooses free ports; ``start`` starts the processes."""
        self._program = tuple(program)
        self._note = note  # first note to apply; empty for the default
        self._folder = tempfile.TemporaryDirectory(prefix='teaseldale-')
        self.path = pathlib.Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform = _free_address()
        self.service = _free_address()
        self.engines = [_free_address() for _ in range(engine_count)]
        self.slot_count = slot_count
        self._limits = {'balancer_grace_ms': 50, **(limits or {})}
        self._token_interval_ms = token_interval_ms
        self._first_token_ms = first_token_ms
        self.vms = [
            Vm(
                name=f'{zones[index % len(zones)]}-{index}',
                zone=zones[index % len(zones)],
                callers=_free_address(),
                operators=_free_address(),
                peers=_free_address(),
            )
            for index in range(vm_count)
        ]

    def __enter__(self) -> 'Fleet':
        """Starts all processes and applies the first note."""
        try:
            self.start()
        except BaseException:
            self.print_logs()
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops all processes."""
        self.stop()

    def start(self) -> None:
        """Starts all processes and waits until every VM is ready."""
        (self.path / 'operators.key').write_text(OPERATORS_KEY)
        self._spawn(
            'platform', 'standin', 'platform', '--address', self.platform
        )
        for index, address in enumerate(self.engines):
            self.start_engine(index, address)
        self._spawn('service', 'standin', 'service', '--address', self.service)
        for address in (self.platform, self.service, *self.engines):
            wait_for_port(address)
        for vm in self.vms:
            self.start_vm(vm)
        for vm in self.vms:
            wait_for_port(vm.operators)
        self.apply_note(self._note or self.first_note())
        for vm in self.vms:
            self.wait_until_ready(vm)

    def start_engine(self, index: int, address: str) -> None:
        """Starts an engine stand-in that listens at ``address``."""
        self._spawn(
            f'engine-{index}',
            'standin',
            'engine',
            '--address',
            address,
            '--slot_count',
            str(self.slot_count),
            '--token_interval_ms',
            str(self._token_interval_ms),
            '--first_token_ms',
            str(self._first_token_ms),
        )

    def start_vm(self, vm: Vm) -> None:
        """Writes the settings of a VM and starts its process."""
        settings = self.path / f'{vm.name}.toml'
        settings.write_text(self.settings_of(vm))
        self._spawn(vm.name, 'serve', '--settings', str(settings))

    def settings_of(self, vm: Vm) -> str:
        """Returns the content of the VM's settings file."""
        return f"""
[vm]
name = "{vm.name}"
availability_zone = "{vm.zone}"
peer_address = "{vm.peers}"
callers_address = "{vm.callers}"
operators_address = "{vm.operators}"
operators_key_file = "{self.path / 'operators.key'}"

[platform]
table_url = "http://{self.platform}"
membership_url = "http://{self.platform}"

[limits]
{_toml(self._limits)}

[logs]
format = "key_value"
"""

    def first_note(self) -> str:
        """Returns the default note: budgets, accounts, routes, upstreams."""
        upstreams = ''.join(
            f"""
[[additions.upstreams]]
name = "runner-{index}"
route = "drafts"
version = "v1"
url = "http://{address}"
availability_zone = "{self.vms[0].zone}"
slot_count = {self.slot_count}
"""
            for index, address in enumerate(self.engines)
        )
        return f"""
name = "first"
team = "platform"

[[additions.budgets]]
name = "drafting"
initial_tokens = 100000000

[[additions.budgets]]
name = "empty"
initial_tokens = 0

[[additions.accounts]]
name = "ben-salah"
key_hash = "{hash_of(ACCOUNT_KEY)}"
budgets = ["drafting"]

[[additions.accounts]]
name = "empty-account"
key_hash = "{hash_of(EMPTY_ACCOUNT_KEY)}"
budgets = ["empty"]

[[additions.routes]]
name = "drafts"
kind = "completion"
version = "v1"

[[additions.routes]]
name = "orders"
kind = "service"
version = "v1"
idempotent = false
{upstreams}
[[additions.upstreams]]
name = "order-desk"
route = "orders"
version = "v1"
url = "http://{self.service}"
availability_zone = "{self.vms[0].zone}"
slot_count = 64
"""

    def apply_note(self, text: str) -> object:
        """Applies a release note through the first VM."""
        return self.call_operators_api(
            self.vms[0], 'POST', '/notes', text.encode()
        )

    def call_operators_api(
        self,
        vm: Vm,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> object:
        """Calls a VM's operators' API; raises RuntimeError on a refusal."""
        response = httpcore.request(
            method,
            f'http://{vm.operators}{path}',
            headers={'authorization': f'Bearer {OPERATORS_KEY}'},
            content=body,
        )
        if response.status != 200:
            raise RuntimeError(response.content.decode())
        if path == '/metrics':
            return response.content.decode()
        return msgspec.json.decode(response.content)

    def wait_for_billed_tokens(self, name: str, expected: int) -> int:
        """Returns the tokens billed to a budget after all settlements.

        Waits until ``expected`` tokens are billed and then 2 s longer, so
        that a duplicate bill would be detected.
        """
        path = f'/budget?name={name}'
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        stable_since = None
        while time.monotonic() < deadline:
            state: Any = self.call_operators_api(self.vms[-1], 'GET', path)
            billed = int(state['billed_tokens'])
            if billed > expected:
                return billed
            now = time.monotonic()
            if billed < expected:
                stable_since = None
            elif stable_since is None:
                stable_since = now
            elif now - stable_since > _SETTLED_SECONDS:
                return billed
            time.sleep(0.1)
        return billed

    def set_faults(self, address: str, **faults: object) -> None:
        """Sets the faults of a stand-in; all other faults are cleared."""
        response = httpcore.request(
            'POST',
            f'http://{address}/faults',
            content=msgspec.json.encode(faults),
        )
        if response.status != 200:
            raise RuntimeError(response.content.decode())

    def statistics(self, address: str) -> dict[str, object]:
        """Returns the counters of a stand-in."""
        response = httpcore.request('GET', f'http://{address}/statistics')
        counters: dict[str, object] = msgspec.json.decode(response.content)
        return counters

    def wait_until_ready(self, vm: Vm) -> None:
        """Waits until the VM is ready; raises TimeoutError after 30 s."""
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            response = httpcore.request('GET', f'http://{vm.operators}/readyz')
            if response.status == 200:
                return
            time.sleep(0.05)
        raise TimeoutError(f'{vm.name} is not ready')

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the named process of the fleet."""
        self.processes[name].send_signal(number)

    def print_logs(self) -> None:
        """Prints the tail of each process's log."""
        for log in sorted(self.path.glob('*.log')):
            print(f'--- {log.name}', log.read_text()[-2000:], sep='\n')

    def stop(self) -> None:
        """Stops all processes of the fleet, the VMs first."""
        names = {vm.name for vm in self.vms}
        _stop_all(
            [self.processes[name] for name in names & set(self.processes)]
        )
        _stop_all(list(self.processes.values()))
        self._folder.cleanup()

    def _spawn(self, name: str, *arguments: str) -> None:
        log = (self.path / f'{name}.log').open('wb')
        self.processes[name] = subprocess.Popen(
            (*self._program, *arguments),
            stdout=log,
            stderr=log,
            env={**os.environ, 'SHIV_ROOT': str(_UNPACK_FOLDER.resolve())},
        )
        log.close()


def hash_of(key: str) -> str:
    """Returns the SHA-256 hash under which an account's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def wait_for_port(address: str) -> None:
    """Waits for a listener at ``address``; raises TimeoutError after 30 s."""
    host, _, port = address.rpartition(':')
    deadline = time.monotonic() + _START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        time.sleep(0.02)
    raise TimeoutError(f'nothing listens at {address}')


def _free_address() -> str:
    return f'127.0.0.1:{free_port()}'


def _stop_all(processes: Sequence[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
    deadline = time.monotonic() + _STOP_TIMEOUT_SECONDS
    for process in processes:
        try:
            process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _toml(fields: Mapping[str, int]) -> str:
    return '\n'.join(f'{name} = {amount}' for name, amount in fields.items())
