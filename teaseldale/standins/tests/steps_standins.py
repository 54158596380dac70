"""Steps for the components of the stand-ins."""

import anyio
import msgspec
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.standins._engine_batch import PriorityBatch
from teaseldale.standins._engine_cache import BLOCK_CHARACTERS, PromptCache
from teaseldale.standins._engine_orders import EngineOrder, EngineOrders
from teaseldale.standins._membership import LaggingMembership
from teaseldale.tables import MemberState, VmMember
from teaseldale.web import EndpointCall, Exchange

_FIRST = 'a' * BLOCK_CHARACTERS * 3
_SECOND = 'b' * BLOCK_CHARACTERS * 3


@given('a prompt cache of {count:d} blocks')
def make_cache(context, count):
    context.cache = PromptCache(capacity_blocks=count)


@then('a prompt of 3 blocks misses {missing:d} of them')
@then('the same prompt again misses {missing:d} of them')
@then('the first prompt misses {missing:d} of them again')
def use_first(context, missing):
    assert context.cache.use(_FIRST) == missing


@then('another prompt of 3 blocks misses {missing:d} of them')
def use_second(context, missing):
    assert context.cache.use(_SECOND) == missing


@then('every block stored or evicted has an event')
def count_events(context):
    events = context.cache.events(after=0, lag_ms=0, loss_percent=0)
    stored = [event for event in events if event.action == 'stored']
    assert len(stored) == 8, events
    assert len(events) - len(stored) == 8 - 4, events


@then('100 stored blocks show no event within the lag')
def lag(context):
    for index in range(100):
        context.cache.use(f'{index:03}' + 'c' * BLOCK_CHARACTERS)
    assert not context.cache.events(after=0, lag_ms=60_000, loss_percent=0)


@then('with loss their events have gaps and keep their order')
def loss(context):
    shown = [
        event.sequence
        for event in context.cache.events(after=0, lag_ms=0, loss_percent=30)
    ]
    assert 0 < len(shown) < 196, len(shown)
    assert shown == sorted(shown)


@when('runs of priority 2, 1 and 0 wait for one place')
def wait_for_place(context):
    context.entered = []
    batch = PriorityBatch(size=1)

    async def run(priority):
        await batch.enter(priority)
        context.entered.append(priority)
        batch.leave()

    async def main():
        await batch.enter(0)
        async with anyio.create_task_group() as tasks:
            for priority in (2, 1, 0):
                tasks.start_soon(run, priority)
            await anyio.sleep(1)
            with anyio.move_on_after(1):
                await batch.enter(0)
            context.waiting = batch.waiting_count
            batch.leave()

    run_in_virtual_time(main)


@then('they are admitted in the order 0, 1, 2')
def in_order(context):
    assert context.entered == [0, 1, 2], context.entered


@then('a run that is cancelled while waiting leaves the queue')
def cancelled_while_waiting(context):
    assert context.waiting == 3, context.waiting


def _member(name):
    return VmMember(
        name=name,
        incarnation='1',
        address='127.0.0.1:1',
        availability_zone='mill',
        state=MemberState.LIVE,
    )


@then('a VM that stops announcing itself is listed only until the time-out')
def silent_vm(context):
    membership = LaggingMembership()
    membership.announce(_member('dead'), now_ms=0)
    membership.announce(_member('live'), now_ms=0)
    membership.announce(_member('live'), now_ms=9_000)
    names = [
        [
            member.name
            for member in membership.listed(
                now_ms=now_ms, lag_ms=0, timeout_ms=10_000
            )
        ]
        for now_ms in (9_999, 10_001)
    ]
    assert names == [['dead', 'live'], ['live']], names


@then('a change is visible in the list only after the lag')
def lagging(context):
    membership = LaggingMembership()
    membership.announce(_member('new'), now_ms=1_000)
    for now_ms, count in ((2_999, 0), (3_000, 1)):
        found = membership.listed(
            now_ms=now_ms, lag_ms=2_000, timeout_ms=10_000
        )
        assert len(found) == count, (now_ms, found)


@then(
    'orders with fencing numbers 2 then 1 are accepted {count:d} of 2 times '
    'if {kind}'
)
def fencing(context, count, kind):
    orders = EngineOrders(checks_fencing=kind == 'checked')
    for number in (2, 1):
        anyio.run(orders.accept, EndpointCall(exchange=_exchange(number)))
    assert len(orders.accepted()) == count, orders.accepted()


def _exchange(number):
    order = EngineOrder(
        order_id=str(number), fencing_number=number, action='load', version='v1'
    )

    async def receive():
        return {'type': 'http.request', 'body': msgspec.json.encode(order)}

    async def send(message):
        assert message['type'].startswith('http.response')

    return Exchange(scope={'headers': []}, receive=receive, send=send)
