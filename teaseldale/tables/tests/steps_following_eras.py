"""Steps for followers of a store that returns from an older copy."""

import random

import anyio
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

_TABLE = 'entries'


class FollowedView:
    """Rows of a follower by key."""

    def __init__(self):
        self.rows = {}

    def replace(self, rows):
        self.rows = {}
        self.change(rows)

    def change(self, rows):
        for row in rows:
            self.rows[row.key] = row.value


def write_row(state, key, content):
    state.commit(
        make_transaction(
            checks=(),
            writes=(RowWrite(table=_TABLE, key=key, value=content),),
        ),
    )


def written_rows(state):
    rows = state.scan(table=_TABLE, prefix='', after_revision=0)
    return {row.key: row.value for row in rows}


@given('a follower of a store with eras that has read 30 rows')
def followed_store(context):
    context.state = InMemoryTable()
    context.state.era = 1
    context.view = FollowedView()


@when(
    'the store returns without the last 20 of them, {count:d} others are '
    'written, and it answers again after {away_ms:d} ms'
)
def store_returns(context, count, away_ms):
    state = context.state

    async def test_body():
        follower = TableFollower(
            feed=FakeTableService(state=state, random_source=random.Random(1)),
            table=_TABLE,
            clock=VirtualClock(),
            metrics=Metrics(),
            on_snapshot=context.view.replace,
            on_changes=context.view.change,
        )
        async with anyio.create_task_group() as tasks:
            for number in range(10):
                write_row(state, f'row-{number}', b'first')
            copy = state.copy()
            tasks.start_soon(follower.run)
            for later in range(10, 30):
                write_row(state, f'row-{later}', b'lost')
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            state.is_away = True
            state.return_from(copy)
            for number in range(count):
                write_row(state, f'row-{number % 12}', b'%d' % number)
            await anyio.sleep(away_ms / 1000)
            state.is_away = False
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(test_body)


@then('the follower has the rows of the store 1,500 ms later')
def has_rows(context):
    assert context.view.rows == written_rows(context.state), context.view.rows
