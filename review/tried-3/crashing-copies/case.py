"""Copies of a crashing request that come at one moment crash the runners twice.

Each runner that runs the request crashes 50 ms later and is back after two
seconds. Six copies of it come at once, again and again.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

RUNNER_COUNT = 3
COPY_COUNT = 6
BATCH_COUNT = 5
RUN_SECONDS = 0.05  # from the begin of a run to the crash
BACK_SECONDS = 2
CONTACT_SECONDS = 3  # Bounds.ContactMs
ALLOWED_COUNT = 3
DEADLINE_MS = 1000


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
                'Service': 'darbi',
                'MaxAttempts': 1,
                'Anonymous': True,
            },
        ],
        'Services': [
            {'Name': 'darbi', 'HealthPath': '/healthz', 'MaxConns': 100},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class CrashingRunner(harness.Runner):
    """Crashes under the request, and starts again at its address."""

    async def crash(self):
        """Resets all channels and refuses new ones for a while."""
        if not self.server.is_serving():
            return False
        self.record.note('crash', self.name)
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            BACK_SECONDS, lambda: asyncio.ensure_future(self.start())
        )
        return True


async def case(record):
    """Sends batches of copies, more than ``ContactMs`` apart."""
    fleet = harness.Fleet(3)
    await fleet.store.start()
    arrivals = []  # seconds
    crashes = []  # seconds

    async def answer(runner, writer, request_id, target, headers):
        arrivals.append(record.now())
        await asyncio.sleep(RUN_SECONDS)
        if await runner.crash():
            crashes.append(record.now())
        return False

    try:
        for number in range(RUNNER_COUNT):
            runner = CrashingRunner(
                fleet.store,
                record,
                fleet.ip,
                f'i-{number}',
                'darbi',
                'v1',
                answer,
            )
            runner.slots = 6
            await runner.start()
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        clients = [
            harness.Client(record, node.frontend) for node in fleet.nodes
        ]
        for batch in range(BATCH_COUNT):
            copies = COPY_COUNT if harness.TROUBLE else 1
            answers = await asyncio.gather(
                *(
                    clients[copy % len(clients)].send(
                        f'copy-{batch}-{copy}',
                        'POST',
                        '/book/new',
                        (('X-Deadline-Ms', DEADLINE_MS),),
                        b'crash',
                    )
                    for copy in range(copies)
                )
            )
            statuses = [answer and answer.status for answer in answers]
            record.say(
                f'batch {batch}: {statuses}, {len(arrivals)} arrivals, '
                f'{len(crashes)} crashes'
            )
            await asyncio.sleep(CONTACT_SECONDS + 1.5)
        late = 0
        if len(crashes) >= 3:
            limit = crashes[2] + CONTACT_SECONDS
            late = sum(seconds > limit for seconds in arrivals)
        record.say(f'late arrivals: {late}, allowed {ALLOWED_COUNT}')
        return late <= ALLOWED_COUNT
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
