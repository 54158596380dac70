"""Stand-in of a runner: a plain service or a model engine."""

import asyncio
import time

from http_text import encode, read_body, read_head


class Runner:
    """Answers requests as ``respond`` says and records what it runs."""

    def __init__(self, name, respond, record):
        self.name = name
        self.runs = []  # ids of requests, in order
        self.address = ''
        self.born = int(time.time() * 1000)
        self.is_down = False
        self._respond = respond
        self._record = record
        self._server = None
        self._store = None
        self._writers = set()

    async def start(self, ip, store, service, slots=6):
        """Listens on a free port and registers itself."""
        self._store = store
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        self.entry = {
            'Service': service,
            'Address': self.address,
            'Zone': 'riga-a',
            'Version': 'v1',
            'Slots': slots,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Sequence': 1,
            'born': self.born,
        }
        store.put('servers', self.name, self.entry)

    async def crash(self, seconds):
        """Resets all channels; starts again at the same address later."""
        if self.is_down:
            return
        self.is_down = True
        ip, _, port = self.address.rpartition(':')
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self.is_down = False
        self.entry = {**self.entry, 'born': self.born}
        self._store.put('servers', self.name, self.entry)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                expected = message.header('x-expect-instance')
                if expected not in {None, self.name}:
                    headers = [
                        ('X-Instance-Id', self.name),
                        ('Content-Length', '0'),
                    ]
                    writer.write(encode('HTTP/1.1 421 Misdirected', headers))
                    continue
                request_id = message.header('x-request-id')
                self.runs.append(request_id)
                self._record.add('run', runner=self.name, id=request_id)
                await self._respond(self, message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def headers(self, message, *more):
        """Returns the headers of an answer to a request."""
        return [
            ('X-Request-Id', message.header('x-request-id')),
            ('X-Server-Stamp', f'3e1b.{self.name}.{len(self.runs)}'),
            *more,
        ]


async def answer_whole(runner, message, writer, body=b'x' * 800, more=()):
    """Sends a successful answer with its length."""
    length = ('Content-Length', str(len(body)))
    headers = runner.headers(message, length, *more)
    writer.write(encode('HTTP/1.1 200 OK', headers, body))
