"""Naive forwarding path, the baseline for the path measurements.

It uses the default event loop and the default network backend of httpcore.
Each event is decoded, encoded again and written on its own; there are no
accounts, budgets or retries.
"""

import itertools
import sys

import httpcore
import msgspec
import uvicorn


class NaivePath:
    """Forwards chat completions to engines in round-robin order."""

    def __init__(self, engines):
        """Creates a connection pool for the engines' addresses."""
        self._engines = itertools.cycle(engines)
        self._numbers = itertools.count()
        self._pool = httpcore.AsyncConnectionPool(max_connections=4096)

    async def __call__(self, scope, receive, send):
        """Handles one ASGI request; streams the engine's events back."""
        body = b''
        more = True
        while more:
            message = await receive()
            body += message.get('body', b'')
            more = message.get('more_body', False)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', b'text/event-stream')],
            }
        )
        async with self._pool.stream(
            'POST',
            f'http://{next(self._engines)}/v1/chat/completions',
            headers={'x-request-id': str(next(self._numbers))},
            content=body,
            extensions={'timeout': {'read': 10}},
        ) as response:
            buffer = b''
            async for chunk in response.aiter_stream():
                *events, buffer = (buffer + chunk).split(b'\n\n')
                for event in events:
                    await self._forward(send, event.removeprefix(b'data: '))
        await send({'type': 'http.response.body', 'body': b''})

    async def _forward(self, send, payload):
        if payload != b'[DONE]':
            payload = msgspec.json.encode(msgspec.json.decode(payload))
        await send(
            {
                'type': 'http.response.body',
                'body': b''.join((b'data: ', payload, b'\n\n')),
                'more_body': True,
            }
        )


def main(port, *engines):
    """Serves on a loopback port until interrupted."""
    uvicorn.run(
        NaivePath(engines),
        host='127.0.0.1',
        port=int(port),
        loop='asyncio',
        http='httptools',
        log_config=None,
        access_log=False,
        lifespan='off',
        ws='none',
        timeout_keep_alive=75,
    )


if __name__ == '__main__':
    main(*sys.argv[1:])
