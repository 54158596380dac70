"""Stand-in of the platform's store: rows, transactions and the feed."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_text import encode, read_body, read_head

_PAGE_ROWS = 500
_ANSWER_SECONDS = 0.004


class Store:
    """Linearizable rows with one version counter."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.history = []  # (version, table, part, key, value or None)
        self.version = 0
        self.address = ''
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, ip):
        """Listens on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def put(self, table, key, record):
        """Writes one row as the operator or a runner does."""
        encoded = base64.b64encode(json.dumps(record).encode()).decode()
        self._apply([(table, '', key, encoded)])

    def drop(self, table, key):
        """Removes one row."""
        self._apply([(table, '', key, None)])

    def _apply(self, writes):
        self.version += 1
        for table, part, key, encoded in writes:
            if encoded is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (encoded, self.version)
            self.history.append((self.version, table, part, key, encoded))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                await asyncio.sleep(_ANSWER_SECONDS)
                status, answer = await self._respond(request)
                body = json.dumps(answer).encode()
                headers = (
                    ('Content-Type', 'application/json'),
                    ('Content-Length', str(len(body))),
                )
                writer.write(encode(f'HTTP/1.1 {status} X', headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, request):
        url = urlsplit(request.target)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        if url.path == '/-/rows-tx':
            return self._commit(json.loads(request.body))
        if url.path == '/-/rows-get':
            return 200, self._read(query)
        if url.path == '/-/rows-feed':
            return 200, await self._feed(query)
        return 404, {}

    def _commit(self, call):
        names = [
            (record['Table'], record.get('part', ''), record['Key'])
            for record in call['Expect']
        ]
        for name, record in zip(names, call['Expect'], strict=True):
            _, version = self.rows.get(name, (None, 0))
            if version != record['SchemaVersion']:
                found = [
                    self._row(known) for known in names if known in self.rows
                ]
                return 412, self._answer(found)
        self._apply(
            [
                (record['Table'], record.get('part', ''), record['Key'], value)
                for records, has_value in (
                    (call['Put'], True),
                    (call['Remove'], False),
                )
                for record in records
                for value in [record['Value'] if has_value else None]
            ]
        )
        return 200, self._answer([])

    def _read(self, query):
        table, part = query['Table'], query.get('part', '')
        first, last = query.get('From', ''), query.get('Target', '')
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (not last or name[2] < last)
        )
        limit = min(int(query.get('Limit', _PAGE_ROWS)), _PAGE_ROWS)
        answer = self._answer([self._row(name) for name in names[:limit]])
        answer['HasMore'] = len(names) > limit
        return answer

    async def _feed(self, query):
        table, after = query['Table'], int(query['AfterRevision'])
        end = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            changed = [
                entry
                for entry in self.history
                if entry[0] > after and entry[1] == table
            ]
            left = end - time.monotonic()
            if changed or left <= 0:
                return self._answer([_changed_row(*entry) for entry in changed])
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _row(self, name):
        encoded, version = self.rows[name]
        return _changed_row(version, *name, encoded)

    def _answer(self, rows):
        return {
            'Rows': rows,
            'SchemaVersion': self.version,
            'NowMs': int(time.monotonic() * 1000),
        }


def _changed_row(version, table, part, key, encoded):
    row = {'Table': table, 'part': part, 'Key': key, 'SchemaVersion': version}
    if encoded is None:
        return {**row, 'Deleted': True}
    return {**row, 'Value': encoded}
