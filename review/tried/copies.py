"""Copies of a request that crashes its runners, sent at the same moment.

Shows the known failure 'Copies of a "<kind>" request that run at the same time
are held back' with real processes. Arguments: copies, kind of the route.
"""

import asyncio
import sys
import tempfile
import time

from review.standins.fleet import TROUBLE, entry, manifest, route, run_case
from review.standins.http1 import serve

COPIES = int(sys.argv[1]) if len(sys.argv) > 1 else 4
KIND = sys.argv[2] if len(sys.argv) > 2 else 'unsafe'
RUNNERS = 3
BATCHES = 5
RUNS_S = 0.05  # from the begin of a run to the crash
BACK_S = 2
CONTACT_S = 3


class Runners:
    """Runners that crash under each request."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.arrivals = []  # monotonic times
        self.crashes = []  # monotonic times
        self._servers = {}
        self._writers = {}

    async def start(self, name, address):
        """Starts a runner and registers it."""
        self._writers[name] = set()

        async def respond(request):
            return await self._crash(name, address, request)

        self._servers[name] = await serve(*address, respond)
        born = int(time.time() * 1000)
        await self.fleet.put(
            'servers', name, entry('orders', address, born, Slots=6)
        )

    async def _crash(self, name, address, request):
        self._writers[name].add(request.writer)
        self.arrivals.append(time.monotonic())
        await asyncio.sleep(RUNS_S)
        server = self._servers.pop(name, None)
        if server is not None:
            self.crashes.append(time.monotonic())
            server.close()
            for writer in self._writers[name]:
                writer.transport.abort()
            asyncio.create_task(self._come_back(name, address))
        return False

    async def _come_back(self, name, address):
        await asyncio.sleep(BACK_S)
        await self.start(name, address)


async def case(fleet):
    """Sends batches of copies, more than ContactMs apart."""
    runners = Runners(fleet)
    for number in range(1, RUNNERS + 1):
        await runners.start(f'i-{number}', (fleet.new_ip(), 8500))
    attempts = 2 if KIND == 'safe' else 1
    await fleet.put(
        'op',
        'config',
        manifest(
            1,
            [route('order', '/order/', KIND, 'orders', MaxAttempts=attempts)],
            {'orders': {}},
        ),
    )
    nodes = await fleet.start_nodes(3)
    for batch in range(1, BATCHES + 1):
        answers = await asyncio.gather(
            *(
                nodes[copy % len(nodes)].send(
                    '/order/new', request_id=f'p{batch}-{copy}', body=b'crash'
                )
                for copy in range(COPIES if TROUBLE else 1)
            )
        )
        fleet.note(
            f'batch {batch}: {[answer.status for answer in answers]}, '
            f'{len(runners.arrivals)} arrivals, {len(runners.crashes)} crashes'
        )
        await asyncio.sleep(CONTACT_S + 1.5)
    late = 0
    if len(runners.crashes) >= 3:
        limit_s = runners.crashes[2] + CONTACT_S
        late = sum(at_s > limit_s for at_s in runners.arrivals)
    return f'{late} late arrivals, 3 are allowed' if late > 3 else ''


if __name__ == '__main__':
    with tempfile.NamedTemporaryFile() as record:
        sys.exit(run_case(record.name, case))
