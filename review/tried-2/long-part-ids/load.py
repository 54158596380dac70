"""Clients that send prompts with long part ids on kept channels.

Run as ``load.py IP PORT CONNECTIONS DIGITS``, with the length of the ids; prints
once a second the requests sent and answered so far.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

from fleet import HOST, read_answer  # noqa: E402
from http_text import encode  # noqa: E402

_PATH = '/lohu930/2f'


class Load:
    """Counts of all connections."""

    def __init__(self, address, digits):
        self._address = address
        self._digits = digits
        self.sent = 0
        self.answers = {}  # count by status

    async def run(self, number):
        """Sends requests one after another, on a new channel after a loss."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
                while await self._send(f'{number}-{self.sent}', reader, writer):
                    pass
                writer.close()
            except (OSError, ValueError, asyncio.IncompleteReadError):
                self._count('cut')
            await asyncio.sleep(0.05)

    async def _send(self, request_id, reader, writer):
        part_id = os.urandom(self._digits // 2).hex()
        headers = [
            ('Host', HOST),
            ('X-Request-Id', f'{os.getpid()}-{request_id}'),
            ('X-Deadline-Ms', '10000'),
            ('X-Model', 'm'),
            ('X-Token-Usage', '20,9'),
            ('X-Prompt-Prefix', f'{part_id}:20'),
            ('Content-Length', '2'),
        ]
        writer.write(encode(f'POST {_PATH} HTTP/1.1', headers, b'{}'))
        self.sent += 1
        answer = await read_answer(reader)
        if answer is None:
            self._count('cut')
            return False
        self._count(answer.status)
        return (answer.header('connection') or '') != 'close'

    def _count(self, outcome):
        self.answers[outcome] = self.answers.get(outcome, 0) + 1


async def _main(ip, port, count, digits):
    load = Load((ip, int(port)), int(digits))
    tasks = [asyncio.create_task(load.run(n)) for n in range(int(count))]
    while tasks:
        await asyncio.sleep(1)
        sys.stdout.write(f'{load.sent} {load.answers}\n')
        sys.stdout.flush()


asyncio.run(_main(*sys.argv[1:]))
