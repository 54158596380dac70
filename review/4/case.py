"""A rolling restart: does the fleet still hold back a crashing request?"""

import asyncio
import pathlib
import signal
import sys
import time

from review.standins.fleet import (
    TROUBLE,
    CaseCannotRun,
    entry,
    manifest,
    route,
    run_case,
)
from review.standins.http1 import encode, serve

FOLDER = pathlib.Path(__file__).parent
NODES = 4
RUNNERS = 8
BACK_S = 2  # a runner that has crashed is back after this time
CONTACT_S = 3
# The store has been up for an hour.
STORE_CLOCK_MS = 3_600_000
POISON = b'the order that crashes its runner'


class Runners:
    """Runners of a plain service; one request crashes each that runs it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.crashes = []  # (monotonic time, runner, request id)
        self.others = 0  # other requests that ran
        self._writers = {}
        self._servers = {}

    async def start(self, name, address):
        """Starts a runner and registers it."""
        self._writers[name] = set()

        async def respond(request):
            return await self._respond(name, address, request)

        self._servers[name] = await serve(*address, respond)
        born = int(time.time() * 1000)
        await self.fleet.put(
            'servers', name, entry('orders', address, born, Slots=6)
        )

    async def _respond(self, name, address, request):
        self._writers[name].add(request.writer)
        request_id = request.header('x-request-id')
        if request.body == POISON:
            self.crashes.append((time.monotonic(), name, request_id))
            self.fleet.note(f'{request_id} crashes runner {name}')
            self._servers[name].close()
            for writer in self._writers[name]:
                writer.transport.abort()
            asyncio.create_task(self._come_back(name, address))
            return False
        await asyncio.sleep(0.03)
        self.others += 1
        request.writer.write(
            encode(
                200,
                (
                    ('X-Request-Id', request_id),
                    ('X-Server-Stamp', f'stamp-{name}'),
                ),
                b'done',
            )
        )
        await request.writer.drain()
        return True

    async def _come_back(self, name, address):
        await asyncio.sleep(BACK_S)
        await self.start(name, address)


async def case(fleet):
    """Sends the request again and again while the nodes restart in turn."""
    runners = Runners(fleet)
    for number in range(1, RUNNERS + 1):
        await runners.start(f'i-{number}', (fleet.new_ip(), 8500))
    await fleet.put(
        'op',
        'config',
        manifest(
            1, [route('order', '/order/', 'unsafe', 'orders')], {'orders': {}}
        ),
    )
    nodes = await fleet.start_nodes(NODES)
    count = 0

    async def poison(node):
        nonlocal count
        count += 1
        answer = await node.send(
            '/order/new', request_id=f'p{count}', body=POISON
        )
        fleet.note(f'p{count} at {node.name}: {answer.status} {answer.error}')
        await asyncio.sleep(1)

    for node in nodes:
        await poison(node)
    before = len(runners.crashes)
    fleet.note(f'{before} crashes until the fleet holds the request back')
    for node in nodes:
        if TROUBLE:
            await restart(fleet, node)
        else:
            await asyncio.sleep(8)
        for _ in range(3):
            await poison(node)
        sound = await node.send(
            '/order/new', request_id=f'{node.name}-{count}', body=b'sound'
        )
        fleet.note(f'a sound request at {node.name}: {sound.status}')
        if sound.status != 200:
            raise CaseCannotRun('sound requests are not served')
    late = []
    if len(runners.crashes) >= 3:
        third_s = runners.crashes[2][0]
        late = [
            request_id
            for at_s, _, request_id in runners.crashes
            if at_s > third_s + CONTACT_S
        ]
    fleet.note(
        f'{len(runners.crashes)} crashes, {len(late)} of them later than '
        f'{CONTACT_S} s after the third'
    )
    if len(late) > 3:
        return f'the request reached runners in {", ".join(late)}'
    return ''


async def restart(fleet, node):
    """Stops a node with SIGTERM, as planned work, and starts it again."""
    node.signal(signal.SIGTERM)
    await asyncio.wait_for(asyncio.to_thread(node.process.wait), 10)
    node.start()
    await node.ready()
    fleet.note(f'{node.name} has restarted')
    # It is in touch again after ContactMs.
    await asyncio.sleep(CONTACT_S + 0.5)


if __name__ == '__main__':
    sys.exit(
        run_case(FOLDER / 'record.txt', case, store_clock_ms=STORE_CLOCK_MS)
    )
