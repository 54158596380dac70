"""A spoiled stream reaches the client as a success.

Some runners spoil part of their answers: the head names a Content-Encoding and
the events are not those of the run. By the pages such an answer is not the
runner's body.
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
EVENT_COUNT = 12
DEADLINE_MS = 8000


def _route(name, prefix, kind, service, **more):
    return {
        'Name': name,
        'Host': harness.HOST,
        'Prefix': prefix,
        'RouteKind': kind,
        'TimeoutMs': DEADLINE_MS,
        'GoalMs': 800,
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
            _route(
                'job-summary',
                '/summary/',
                'streaming',
                'model',
                Resumable=True,
                GapTargetMs=300,
            ),
        ],
        'Services': [
            {'Name': 'model', 'HealthPath': '/healthz', 'MaxConns': 300},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def _event(request_id, number):
    return f'id: {number}\ndata: {request_id} token {number}\n\n'.encode()


def _whole(request_id):
    return b''.join(
        _event(request_id, number) for number in range(1, EVENT_COUNT + 1)
    )


class Runners:
    """Runners of which some spoil part of their answers."""

    def __init__(self, record):
        self._record = record
        self.spoiled = set()  # request ids

    async def answer(self, runner, writer, request_id, target, headers):
        resumed_at = harness.header(headers, 'last-event-id')
        first = 1 if resumed_at is None else int(resumed_at) + 1
        is_spoiled = (
            harness.TROUBLE
            and runner.spoils
            and random.random() < SPOILED_SHARE
        )
        extra = ()
        if is_spoiled:
            self.spoiled.add(request_id)
            self._record.note('spoiled', runner.name, request_id)
            extra = (('Content-Encoding', 'br'),)
        runner.begin_stream(writer, request_id, extra)
        for number in range(first, EVENT_COUNT + 1):
            event = _event('another' if is_spoiled else request_id, number)
            writer.write(harness.chunk(event))
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b'0\r\n\r\n')


async def case(record):
    """Sends streams and compares what the clients get."""
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
                'model',
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
            answer = await random.choice(clients).send(
                request_id,
                'POST',
                '/summary/a',
                (('X-Deadline-Ms', DEADLINE_MS),),
                b'x' * 830,
            )
            status = None if answer is None else answer.status
            counts[status] = counts.get(status, 0) + 1
            if status != 200 or not answer.is_whole:
                return
            encoding = answer.header('content-encoding')
            if encoding or answer.body != _whole(request_id):
                wrong.append(request_id)
                record.note('wrong body', request_id, f'encoding={encoding}')

        tasks = []
        for number in range(REQUEST_COUNT):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        record.say('answers:', counts)
        record.say('spoiled by runners:', len(runners.spoiled))
        record.say("successes with a body that isn't the runner's:", len(wrong))
        return not wrong
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
