"""Runners that encode some of their answers, large ones among them."""

import asyncio
import gzip
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

from fleet import HOST, random_ip, request, run_script  # noqa: E402
from runner import Runner, answer_whole  # noqa: E402

_RUNNERS = 3
_REQUESTS = 120
_SMALL_BYTES = 800
_LARGE_BYTES = 300_000
_LARGE_SHARE = 0.25
_SPOILT_SHARE = 0.05
_SEED = 65


def _configuration():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': 'r-lookup',
                'Host': HOST,
                'Prefix': '/cufi504/',
                'RouteKind': 'safe',
                'TimeoutMs': 4000,
                'GoalMs': 150,
                'Priority': 2,
                'Service': 'wuno96b',
                'MaxAttempts': 2,
                'Anonymous': True,
            }
        ],
        'Services': [
            {'Name': 'wuno96b', 'HealthPath': '/healthz', 'MaxConns': 100}
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [],
    }


class _Service:
    """Answers with a small or a large body, some of them encoded."""

    def __init__(self, has_trouble, record):
        self.encoded = {False: 0, True: 0}  # answers by whether they are large
        self._has_trouble = has_trouble
        self._record = record
        self._random = random.Random(_SEED)

    async def respond(self, runner, message, writer):
        """Answers one request."""
        await asyncio.sleep(0.03)
        is_large = 'large' in message.target
        size = _LARGE_BYTES if is_large else _SMALL_BYTES
        body = self._random.randbytes(size)
        is_spoilt = self._random.random() < _SPOILT_SHARE
        if not (is_spoilt and self._has_trouble):
            await answer_whole(runner, message, writer, body)
            return
        self.encoded[is_large] += 1
        request_id = message.header('x-request-id')
        self._record.add('encoded', id=request_id, is_large=is_large)
        await answer_whole(
            runner,
            message,
            writer,
            gzip.compress(body),
            more=[('Content-Encoding', 'gzip')],
        )


async def _main(fleet, record, has_trouble):
    fleet.store.put('op', 'config', _configuration())
    service = _Service(has_trouble, record)
    for number in range(_RUNNERS):
        runner = Runner(f'i-{number}', service.respond, record)
        await runner.start(random_ip(), fleet.store, 'wuno96b')
    if not await fleet.start(2):
        raise RuntimeError('a VM is not ready')
    await asyncio.sleep(3)
    wrong = []
    for number in range(_REQUESTS):
        vm = fleet.vms[number % len(fleet.vms)]
        is_large = number % round(1 / _LARGE_SHARE) == 0
        path = '/cufi504/large' if is_large else '/cufi504/small'
        answer = await request(
            vm.callers,
            f'GET {path} HTTP/1.1',
            [
                ('Host', HOST),
                ('X-Request-Id', f'lookup-{number}'),
                ('X-Deadline-Ms', '4000'),
            ],
        )
        encoding = answer and answer.header('content-encoding')
        record.add(
            'answered',
            id=f'lookup-{number}',
            status=answer and answer.status,
            encoding=encoding,
            body_bytes=answer and len(answer.body),
        )
        if answer and answer.status == 200 and encoding:
            wrong.append(f'lookup-{number}')
    record.add(
        'verdict',
        wrong=wrong,
        encoded_small=service.encoded[False],
        encoded_large=service.encoded[True],
    )
    return 1 if wrong else 0


run_script(__file__, _main)
