"""Process of a plain service with large answers.

Run as ``python -m teaseldale.entry.tests.large_service ADDRESS``. It answers
each request with ``ANSWER_BYTES``.
"""

import functools
import sys

import anyio

from teaseldale.command._event_loop import run_until_signal
from teaseldale.web import EmbeddedServer

ANSWER_BYTES = 500_000
_HEADERS = ((b'content-type', b'application/octet-stream'),)


async def _respond(exchange):
    await exchange.answer(200, b'x' * ANSWER_BYTES, _HEADERS)


async def _serve(address, shutdown):
    async with anyio.create_task_group() as tasks:
        await EmbeddedServer(address=address, respond=_respond).start(tasks)
        await shutdown.wait()
        tasks.cancel_scope.cancel()


if __name__ == '__main__':
    run_until_signal(functools.partial(_serve, sys.argv[1]))
