"""Runner of a plain service that reads bodies at its own pace."""

import asyncio
import socket
import sys

from review.standins.http1 import encode, read_head, value_of

PART_BYTES = 65_536


class Reader:
    """Answers each request once its body has come."""

    def __init__(self, mb_per_s):
        self._pause_s = PART_BYTES / (mb_per_s * 1e6) if mb_per_s else 0

    async def handle(self, reader, writer):
        """Serves one channel."""
        try:
            while head := await read_head(reader):
                await self._answer(reader, writer, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer, headers):
        left = int(value_of(headers, 'content-length') or 0)
        while left:
            part = await reader.read(min(left, PART_BYTES))
            if not part:
                raise ConnectionResetError
            left -= len(part)
            if self._pause_s:
                await asyncio.sleep(self._pause_s * len(part) / PART_BYTES)
        request_id = value_of(headers, 'x-request-id')
        writer.write(
            encode(
                200,
                (('X-Request-Id', request_id), ('X-Server-Stamp', 'stamp')),
                b'stored',
            )
        )
        await writer.drain()


async def main():
    """Listens at the IP and port given; the third argument is in MB/s."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # The windows of the platform's links are small.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
    listener.bind((sys.argv[1], int(sys.argv[2])))
    server = await asyncio.start_server(
        Reader(float(sys.argv[3])).handle,
        sock=listener,
        limit=PART_BYTES,
        backlog=256,
    )
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
