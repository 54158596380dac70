"""A new version fails every request of one route, and is completed.

The version answers all other routes well. The rule says when it has to be
rolled back: no request may reach it that was sent later than RollbackMs after
its 50th bad answer.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

SERVICE = 'darbi'
REQUESTS_PER_SECOND = 80
CANCEL_SHARE = 0.03  # of the requests, on the route that the version breaks
LOOKUP_SHARE = 0.27
ORDER_SECONDS = 12  # DurationS, as in the example of the pages
ROLLBACK_SECONDS = 5  # Bounds.RollbackMs
TOLERATED_BAD = 50
WATCH_SECONDS = 60  # after the end of the order
DEADLINE_MS = 1000
SPREAD_MS = (20, 40)  # of the work


def _route(name, prefix, kind):
    return {
        'Name': name,
        'Host': harness.HOST,
        'Prefix': prefix,
        'RouteKind': kind,
        'TimeoutMs': DEADLINE_MS,
        'GoalMs': 150,
        'Priority': 2,
        'Service': SERVICE,
        'MaxAttempts': 2,
        'Anonymous': True,
    }


def _manifest():
    return {
        'Version': 1,
        'Routes': [
            _route('crew-booking', '/book/', 'unsafe'),
            _route('job-lookup', '/look/', 'safe'),
            _route('crew-cancel', '/cancel/', 'unsafe'),
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


class Traffic:
    """Sends requests at a steady rate, each to any node."""

    def __init__(self, record, fleet):
        self._record = record
        self._clients = [
            harness.Client(record, node.frontend) for node in fleet.nodes
        ]
        self._tasks = set()
        self.sent = {}  # seconds, by request id
        self.answers = {}  # count, by route and status
        self.is_over = False

    async def run(self):
        number = 0
        while not self.is_over:
            number += 1
            task = asyncio.create_task(self._send(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*self._tasks)

    async def _send(self, number):
        drawn = random.random()
        method, path, body = 'POST', '/book/', b'x' * 600
        if drawn < CANCEL_SHARE:
            path = '/cancel/'
        elif drawn < CANCEL_SHARE + LOOKUP_SHARE:
            method, path, body = 'GET', '/look/', b''
        request_id = f'request-{number}'
        self.sent[request_id] = self._record.now()
        answer = await random.choice(self._clients).send(
            request_id,
            method,
            f'{path}{number}',
            (('X-Deadline-Ms', DEADLINE_MS),),
            body,
            seconds=3,
        )
        key = (path, None if answer is None else answer.status)
        self.answers[key] = self.answers.get(key, 0) + 1


class Versions:
    """Runners of two versions; the new one breaks one route."""

    def __init__(self, record, fleet):
        self._record, self._fleet = record, fleet
        self.arrivals = []  # (request id, version, seconds, whether bad)

    async def start(self, version, letter):
        """Starts three runners, one more than a loss needs."""
        runners = []
        for number in range(3):
            runner = harness.Runner(
                self._fleet.store,
                self._record,
                self._fleet.ip,
                f'i-{letter}{number}',
                SERVICE,
                version,
                self._answer,
            )
            runner.slots = 6
            await runner.start()
            runners.append(runner)
        return runners

    async def _answer(self, runner, writer, request_id, target, headers):
        await asyncio.sleep(random.uniform(*SPREAD_MS) / 1000)
        is_bad = (
            harness.TROUBLE
            and runner.version == 'v2'
            and target.startswith('/cancel/')
        )
        self.arrivals.append(
            (request_id, runner.version, self._record.now(), is_bad)
        )
        runner.reply(writer, request_id, 500 if is_bad else 200, b'y' * 800)


async def _follow_order(record, store, ordered):
    """Returns the state of the order at its end, or at its deadline."""
    state = ''
    while record.now() < ordered + ORDER_SECONDS + 1:
        status = store.get('status', f'rollout/{SERVICE}') or {}
        if status.get('State', '') != state:
            state = status['State']
            record.say(f'{record.now() - ordered:.2f} s after it:', state)
        if state in {'completed', 'rolled_back'}:
            break
        await asyncio.sleep(0.05)
    return state


def _is_held(record, versions, traffic):
    bad = [arrival for arrival in versions.arrivals if arrival[3]]
    record.say('bad answers of v2:', len(bad))
    if len(bad) < TOLERATED_BAD:
        return True
    limit = bad[TOLERATED_BAD - 1][2] + ROLLBACK_SECONDS
    late = [
        arrival
        for arrival in versions.arrivals
        if arrival[1] == 'v2' and traffic.sent[arrival[0]] > limit
    ]
    record.say(
        f'requests at v2 that were sent later than {ROLLBACK_SECONDS} s after '
        f'its 50th bad answer: {len(late)}'
    )
    return not late


async def case(record):
    """Orders the version and watches what it gets."""
    fleet = harness.Fleet(3)
    versions = Versions(record, fleet)
    await fleet.store.start()
    try:
        old = await versions.start('v1', 'a')
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        traffic = Traffic(record, fleet)
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(4)
        new = await versions.start('v2', 'b')
        await asyncio.sleep(0.5)
        ordered = record.now()
        record.say('order: move darbi to v2 in', ORDER_SECONDS, 's')
        fleet.store.put(
            'op',
            f'rollout/{SERVICE}',
            {
                'Service': SERVICE,
                'Target': 'v2',
                'DurationS': ORDER_SECONDS,
            },
        )
        state = await _follow_order(record, fleet.store, ordered)
        if state == 'completed':
            for runner in old:  # the platform stops them immediately
                runner.end()
        elif state == 'rolled_back':
            await asyncio.sleep(2)
            for runner in new:
                runner.drain()
        await asyncio.sleep(WATCH_SECONDS)
        traffic.is_over = True
        await sending
        for key, count in sorted(traffic.answers.items(), key=str):
            record.say('answers:', *key, count)
        return _is_held(record, versions, traffic)
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
