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
        self._respond = respond
        self._record = record
        self._server = None

    async def start(self, ip, store, service, slots=6):
        """Listens on a free port and registers itself."""
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

    async def _serve(self, reader, writer):
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
            writer.close()

    def headers(self, message, *more):
        """Returns the headers of an answer to a request."""
        return [
            ('X-Request-Id', message.header('x-request-id')),
            ('X-Server-Stamp', f'3e1b.{self.name}.{len(self.runs)}'),
            *more,
        ]


async def answer_whole(
    runner, message, writer, body=b'x' * 800, status='200 OK'
):
    """Sends an answer with its length."""
    length = ('Content-Length', str(len(body)))
    headers = runner.headers(message, length)
    writer.write(encode(f'HTTP/1.1 {status}', headers, body))
