"""Steps for table followers, in virtual time."""

import random

import anyio
import attrs
from behave import given, then, when

from teaseldale.fakes import (
    FakeTableService,
    VirtualClock,
    run_in_virtual_time,
)
from teaseldale.metrics import Metrics
from teaseldale.tables import (
    InMemoryTable,
    RowWrite,
    TableFollower,
    make_transaction,
)

_TABLE = 'configurations'


def number(text):
    return int(text.replace(',', ''))


class SlowTable(FakeTableService):
    """Table over a slow link, whose feed sends every version of a row."""

    answer_ms = 0  # duration of an answer with rows

    def __init__(self, *, state):
        super().__init__(state=state, random_source=random.Random(1))
        self.history = []

    async def read_all(self, table, *, part=''):
        return await self._slowly(await super().read_all(table, part=part))

    async def wait_for_changes(self, table, *, after_revision, wait_ms):
        newest = await super().wait_for_changes(
            table,
            after_revision=after_revision,
            wait_ms=wait_ms,
        )
        rows = tuple(
            row
            for row in self.history
            if after_revision < row.revision <= newest.revision
        )
        self.read_bytes += sum(len(row.value) for row in rows)
        self.read_bytes -= sum(len(row.value) for row in newest.rows)
        return await self._slowly(attrs.evolve(newest, rows=rows))

    async def _slowly(self, changes):
        if changes.rows:
            await anyio.sleep(self.answer_ms / 1000)
        return changes


@given('a table follower that skips replaced versions')
def make_follower(context):
    context.state = InMemoryTable()
    context.store = SlowTable(state=context.state)
    context.answers = []


def record_answer(context, rows):
    context.answers.append([row.value[:4] for row in rows])


def write(context, version, size):
    content = version.to_bytes(4, 'big').ljust(size, b'.')
    context.state.commit(
        make_transaction(
            checks=(),
            writes=(RowWrite(table=_TABLE, key='config', value=content),),
        ),
    )
    row = context.state.read(table=_TABLE, key='config')
    context.store.history.append(row)
    context.newest = content[:4]


async def following(context, test_body):
    follower = TableFollower(
        feed=context.store,
        table=_TABLE,
        clock=VirtualClock(),
        metrics=Metrics(),
        on_snapshot=lambda rows: record_answer(context, rows),
        on_changes=lambda rows: record_answer(context, rows),
        skips_replaced=True,
    )
    async with anyio.create_task_group() as tasks:
        write(context, 0, 60_000)
        tasks.start_soon(follower.run)
        await anyio.sleep(1)
        await test_body()
        tasks.cancel_scope.cancel()


@when(
    '{count:d} versions of a row of {size} bytes are written while the store '
    'is down'
)
def write_while_down(context, count, size):
    async def test_body():
        context.store.down = True
        await anyio.sleep(2)
        for version in range(1, count + 1):
            write(context, version, number(size))
        await anyio.sleep(1)
        context.store.down = False
        context.read_bytes = context.store.read_bytes
        await anyio.sleep(1)

    run_in_virtual_time(lambda: following(context, test_body))


@when(
    '{count:d} versions of a row of {size} bytes are written within '
    '{duration_ms} ms and each answer takes {answer_ms:d} ms'
)
def write_fast(context, count, size, duration_ms, answer_ms):
    async def test_body():
        context.store.answer_ms = answer_ms
        for version in range(1, count + 1):
            write(context, version, number(size))
            await anyio.sleep(number(duration_ms) / count / 1000)
        await anyio.sleep(1.5)

    run_in_virtual_time(lambda: following(context, test_body))


@then('the follower has the newest version {duration_ms} ms after {moment}')
def has_newest(context, duration_ms, moment):
    assert context.answers[-1][-1] == context.newest, context.answers[-1]


@then('it has read fewer than {count} bytes since')
def has_read_less(context, count):
    read_bytes = context.store.read_bytes - context.read_bytes
    assert read_bytes < number(count), read_bytes


@then('no two consecutive answers contain replaced versions')
def check_no_replaced_versions(context):
    sizes = [len(rows) for rows in context.answers]
    assert max(sizes) > 1, sizes
    pairs = zip(sizes, sizes[1:], strict=False)
    assert not any(min(pair) > 1 for pair in pairs), sizes
