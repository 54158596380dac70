"""VMs, runners and a store for the soak of ends of answers."""

import asyncio
import contextlib
import random
import subprocess
import sys
import time

import anyio
import msgspec

from teaseldale.platform.tests.ends_proxy import SlowPath
from teaseldale.platform.tests.ends_runner import HEALTH_PATH
from teaseldale.platform.tests.node_process import NodeProcess
from teaseldale.platform.tests.store_process import StoreProcess
from teaseldale.tables import RowWrite, make_transaction
from teaseldale.web import EmbeddedServer

HOST = 'ends.test'
KINDS = ('streaming', 'safe', 'unsafe')
_PORT = 8500


class Store(StoreProcess):
    """Store whose rows the test writes."""

    def put(self, table, key, record):
        """Writes a row; None removes it."""
        text = None if record is None else msgspec.json.encode(record)
        write = RowWrite(table=table, key=key, value=text)
        self._table.commit(make_transaction(checks=(), writes=(write,)))


class RunnerAddress:
    """Address of a service's only runner, whose process changes."""

    def __init__(self, *, name, ip, store, most_ms, draw, is_older):
        """Draws the delay of each connection up to ``most_ms``."""
        self.name = name
        self.most_seconds = most_ms / 1000
        self._store = store
        self._older = 'older' if is_older else 'newer'
        self._ip = ip
        self._count = 0
        self._id = ''
        self._processes = []
        self._next = None
        self.path = SlowPath(
            (ip, _PORT),
            (ip, _PORT + 1),
            lambda: draw.uniform(0, self.most_seconds),
        )

    async def prepare(self):
        """Starts the next process; it does not listen yet."""
        self._next = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'teaseldale.platform.tests.ends_runner',
            self._ip,
            str(_PORT + 1),
            self._older,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._processes.append(self._next)
        await self._next.stdout.readline()

    async def listen(self, *, has_new_id=False):
        """Lets the prepared process listen."""
        self._count += 1
        former, self._id = self._id, self._id or f'{self.name}-1'
        if has_new_id:
            self._id = f'{self.name}-{self._count}'
        self._next.stdin.write(f'{self._id}\n'.encode())
        await self._next.stdout.readline()
        if former not in ('', self._id):
            self._store.put('servers', former, None)

    def announce(self):
        """Writes the entry of the process that listened last."""
        record = {
            'Service': self.name,
            'Address': f'{self._ip}:{_PORT}',
            'Zone': 'mill',
            'Version': 'v1',
            'Slots': 64,
            'State': 'ready',
            'born': int(time.time() * 1000),
        }
        self._store.put('servers', self._id, record)

    async def end_first(self, number):
        """Ends the process that has listened longest."""
        process = self._processes.pop(0)
        process.send_signal(number)
        await process.wait()

    async def close(self):
        """Ends all processes."""
        for process in self._processes:
            process.kill()
            await process.wait()


class Fleet:
    """Two VMs in front of services with one runner each."""

    def __init__(self, *, seed, delays_ms, attempts=1):
        """Starts nothing; ``delays_ms`` has the most for each runner."""
        draw = random.Random(seed)
        net = '127.{0}.{1}'.format(*random.sample(range(16, 250), 2))
        self._store_address = (f'{net}.9', _PORT)
        self._store = Store('unused')
        self._store.put('servers', 'runner-1', None)
        self.runners = [
            RunnerAddress(
                name=f'r{number}',
                ip=f'{net}.{10 + number}',
                store=self._store,
                most_ms=most_ms,
                draw=draw,
                is_older=number == 3,
            )
            for number, most_ms in enumerate(delays_ms, start=1)
        ]
        self._attempts = attempts
        self.vms = [
            NodeProcess(
                memory_mb=300,
                descriptor_count=4200,
                name=name,
                store=self._store_address,
            )
            for name in ('edge-1', 'edge-2')
        ]

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs everything meanwhile."""
        server = EmbeddedServer(
            address='{0}:{1}'.format(*self._store_address),
            respond=self._store.respond,
        )
        try:
            async with anyio.create_task_group() as tasks:
                await server.start(tasks)
                await self._start(tasks)
                yield
                tasks.cancel_scope.cancel()
        finally:
            for vm in self.vms:
                vm.stop()
            for runner in self.runners:
                await runner.close()

    async def _start(self, tasks):
        for runner in self.runners:
            tasks.start_soon(runner.path.run)
            await runner.prepare()
            await runner.listen()
            runner.announce()
            await runner.prepare()
        self._store.put('op', 'config', self._configuration())
        for vm in self.vms:
            await asyncio.to_thread(vm.start)

    def _configuration(self):
        names = [runner.name for runner in self.runners]
        return {
            'Version': 1,
            'Routes': [
                self._route(name, kind) for name in names for kind in KINDS
            ],
            'Services': [
                {'Name': name, 'HealthPath': HEALTH_PATH, 'MaxConns': 300}
                for name in names
            ],
        }

    def _route(self, name, kind):
        return {
            'Name': f'{name}-{kind}',
            'Host': HOST,
            'Prefix': f'/{name}/{kind}/',
            'RouteKind': kind,
            'TimeoutMs': 10_000,
            'Service': name,
            'Anonymous': True,
            'MaxAttempts': self._attempts,
            'Resumable': self._attempts > 1 and kind == 'streaming',
        }
