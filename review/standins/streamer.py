"""Runner that streams events in bodies that end with their channel."""

import asyncio
import sys

from review.standins.http1 import read_head, value_of


async def handle(reader, writer, events, pause_s):
    """Serves one channel."""
    try:
        head = await read_head(reader)
        if head is None:
            return
        headers = head[1]
        await reader.readexactly(int(value_of(headers, 'content-length') or 0))
        request_id = value_of(headers, 'x-request-id')
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Connection: close\r\nX-Server-Stamp: stamp\r\n'
            b'X-Request-Id: ' + request_id.encode() + b'\r\n\r\n'
        )
        for number in range(1, events + 1):
            writer.write(b'id: %d\ndata: piece %d\n\n' % (number, number))
            await writer.drain()
            await asyncio.sleep(pause_s)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    """Listens at IP and port; then the number of events and their pause."""
    events, pause_s = int(sys.argv[3]), float(sys.argv[4])
    server = await asyncio.start_server(
        lambda reader, writer: handle(reader, writer, events, pause_s),
        sys.argv[1],
        int(sys.argv[2]),
        backlog=256,
    )
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
