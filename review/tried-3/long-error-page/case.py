"""A booking that has run is answered 503, and booked again.

One runner of seven fails part of its requests: it books, and then answers 503
without X-Not-Executed and with a long error page. By the pages this says
nothing of whether it has run; to a client, a 503 says that it has not.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

SERVICE = 'darbi'
RUNNER_COUNT = 7
FAILING_COUNT = 1  # one of seven, 0.143 of the runners
FAILED_SHARE = 0.45  # of the requests of these
PAGE_BYTES = 300_000
BOOKING_COUNT = 1200
BOOKINGS_PER_SECOND = 30
DEADLINE_MS = 1000
NOT_RUN_STATUSES = (408, 421, 429, 503)


def _manifest():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': 'crew-booking',
                'Host': harness.HOST,
                'Prefix': '/book/',
                'RouteKind': 'unsafe',
                'TimeoutMs': DEADLINE_MS,
                'GoalMs': 150,
                'Priority': 2,
                'Service': SERVICE,
                'MaxAttempts': 2,
                'Anonymous': True,
            },
        ],
        'Services': [
            {'Name': SERVICE, 'HealthPath': '/healthz', 'MaxConns': 100},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Bookings:
    """Runs bookings; some runners fail after they have booked."""

    def __init__(self, record):
        self._record = record
        self.ran = set()  # request ids
        self.booked = {}  # count, by booking
        self.failed_count = 0

    async def answer(self, runner, writer, request_id, target, headers):
        await asyncio.sleep(random.uniform(0.02, 0.04))
        self.ran.add(request_id)
        booking = target.rpartition('/')[2]
        self.booked[booking] = self.booked.get(booking, 0) + 1
        if harness.TROUBLE and runner.fails:
            if random.random() < FAILED_SHARE:
                self.failed_count += 1
                self._record.note('failed after booking', request_id)
                page = b'<p>error</p>' * (PAGE_BYTES // 12)
                runner.reply(writer, request_id, 503, page)
                return
        runner.reply(writer, request_id, 200, b'y' * 800)


async def case(record):
    """Sends bookings, each again only after a promise that it has not run."""
    fleet = harness.Fleet(3)
    bookings = Bookings(record)
    await fleet.store.start()
    refused = []
    counts = {}
    try:
        for number in range(RUNNER_COUNT):
            runner = harness.Runner(
                fleet.store,
                record,
                fleet.ip,
                f'i-{number}',
                SERVICE,
                'v1',
                bookings.answer,
            )
            runner.slots = 6
            runner.fails = number < FAILING_COUNT
            await runner.start()
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        clients = [
            harness.Client(record, node.frontend) for node in fleet.nodes
        ]

        async def book(number):
            for attempt in range(2):  # a client retries once
                request_id = f'booking-{number}-{attempt}'
                answer = await random.choice(clients).send(
                    request_id,
                    'POST',
                    f'/book/{number}',
                    (('X-Deadline-Ms', DEADLINE_MS),),
                    b'x' * 600,
                    seconds=3,
                )
                status = None if answer is None else answer.status
                counts[status] = counts.get(status, 0) + 1
                if status not in NOT_RUN_STATUSES:
                    return
                if request_id in bookings.ran:
                    refused.append(request_id)
                    record.note('ran, but answered', status, request_id)

        tasks = []
        for number in range(BOOKING_COUNT):
            tasks.append(asyncio.create_task(book(number)))
            await asyncio.sleep(random.expovariate(BOOKINGS_PER_SECOND))
        await asyncio.gather(*tasks)
        doubled = sum(count > 1 for count in bookings.booked.values())
        record.say('answers:', counts)
        record.say('failed by a runner after booking:', bookings.failed_count)
        record.say('answered as not run though they ran:', len(refused))
        record.say('booked twice because of that:', doubled)
        return not refused
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
