"""A fix is ordered after a roll-back: does the bad version get requests again?

Tries the known gap "version moves that the platform's operators order".
"""

import asyncio
import base64
import json
import sys
import tempfile
import time
from collections import Counter

from review.standins.fleet import (
    TROUBLE,
    CaseCannotRun,
    entry,
    manifest,
    route,
    run_case,
)
from review.standins.http1 import call, encode, serve

NODES = 3
RUNNERS = 3  # of each version
RATE = 80  # requests a second
DURATION_S = 20
WORK_S = 0.03
SLOW_WORK_S = 0.25
ROLLBACK_S = 5
SHARE, TOLERANCE = 0.1, 50
# The new runners of a version that was rolled back drain after this time.
DRAIN_AFTER_S = 10
# The operator orders the fixed version this long after the roll-back.
NEXT_ORDER_AFTER_S = 1


class Service:
    """Runners of three versions, of which "v2" answers half of its requests late."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.arrivals = []  # (monotonic time, version)
        self.bad = []  # monotonic times of the bad answers of "v2"
        self._addresses = {}

    async def add(self, version):
        """Starts the runners of a version and registers them."""

        async def respond(request):
            return await self._respond(version, request)

        for number in range(1, RUNNERS + 1):
            address = (self.fleet.new_ip(), 8500)
            await serve(*address, respond)
            self._addresses[f'i-{version}-{number}'] = address
        await self.report(version, 'ready')

    async def report(self, version, state):
        """Writes the entries of a version's runners."""
        for name, address in self._addresses.items():
            if name.startswith(f'i-{version}-'):
                await self.fleet.put(
                    'servers',
                    name,
                    entry(
                        'desk',
                        address,
                        1_700_000_000_000,
                        Slots=12,
                        Version=version,
                        State=state,
                    ),
                )

    async def _respond(self, version, request):
        now_s = time.monotonic()
        self.arrivals.append((now_s, version))
        is_bad = version == 'v2' and len(self.arrivals) % 2 == 0
        await asyncio.sleep(SLOW_WORK_S if is_bad else WORK_S)
        if is_bad:
            self.bad.append(time.monotonic())
        headers = (
            ('X-Request-Id', request.header('x-request-id')),
            ('X-Server-Stamp', version),
        )
        request.writer.write(encode(200, headers, b'done'))
        await request.writer.drain()
        return True


async def state_of(fleet, target):
    """Returns the state that the system has written for an order."""
    answer = await call(
        *fleet.store_address,
        'GET',
        '/-/rows-get?Table=status&part=',
        (('Host', 'store'),),
    )
    for row in json.loads(answer.body)['Rows']:
        status = json.loads(base64.b64decode(row['Value']))
        if status['Target'] == target:
            return status['State']
    return ''


async def send_requests(nodes, ends_s, statuses):
    """Sends requests at an even rate, to the nodes in turn."""
    tasks = set()

    async def send(number):
        answer = await nodes[number % NODES].send(
            '/order/new', request_id=f'q{number}', body=b'order'
        )
        statuses[answer.status] += 1

    number = 0
    while time.monotonic() < ends_s:
        number += 1
        task = asyncio.create_task(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def order(fleet, service, version):
    """Starts a version's runners and orders the traffic to them."""
    await service.add(version)
    await fleet.put(
        'op',
        'rollout/desk',
        {'Service': 'desk', 'Target': version, 'DurationS': DURATION_S},
    )
    fleet.note(f'{version} is ordered')


async def case(fleet):
    """Orders a bad version, and its fix soon after the roll-back."""
    service = Service(fleet)
    await service.add('v1')
    await fleet.put(
        'op',
        'config',
        manifest(
            1, [route('order', '/order/', 'unsafe', 'desk')], {'desk': {}}
        ),
    )
    nodes = await fleet.start_nodes(NODES)
    statuses = Counter()
    ends_s = time.monotonic() + DURATION_S + 4
    traffic = asyncio.create_task(send_requests(nodes, ends_s, statuses))
    await asyncio.sleep(3)
    ordered_s = time.monotonic()
    await order(fleet, service, 'v2')
    while await state_of(fleet, 'v2') != 'rolled_back':
        if time.monotonic() > ordered_s + DURATION_S:
            raise CaseCannotRun('the bad version was not rolled back')
        await asyncio.sleep(0.1)
    rolled_back_s = time.monotonic()
    fleet.note(f'v2 is rolled back after {rolled_back_s - ordered_s:.1f} s')
    if TROUBLE:
        await asyncio.sleep(NEXT_ORDER_AFTER_S)
        await order(fleet, service, 'v3')
    await asyncio.sleep(rolled_back_s + DRAIN_AFTER_S - time.monotonic())
    await service.report('v2', 'draining')
    drained_s = time.monotonic()
    fleet.note('the runners of v2 drain')
    await traffic
    return judge(fleet, service, ordered_s, drained_s, statuses)


def judge(fleet, service, ordered_s, drained_s, statuses):
    """Returns how EXPOSURE was broken, or nothing."""
    in_time = [
        version
        for at_s, version in service.arrivals
        if ordered_s <= at_s <= ordered_s + DURATION_S
    ]
    exposed = in_time.count('v2')
    bound = SHARE * len(in_time) + TOLERANCE
    late = 0
    if len(service.bad) >= 50:
        limit_s = service.bad[49] + ROLLBACK_S
        late = sum(
            version == 'v2' and at_s > limit_s
            for at_s, version in service.arrivals
        )
    fleet.note(
        f'v2 got {exposed} of {len(in_time)} requests until its deadline, the '
        f'bound is {bound:.0f}; {len(service.bad)} bad answers; {late} requests '
        f'later than {ROLLBACK_S} s after the 50th; statuses {dict(statuses)}'
    )
    broken = []
    if exposed > bound:
        broken.append(f'v2 got {exposed} requests of at most {bound:.0f}')
    if late:
        broken.append(f'v2 got {late} requests after RollbackMs')
    return '; '.join(broken)


if __name__ == '__main__':
    with tempfile.NamedTemporaryFile() as record:
        sys.exit(run_case(record.name, case))
