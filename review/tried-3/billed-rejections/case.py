"""Requests that a runner has rejected are charged to a prepaid account.

One runner of seven sheds part of its requests: it answers 503 with
X-Not-Executed, so they have not run. The account pays for their prompts, and
is refused with 402 while it has tokens left.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-3'))

import harness  # noqa: E402

SERVICE = 'teaseldale-lv'
RUNNER_COUNT = 7
SHED_COUNT = 1  # one of seven, 0.143 of the runners
SHED_SHARE = 0.45  # of the requests of these
PROMPT_TOKENS = 826  # as a job-summary
EVENT_COUNT = 32
STRIDE = 9  # tokens in an event
OUTPUT_TOKENS = EVENT_COUNT * STRIDE
PREPAID = 3_000_000
OWED_SHARE = 0.97  # a request that fits into it is owed
REQUESTS_PER_SECOND = 100
LONGEST_SECONDS = 75
# After the first 402 the account sends less, so that few requests are open.
LATER_REQUESTS_PER_SECOND = 4
AFTER_FIRST_SECONDS = 15
SETTLE_SECONDS = 1.5
DEADLINE_MS = 8000


def _manifest():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': 'job-summary',
                'Host': harness.HOST,
                'Prefix': '/summary/',
                'RouteKind': 'streaming',
                'TimeoutMs': DEADLINE_MS,
                'GoalMs': 800,
                'Priority': 1,
                'Service': SERVICE,
                'MaxAttempts': 1,
                'Sticky': True,
                'Resumable': False,
                'GapTargetMs': 300,
            },
        ],
        'Services': [
            {
                'Name': SERVICE,
                'HealthPath': '/healthz',
                'MaxConns': 300,
                'Engine': {
                    'Slots': 48,
                    'KvCapacityTokens': 444_000,
                    'Stride': STRIDE,
                    'Models': [{'Name': 'm'}],
                },
            },
        ],
        'Tenants': [
            {'Name': 'hule930', 'ApiKeys': ['key-1'], 'Prepaid': PREPAID},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Engines:
    """Model runners, of which some shed part of their requests."""

    def __init__(self, record, fleet):
        self._record, self._fleet = record, fleet
        self.ran = set()  # request ids
        self.shed_count = 0

    async def start(self):
        for number in range(RUNNER_COUNT):
            runner = harness.Runner(
                self._fleet.store,
                self._record,
                self._fleet.ip,
                f'i-{number}',
                SERVICE,
                'v1',
                self._answer,
            )
            runner.sheds = number < SHED_COUNT
            await runner.start()

    async def _answer(self, runner, writer, request_id, target, headers):
        if harness.TROUBLE and runner.sheds and random.random() < SHED_SHARE:
            self.shed_count += 1
            self._record.note('not run', runner.name, request_id)
            runner.reply(
                writer,
                request_id,
                503,
                b'',
                (('X-Not-Executed', '1'),),
                stamp=False,
            )
            return
        self.ran.add(request_id)
        runner.begin_stream(writer, request_id)
        for number in range(1, EVENT_COUNT + 1):
            event = b'id: %d\ndata: token\n\n' % number
            writer.write(harness.chunk(event))
            await writer.drain()
            await asyncio.sleep(0.004)
        writer.write(b'0\r\n\r\n')


class Account:
    """Sends requests of one account and keeps its balance as the pages do."""

    def __init__(self, record, fleet, engines):
        self._record, self._engines = record, engines
        self._clients = [
            harness.Client(record, node.frontend) for node in fleet.nodes
        ]
        self._tasks = set()
        self._open = {}  # request id: most tokens, until it has settled
        self._delivered = {}  # request id: output tokens
        self.answers = {}
        self.first_denied = None  # seconds, of the first 402
        self.denied_count = 0
        self.sent_count = 0

    def consumed(self):
        """Prompts that ran, and output that was delivered."""
        prompts = PROMPT_TOKENS * len(self._engines.ran)
        return prompts + sum(self._delivered.values())

    async def run(self):
        began = self._record.now()
        while self._record.now() < began + LONGEST_SECONDS:
            if self.first_denied is not None:
                over = self._record.now() - self.first_denied
                if over > AFTER_FIRST_SECONDS:
                    break
            self.sent_count += 1
            task = asyncio.create_task(self._send(self.sent_count))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            rate = REQUESTS_PER_SECOND
            if self.first_denied is not None:
                rate = LATER_REQUESTS_PER_SECOND
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*self._tasks)

    async def _send(self, number):
        request_id = f'request-{number}'
        most = PROMPT_TOKENS + OUTPUT_TOKENS
        # Those that have not ended count at their most, besides what ran.
        fits = (
            self.consumed() + sum(self._open.values()) + most
            <= PREPAID * OWED_SHARE
        )
        self._open[request_id] = most
        answer = await random.choice(self._clients).send(
            request_id,
            'POST',
            '/summary/a',
            (
                ('X-Deadline-Ms', DEADLINE_MS),
                ('X-Model', 'm'),
                ('X-Token-Usage', f'{PROMPT_TOKENS},{OUTPUT_TOKENS}'),
                ('X-Prompt-Prefix', f'5c1e07a2:198,{number:08x}:628'),
                ('Authorization', 'Bearer key-1'),
            ),
            b'x' * 830,
            seconds=9,
        )
        status = None if answer is None else answer.status
        self.answers[status] = self.answers.get(status, 0) + 1
        if status == 200:
            events = answer.body.count(b'\n\n')
            self._delivered[request_id] = events * STRIDE
        if status == 402 and self.first_denied is None:
            self.first_denied = self._record.now()
            self._record.say(
                f'first 402 with {self.consumed()} of {PREPAID} tokens consumed'
            )
        if status == 402 and fits:
            self.denied_count += 1
        await asyncio.sleep(SETTLE_SECONDS)
        self._open.pop(request_id)


async def case(record):
    """Sends requests until the account is refused, and a little longer."""
    fleet = harness.Fleet(3)
    engines = Engines(record, fleet)
    await fleet.store.start()
    try:
        await engines.start()
        fleet.store.put('op', 'config', _manifest())
        await fleet.start()
        await asyncio.sleep(2)
        account = Account(record, fleet, engines)
        await account.run()
        consumed = account.consumed()
        record.say('answers:', account.answers)
        record.say('sent', account.sent_count, 'ran', len(engines.ran))
        record.say('rejected by runners, not run:', engines.shed_count)
        record.say(
            f'consumed {consumed} of {PREPAID}: {consumed / PREPAID:.3f}'
        )
        allowed = 5 + account.sent_count / 500
        record.say(
            f'answered 402 though owed: {account.denied_count}, '
            f'allowed {allowed:.0f}'
        )
        return account.denied_count <= allowed
    finally:
        fleet.end()


if __name__ == '__main__':
    harness.run(case, FOLDER)
