"""Runner process whose answers end in the ways that their requests name.

Run as ``python -m teaseldale.platform.tests.ends_runner IP PORT IS_OLDER``. It
listens once its input names its id, beside other processes at the address.
"""

import asyncio
import socket
import struct
import sys

HEALTH_PATH = '/healthz'
_RESET = struct.pack('ii', 1, 0)
_RESET_AFTER_SECONDS = 0.08
# Faults after which the second half of an answer is not sent.
HALVING = frozenset(('reset', 'reset-later', 'end-then-reset'))


def pieces_of(name, request_id):
    """Returns the pieces of the whole answer to a request of this name."""
    kind, _, _, count, _, pad_bytes = name.split(',')
    pad = 'x' * int(pad_bytes)
    texts = [f'{request_id} piece {n} {pad}' for n in range(1, int(count) + 1)]
    if kind == 'streaming':
        texts = [
            f'id: {n}\ndata: {text}\n\n' for n, text in enumerate(texts, 1)
        ]
    return [text.encode() for text in texts]


class Runner:
    """Serves connections; an older one takes each path for a request."""

    def __init__(self, instance_id, is_older):
        self._instance_id = instance_id
        self._is_older = is_older

    async def serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        fields = dict(line.lower().split(': ', 1) for line in lines if line)
        await reader.readexactly(int(fields.get('content-length', 0)))
        expected = fields.get('x-expect-instance', self._instance_id)
        path = first.split(' ')[1]
        if expected != self._instance_id:
            self._write_empty(writer, '421 Misdirected\r\nX-Not-Executed: 1')
        elif path == HEALTH_PATH and not self._is_older:
            self._write_empty(writer, '200 OK')
        else:
            name = path.rsplit('/', 1)[1]
            if name.count(',') != 5:
                name = 'safe,bare,none,1,0,0'
            await self._answer(name, fields, writer)
            return False
        return True

    def _write_empty(self, writer, status):
        writer.write(
            f'HTTP/1.1 {status}\r\nX-Instance-Id: {self._instance_id}\r\n'
            'X-Server-Stamp: stamp-1\r\nContent-Length: 0\r\n\r\n'.encode()
        )

    async def _answer(self, name, fields, writer):
        kind, framing, fault, _, gap_ms, _ = name.split(',')
        request_id = fields.get('x-request-id', '')
        pieces = pieces_of(name, request_id)
        writer.write(_head(kind, framing, request_id, pieces))
        # A stream goes on after the event that the request names.
        sent = pieces[int(fields.get('last-event-id', 0)) :]
        if fault in HALVING:
            sent = sent[: len(pieces) // 2]
        for piece in sent:
            writer.write(_framed(framing, piece))
            await writer.drain()
            await asyncio.sleep(int(gap_ms) / 1000)
        if framing == 'chunks' and fault not in HALVING:
            writer.write(b'0\r\n\r\n')
        await _end(fault, writer)


def _head(kind, framing, request_id, pieces):
    length = sum(map(len, pieces))
    content = 'text/event-stream' if kind == 'streaming' else 'text/plain'
    framed_by = {
        'bare': '',
        'length': f'Content-Length: {length}\r\n',
        'chunks': 'Transfer-Encoding: chunked\r\n',
    }[framing]
    return (
        f'HTTP/1.1 200 OK\r\nContent-Type: {content}\r\nConnection: close\r\n'
        f'{framed_by}X-Server-Stamp: stamp-1\r\n'
        f'X-Request-Id: {request_id}\r\n\r\n'
    ).encode()


def _framed(framing, piece):
    return (
        b'%x\r\n%b\r\n' % (len(piece), piece) if framing == 'chunks' else piece
    )


async def _end(fault, writer):
    if fault == 'none':
        return
    if fault in ('end-then-reset', 'reset-after'):
        writer.write_eof()
    if fault != 'reset':
        await asyncio.sleep(_RESET_AFTER_SECONDS)
    if writer.is_closing():  # by the VM
        return
    channel = writer.get_extra_info('socket')
    channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


async def _main(ip, port, is_older):
    print('prepared', flush=True)
    instance_id = await asyncio.to_thread(sys.stdin.readline)
    if not instance_id:
        return
    runner = Runner(instance_id.strip(), is_older == 'older')
    server = await asyncio.start_server(
        runner.serve, ip, int(port), reuse_port=True, backlog=256
    )
    print('listening', flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
