"""A success without the signature reaches the client as a success.

Some runners spoil part of their answers: the head has lost its signature and
the body is wrong. By the pages a success counts only with the signature.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

RUNNER_COUNT = 6
SPOILING_COUNT = 3  # share 0.5 of the runners
SPOILED_SHARE = 0.02  # of their answers
REQUEST_COUNT = 1200
REQUESTS_PER_SECOND = 40
DEADLINE_MS = 1000


def _route(name, prefix, kind, service, **more):
    return {
        'Name': name,
        'Host': harness.HOST,
        'Prefix': prefix,
        'RouteKind': kind,
        'TimeoutMs': DEADLINE_MS,
        'GoalMs': 150,
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        'Anonymous': True,
        **more,
    }


def _manifest():
    return {
        'Version': 1,
        'Routes': [
            _route('crew-booking', '/book/', 'unsafe', 'darbi'),
            _route('job-lookup', '/look/', 'safe', 'darbi'),
        ],
        'Services': [
            {'Name': 'darbi', 'HealthPath': '/healthz', 'MaxConns': 300},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def _whole(request_id):
    return (f'{request_id} is done. ' * 60)[:800].encode()


class Runners:
    """Runners of which some spoil part of their answers."""

    def __init__(self, record):
        self._record = record
        self.spoiled = set()  # request ids

    async def answer(self, runner, writer, request_id, target, headers):
        await asyncio.sleep(random.uniform(0.02, 0.04))
        is_spoiled = (
            harness.TROUBLE
            and runner.spoils
            and random.random() < SPOILED_SHARE
        )
        if is_spoiled:
            self.spoiled.add(request_id)
            self._record.note('spoiled', runner.name, request_id)
        body = _whole('another' if is_spoiled else request_id)
        runner.reply(writer, request_id, 200, body, stamp=not is_spoiled)


async def case(record):
    """Sends requests and compares what the clients get."""
    fleet = harness.Fleet(3)
    runners = Runners(record)
    await fleet.store.start()
    wrong = []
    counts = {}
    try:
        for number in range(RUNNER_COUNT):
            runner = harness.Runner(
                fleet.store,
                record,
                fleet.ip,
                f'i-{number}',
                'darbi',
                'v1',
                runners.answer,
            )
            runner.spoils = number < SPOILING_COUNT
            await runner.start()
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        clients = [
            harness.Client(record, node.frontend) for node in fleet.nodes
        ]

        async def send(number):
            request_id = f'request-{number}'
            is_lookup = number % 3 == 0
            answer = await random.choice(clients).send(
                request_id,
                'GET' if is_lookup else 'POST',
                '/look/a' if is_lookup else '/book/a',
                (('X-Deadline-Ms', DEADLINE_MS),),
                b'' if is_lookup else b'x' * 600,
            )
            status = None if answer is None else answer.status
            counts[status] = counts.get(status, 0) + 1
            if status != 200 or not answer.is_whole:
                return
            stamp = answer.header('x-server-stamp')
            if stamp is None or answer.body != _whole(request_id):
                wrong.append(request_id)
                record.note('wrong success', request_id, f'stamp={stamp}')

        tasks = []
        for number in range(REQUEST_COUNT):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        record.say('answers:', counts)
        record.say('spoiled by runners:', len(runners.spoiled))
        record.say('successes without a signature:', len(wrong))
        return not wrong
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
