"""An answer is lost: does a request of an unsafe route still run once?"""

import asyncio
import pathlib
import sys
import time
from collections import Counter

from review.standins.fleet import TROUBLE, entry, manifest, route, run_case
from review.standins.http1 import encode, serve

FOLDER = pathlib.Path(__file__).parent
REQUESTS = 50
# A share of the answers is lost: the runner has run the request and resets the
# channel.
LOST_SHARE = 0.4
# The longest prefix that begins this path is "/book/": the segment after it is
# "status%2Fconfirm".
TARGET = '/book/status%2Fconfirm'


async def case(fleet):
    """Sends requests of an unsafe route while some answers are lost."""
    runs = Counter()
    answered = 0

    async def respond(request):
        nonlocal answered
        request_id = request.header('x-request-id')
        await asyncio.sleep(0.02)
        runs[request_id] += 1
        answered += 1
        fleet.note(f'{request_id} has run: {request.method} {request.target}')
        # Two of each five answers are lost.
        is_lost = TROUBLE and int(answered * LOST_SHARE) > int(
            (answered - 1) * LOST_SHARE
        )
        if is_lost:
            fleet.note(f'the answer to {request_id} is lost')
            request.writer.transport.abort()
            return False
        headers = (
            ('X-Request-Id', request_id),
            ('X-Server-Stamp', 'stamp'),
        )
        request.writer.write(encode(200, headers, b'confirmed'))
        await request.writer.drain()
        return True

    born = int(time.time() * 1000)
    for number in range(1, 4):
        address = (fleet.new_ip(), 8500)
        await serve(*address, respond)
        await fleet.put(
            'servers', f'i-{number}', entry('booking', address, born, Slots=6)
        )
    await fleet.put(
        'op',
        'config',
        manifest(
            1,
            [
                route('confirm', '/book/', 'unsafe', 'booking'),
                route(
                    'status', '/book/status/', 'safe', 'booking', MaxAttempts=2
                ),
            ],
            {'booking': {}},
        ),
    )
    nodes = await fleet.start_nodes(2)
    for number in range(REQUESTS):
        node = nodes[number % len(nodes)]
        request_id = f'c{number}'
        answer = await node.send(TARGET, request_id=request_id, body=b'crew 7')
        fleet.note(
            f'{request_id} at {node.name}: {answer.status} {answer.error}'
        )
        await asyncio.sleep(0.1)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    if twice:
        return f'{len(twice)} requests ran twice: {", ".join(twice)}'
    return ''


if __name__ == '__main__':
    sys.exit(run_case(FOLDER / 'record.txt', case))
