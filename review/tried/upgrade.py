"""A POST that offers an upgrade: does its body reach the runner?

Also sends requests to a runner that fails with a large 503 (REFUSED).
"""

import asyncio
import sys
import tempfile
import time

from review.standins.fleet import (
    TROUBLE,
    entry,
    manifest,
    route,
    run_case,
)
from review.standins.http1 import encode, serve

BODY = b'order 7'
OFFER = (('Connection', 'Upgrade'), ('Upgrade', 'h2c'))
FAILURE_BYTES = 300_000


async def case(fleet):
    """Sends both kinds of requests to one node."""
    broken = []

    async def respond(request):
        request_id = request.header('x-request-id')
        status, body = 200, b'done'
        if request_id == 'failing':
            status, body = 503, b'x' * (FAILURE_BYTES if TROUBLE else 1000)
        elif request.body != BODY:
            broken.append(f'{request_id} ran with the body {request.body!r}')
        headers = (
            ('X-Request-Id', request_id),
            ('X-Server-Stamp', 'stamp'),
        )
        request.writer.write(encode(status, headers, body))
        await request.writer.drain()
        return True

    address = (fleet.new_ip(), 8500)
    await serve(*address, respond)
    born = int(time.time() * 1000)
    await fleet.put('servers', 'i-1', entry('orders', address, born, Slots=6))
    await fleet.put(
        'op',
        'config',
        manifest(
            1, [route('order', '/order/', 'unsafe', 'orders')], {'orders': {}}
        ),
    )
    (node,) = await fleet.start_nodes(1)
    for request_id in ('offering', 'failing'):
        answer = await node.send(
            '/order/new',
            request_id=request_id,
            body=BODY,
            headers=OFFER if TROUBLE and request_id == 'offering' else (),
        )
        fleet.note(f'{request_id}: status {answer.status}')
        if request_id == 'failing' and answer.status == 503:
            broken.append('a request that has run was answered 503')
    await asyncio.sleep(0.1)
    return '; '.join(broken)


if __name__ == '__main__':
    with tempfile.NamedTemporaryFile() as record:
        sys.exit(run_case(record.name, case))
