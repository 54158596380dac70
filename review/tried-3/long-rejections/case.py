"""An answer is never read after a rejection with a long body.

A runner rejects every other request with 503, X-Not-Executed and a body of
30,000 bytes, and keeps the channel. The request that follows on it runs, and
gets 504 at its deadline.
"""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

LONG_BYTES = 30_000 if harness.TROUBLE else 0
ROUND_COUNT = 12
DEADLINE_MS = 2000


def _manifest():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': 'crew-booking',
                'Host': harness.HOST,
                'Prefix': '/book/',
                'RouteKind': 'unsafe',
                'TimeoutMs': 3000,
                'GoalMs': 400,
                'Service': 'darbi',
                'MaxAttempts': 1,
                'Anonymous': True,
            },
        ],
        'Services': [
            {'Name': 'darbi', 'HealthPath': '/healthz', 'MaxConns': 100},
        ],
        'Limits': {},
    }


async def _answer(runner, writer, request_id, target, headers):
    if request_id.startswith('rejected'):
        runner.reply(
            writer,
            request_id,
            503,
            b'x' * LONG_BYTES,
            (('X-Not-Executed', '1'),),
            stamp=False,
        )
    else:
        runner.reply(writer, request_id, 200, b'y' * 800)


async def case(record):
    """Sends a request that is rejected and one that runs, in turn."""
    fleet = harness.Fleet(1)
    await fleet.store.start()
    lost = 0
    try:
        runner = harness.Runner(
            fleet.store, record, fleet.ip, 'i-1', 'darbi', 'v1', _answer
        )
        await runner.start()
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        client = harness.Client(record, fleet.nodes[0].frontend)
        for number in range(ROUND_COUNT):
            for name in ('rejected', 'run'):
                answer = await client.send(
                    f'{name}-{number}',
                    'POST',
                    '/book/1',
                    (('X-Deadline-Ms', DEADLINE_MS),),
                    b'x',
                )
                status = None if answer is None else answer.status
                lost += name == 'run' and status != 200
        record.say(f'ran, and not answered: {lost} of {ROUND_COUNT}')
        return not lost
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
