"""Process with the stand-in store of the platform and one runner.

Run as ``python -m teaseldale.platform.tests.store_process STORE RUNNER`` with
the addresses to listen on. It serves the calls that ``PlatformStore`` makes,
and a runner that answers each request with a body of ``x-answer-bytes``.
"""

import base64
import functools
import sys
import time

import anyio
import msgspec

from teaseldale.command._event_loop import run_until_signal
from teaseldale.platform.tests.wire_names import REQUEST_ID
from teaseldale.tables import (
    Committed,
    InMemoryTable,
    RowCheck,
    RowWrite,
    make_transaction,
)
from teaseldale.web import EmbeddedServer

BODY_LIMIT_BYTES = 16_777_216
_FEED_POLL_SECONDS = 0.02
SERVICE = 'lookup'
ROUTE_HOST = 'lookup.test'
ROUTE_PREFIX = '/lookup/'
HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304


class StoreProcess:
    """Serves the rows of the store."""

    def __init__(self, runner_address):
        self._table = InMemoryTable()
        self._write('op', 'config', _configuration())
        self._write('servers', 'runner-1', _runner(runner_address))

    async def respond(self, exchange):
        """Answers a call of the store's protocol."""
        if exchange.path == '/-/rows-tx':
            body = await exchange.body(BODY_LIMIT_BYTES)
            await exchange.answer_json(*self._commit(msgspec.json.decode(body)))
        elif exchange.path == '/-/rows-get':
            await exchange.answer_json(200, self._read(exchange))
        elif exchange.path == '/-/rows-feed':
            await exchange.answer_json(200, await self._feed(exchange))
        else:
            await exchange.answer_json(404, {})

    def _write(self, table, key, record):
        self._table.commit(
            make_transaction(
                checks=(),
                writes=(
                    RowWrite(
                        table=table,
                        key=key,
                        value=msgspec.json.encode(record),
                    ),
                ),
            ),
        )

    def _commit(self, call):
        records = (*call['Expect'], *call['Put'], *call['Remove'])
        transaction = make_transaction(
            part=records[0]['part'] if records else '',
            checks=tuple(
                RowCheck(
                    table=record['Table'],
                    key=record['Key'],
                    revision=record['SchemaVersion'],
                )
                for record in call['Expect']
            ),
            writes=tuple(
                RowWrite(
                    table=record['Table'],
                    key=record['Key'],
                    value=_decoded(record.get('Value')),
                )
                for record in (*call['Put'], *call['Remove'])
            ),
        )
        outcome = self._table.commit(transaction)
        if isinstance(outcome, Committed):
            return 200, self._answer((), outcome.revision)
        return 412, self._answer(outcome.rows, self._table.revision)

    def _read(self, exchange):
        first_key = exchange.query('From')
        end_key = exchange.query('Target')
        rows = self._table.scan(
            table=exchange.query('Table'),
            prefix='',
            after_revision=0,
            part=exchange.query('part'),
        )
        chosen = [
            row
            for row in sorted(rows, key=lambda row: row.key)
            if row.key >= first_key and (not end_key or row.key < end_key)
        ]
        return self._answer(chosen, self._table.revision)

    async def _feed(self, exchange):
        end_seconds = (
            time.monotonic() + int(exchange.query('WaitMs', '0')) / 1000
        )
        while True:
            rows = self._table.changes(
                table=exchange.query('Table'),
                after_revision=int(exchange.query('AfterRevision', '0')),
            )
            if rows or time.monotonic() >= end_seconds:
                return self._answer(rows, self._table.revision)
            await anyio.sleep(_FEED_POLL_SECONDS)

    def _answer(self, rows, revision):
        return {
            'SchemaVersion': revision,
            'NowMs': int(time.monotonic() * 1000),
            'Rows': [_encoded(row) for row in rows],
        }


def _encoded(row):
    value = None if row.value is None else base64.b64encode(row.value).decode()
    return {
        'Table': row.table,
        'part': row.part,
        'Key': row.key,
        'SchemaVersion': row.revision,
        'Value': value,
        'Deleted': row.value is None,
    }


def _decoded(encoded):
    return None if encoded is None else base64.b64decode(encoded)


def _configuration():
    return {
        'Version': 1,
        'Routes': [
            {
                'Name': SERVICE,
                'Host': ROUTE_HOST,
                'Prefix': ROUTE_PREFIX,
                'RouteKind': 'safe',
                'TimeoutMs': 60_000,
                'Service': SERVICE,
                'Anonymous': True,
            },
        ],
        'Services': [{'Name': SERVICE}],
        'Limits': {
            'MaxHeaderBytes': HEADER_BYTES,
            'MaxBodyBytes': BODY_BYTES,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15_000,
        },
    }


def _runner(address):
    return {
        'Service': SERVICE,
        'Address': address,
        'Zone': 'mill',
        'Version': 'v1',
        'Slots': 64,
        'State': 'ready',
        'born': 1,
    }


async def respond_as_runner(exchange):
    """Answers with a body of the size that the request asks for."""
    await exchange.body(BODY_LIMIT_BYTES)
    size_bytes = int(exchange.header(b'x-answer-bytes') or 2)
    request_id = exchange.header(REQUEST_ID) or ''
    await exchange.answer(
        200,
        b'x' * size_bytes,
        ((REQUEST_ID, request_id.encode()),),
    )


async def _serve(store_address, runner_address, shutdown):
    store = EmbeddedServer(
        address=store_address,
        respond=StoreProcess(runner_address).respond,
    )
    runner = EmbeddedServer(address=runner_address, respond=respond_as_runner)
    async with anyio.create_task_group() as tasks:
        await store.start(tasks)
        await runner.start(tasks)
        await shutdown.wait()
        tasks.cancel_scope.cancel()


if __name__ == '__main__':
    run_until_signal(functools.partial(_serve, sys.argv[1], sys.argv[2]))
