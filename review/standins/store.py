"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It also takes rows of operators and runners, by ``POST /outside/put``.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qsl, urlsplit

from review.standins.http1 import encode, serve

_JSON = (('Content-Type', 'application/json'),)


class Store:
    """Rows with one version counter; long polls wait for changes."""

    def __init__(self, clock_base_ms):
        self._base_ms = clock_base_ms
        self._version = 100
        self._rows = {}  # (table, part, key) -> [version, value or None]
        self._changed = asyncio.Condition()

    def now_ms(self):
        """Returns the steady clock of the store."""
        return self._base_ms + time.monotonic() * 1000

    async def respond(self, request):
        """Answers one call."""
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        status, body = 404, {}
        if url.path == '/-/rows-tx':
            status, body = await self._commit(json.loads(request.body))
        elif url.path == '/outside/put':
            status, body = await self._put_outside(json.loads(request.body))
        elif url.path == '/-/rows-get':
            status, body = self._get(query)
        elif url.path == '/-/rows-feed':
            status, body = await self._feed(query)
        body['NowMs'] = self.now_ms()
        request.writer.write(encode(status, _JSON, json.dumps(body).encode()))
        await request.writer.drain()
        return True

    async def _put_outside(self, body):
        async with self._changed:
            self._version += 1
            for row in body['Put']:
                self._rows[row['Table'], '', row['Key']] = [
                    self._version,
                    row['Value'],
                ]
            self._changed.notify_all()
        return 200, {'SchemaVersion': self._version}

    async def _commit(self, body):
        await asyncio.sleep(0.004)
        async with self._changed:
            expected = [
                (_key(row), row['SchemaVersion'])
                for row in body.get('Expect') or ()
            ]
            if any(self._current(key) != has for key, has in expected):
                rows = [
                    self._encode(key)
                    for key, _ in expected
                    if self._current(key)
                ]
                return 412, {'SchemaVersion': self._version, 'Rows': rows}
            self._version += 1
            for row in body.get('Put') or ():
                self._rows[_key(row)] = [self._version, row['Value']]
            for row in body.get('Remove') or ():
                self._rows[_key(row)] = [self._version, None]
            self._changed.notify_all()
        return 200, {'SchemaVersion': self._version}

    def _current(self, key):
        version, value = self._rows.get(key, (0, None))
        return 0 if value is None else version

    def _encode(self, key):
        version, value = self._rows[key]
        row = dict(Table=key[0], part=key[1], Key=key[2], SchemaVersion=version)
        if value is None:
            row['Deleted'] = True
        else:
            row['Value'] = value
        return row

    def _get(self, query):
        first, end = query.get('From', ''), query.get('Target')
        keys = sorted(
            key
            for key, (_, value) in self._rows.items()
            if key[:2] == (query['Table'], query.get('part', ''))
            and value is not None
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        return 200, {
            'SchemaVersion': self._version,
            'Rows': [self._encode(key) for key in keys],
            'HasMore': False,
        }

    async def _feed(self, query):
        after = int(query['AfterRevision'])
        wait_s = min(int(query.get('WaitMs', 0)), 30_000) / 1000
        ends = time.monotonic() + wait_s
        async with self._changed:
            while True:
                changed = sorted(
                    (entry[0], key)
                    for key, entry in self._rows.items()
                    if key[0] == query['Table'] and entry[0] > after
                )
                left = ends - time.monotonic()
                if changed or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        return 200, {
            'SchemaVersion': self._version,
            'Rows': [self._encode(key) for _, key in changed],
        }


def _key(row):
    return row['Table'], row.get('part', ''), row['Key']


async def main():
    """Runs the store at the address given as IP and port."""
    base_ms = int(sys.argv[3]) if len(sys.argv) > 3 else 0
    store = Store(base_ms)
    server = await serve(sys.argv[1], int(sys.argv[2]), store.respond)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
