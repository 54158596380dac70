"""Steps for spending under single and combined faults."""

import uuid
from unittest import mock

import anyio
import attrs
from behave import then, when

from teaseldale.answers import StoredAnswer
from teaseldale.budgets.tests.fleet import (
    Call,
    EmbeddedFleet,
    billed_tokens,
    grants,
    ledgers,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.outcomes import RefusalCode
from teaseldale.requests import SpendingHolder
from teaseldale.requests._bill_replication import BillReplicator
from teaseldale.requests._intent_guard import IntentGuard
from teaseldale.tables import RetryingTableService

_LONG_DURATION_MS = 1500


async def retry_finished(fleet):
    call = Call(key='a')
    first = await fleet.ask(0, call)
    second = await fleet.ask(1, call)
    third = await fleet.ask(2, call)
    assert first == second == third, (first, second, third)
    assert fleet.executions['a'] == 1, fleet.executions


async def retry_running(fleet):
    call = Call(key='a', duration_ms=_LONG_DURATION_MS)
    outcomes = []

    async def ask(index):
        outcomes.append(await fleet.ask(index, call))

    async with anyio.create_task_group() as tasks:
        for index in range(4):
            tasks.start_soon(ask, index)
            await anyio.sleep(0.2)
    assert len(set(outcomes)) == 1, outcomes
    assert fleet.executions['a'] == 1, fleet.executions


async def reuse_key(fleet):
    await fleet.ask(0, Call(key='a'))
    refused = await fleet.ask(1, Call(key='a', body='other'))
    assert refused.code is RefusalCode.KEY_REUSED, refused
    assert refused.status == 409, refused


async def recall_idle(fleet):
    for index in range(4):
        await fleet.ask(index, Call(key=f'small-{index}', used_tokens=10))
    rest = 1000 - 40
    outcome = await fleet.ask(3, Call(key='a', tokens=rest, used_tokens=rest))
    assert isinstance(outcome, StoredAnswer), outcome
    refused = await fleet.ask(0, Call(key='b', tokens=1))
    assert refused.code is RefusalCode.BUDGET_EXHAUSTED, refused
    assert refused.not_run, refused


async def expire_grant(fleet):
    await fleet.ask(0, Call(key='a'))
    fleet.set_table(down=True)
    await anyio.sleep(30)
    served = await fleet.ask(0, Call(key='b', tokens=60))
    assert isinstance(served, StoredAnswer), served
    await anyio.sleep(40)
    refused = await fleet.ask(0, Call(key='c', tokens=60))
    assert refused.code is RefusalCode.BUDGET_UNAVAILABLE, refused
    assert fleet.executions['c'] == 0, fleet.executions
    fleet.set_table(down=False)


async def lose_answer(fleet):
    fleet.set_table(lose_answers=True)
    call = Call(key='a')
    await fleet.ask(0, call)
    fleet.set_table(lose_answers=False)
    await anyio.sleep(5)
    assert isinstance(await fleet.ask(1, call), StoredAnswer)
    assert fleet.executions['a'] == 1, fleet.executions


async def kill_vm_during_outage(fleet):
    await fleet.ask(0, Call(key='a'))
    await anyio.sleep(2)
    fleet.set_table(down=True)
    await fleet.ask(0, Call(key='b', tokens=70))
    fleet.kill('vm-0')
    fleet.fabric.unlist('vm-0')
    await anyio.sleep(5)
    fleet.set_table(down=False)
    await anyio.sleep(20)
    held = {grant.holder for grant in grants(fleet.state)}
    assert not any(holder.startswith('vm-0') for holder in held), held
    assert isinstance(await fleet.ask(1, Call(key='b')), StoredAnswer)
    assert fleet.executions['b'] == 1, fleet.executions


async def top_up_in_partition(fleet):
    fleet.cut_zone('mill')
    spent = Call(key='a', tokens=1000, used_tokens=1000)
    assert isinstance(await fleet.ask(1, spent), StoredAnswer)
    refused = await fleet.ask(0, Call(key='b'))
    assert refused.code is RefusalCode.BUDGET_EXHAUSTED, refused
    await fleet.ledger.top_up('drafting', 500, top_up_id='first')
    assert isinstance(await fleet.ask(0, Call(key='b')), StoredAnswer)
    assert isinstance(await fleet.ask(2, Call(key='c')), StoredAnswer)
    fleet.fabric.heal()


async def pause_beyond_validity(fleet):
    call = Call(key='a', duration_ms=_LONG_DURATION_MS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.ask, 0, call)
        await anyio.sleep(0.5)
        fleet[0].gate.pause()
        await anyio.sleep(200)
        again = await fleet.ask(1, call)
        assert isinstance(again, StoredAnswer), again
        fleet[0].gate.resume()
    await anyio.sleep(20)
    assert isinstance(await fleet.ask(0, Call(key='b')), StoredAnswer)


async def replace_vm(fleet):
    await fleet.ask(0, Call(key='a'))
    fleet.kill('vm-0')
    await fleet.start_vm('vm-0')
    await anyio.sleep(20)
    held = {grant.holder for grant in grants(fleet.state)}
    assert 'vm-0.1.1' not in held, held
    assert isinstance(await fleet.ask(0, Call(key='a')), StoredAnswer)
    assert fleet.executions['a'] == 1, fleet.executions


async def commit_late(fleet):
    fleet.set_table(late_commits=True)
    refused = await fleet.ask(0, Call(key='a', tokens=800))
    assert refused.not_run, refused
    fleet.set_table(late_commits=False)
    await anyio.sleep(5)
    outcome = await fleet.ask(1, Call(key='a', tokens=800))
    assert isinstance(outcome, StoredAnswer), outcome


async def use_two_budgets(fleet):
    both = ('drafting', 'empty')
    refused = await fleet.ask(0, Call(key='a', budgets=both))
    assert refused.code is RefusalCode.BUDGET_EXHAUSTED, refused
    await fleet.ledger.top_up('empty', 100, top_up_id='first')
    outcome = await fleet.ask(0, Call(key='a', budgets=both))
    assert isinstance(outcome, StoredAnswer), outcome


async def kill_vm_during_order(fleet):
    order = Call(
        key='a', repeatable=False, duration_ms=_LONG_DURATION_MS, tokens=60
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.ask, 0, order)
        await anyio.sleep(0.5)
        fleet.kill('vm-0')
        fleet.fabric.unlist('vm-0')
        refused = await fleet.ask(1, order)
    assert refused.code is RefusalCode.IN_DOUBT, refused
    assert not refused.not_run, refused
    assert fleet.executions['a'] == 1, fleet.executions
    status = await fleet[2].registry.status(order.request)
    assert status == 'in_doubt', status
    await anyio.sleep(20)
    assert billed_tokens(fleet.state, 'drafting') == order.used_tokens
    fleet.delivered['a'] = order


async def order_without_store(fleet):
    await fleet.ask(0, Call(key='a'))
    fleet.set_table(down=True)
    order = Call(key='b', repeatable=False)
    refused = await fleet.ask(0, order)
    assert refused.code is RefusalCode.STORE_UNAVAILABLE, refused
    assert refused.not_run, refused
    assert fleet.executions['b'] == 0, fleet.executions
    fleet.set_table(down=False)
    await anyio.sleep(5)
    assert isinstance(await fleet.ask(1, order), StoredAnswer)
    assert isinstance(await fleet.ask(2, order), StoredAnswer)
    assert fleet.executions['b'] == 1, fleet.executions


async def lose_intent_answer(fleet):
    await fleet.ask(0, Call(key='a'))
    fleet.set_table(lose_answers=True)
    order = Call(key='b', repeatable=False)
    outcomes = []

    async def ask():
        outcomes.append(await fleet.ask(0, order))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await anyio.sleep(0.55)
        fleet.set_table(lose_answers=False)
    assert isinstance(outcomes[0], StoredAnswer), outcomes
    assert isinstance(await fleet.ask(1, order), StoredAnswer)
    assert fleet.executions['b'] == 1, fleet.executions


async def run_on_both_sides(fleet):
    for first in (0, 3):
        for second in (1, 2):
            fleet.fabric.cut(f'vm-{first}', f'vm-{second}')
    assert isinstance(await fleet.ask(0, Call(key='a')), StoredAnswer)
    assert isinstance(await fleet.ask(1, Call(key='a')), StoredAnswer)
    assert fleet.executions['a'] == 2, fleet.executions
    await anyio.sleep(5)
    fleet.fabric.heal()


async def shut_down(fleet):
    await fleet.ask(0, Call(key='a'))
    await fleet[0].spending.drain()
    held = {grant.holder for grant in grants(fleet.state)}
    assert not any(holder.startswith('vm-0') for holder in held), held


FAULTS = {
    'a retry elsewhere of a finished run': retry_finished,
    'a retry elsewhere of a running run': retry_running,
    'a key used for two bodies': reuse_key,
    'idle grants at other VMs': recall_idle,
    'an expired grant': expire_grant,
    'a lost answer and a retry': lose_answer,
    'a dead VM and a store that is down': kill_vm_during_outage,
    'a partition and a top-up': top_up_in_partition,
    'a pause beyond the validity': pause_beyond_validity,
    'a VM replaced under its address': replace_vm,
    'a late commit of a grant': commit_late,
    'two budgets of which one is empty': use_two_budgets,
    'an order whose VM dies': kill_vm_during_order,
    'an order while the store is down': order_without_store,
    'a lost answer of an intent': lose_intent_answer,
    'a run on each side of a partition': run_on_both_sides,
    'a graceful shutdown': shut_down,
}


def fleet_after(fault):
    """Returns the fleet after a fault was injected and healed."""

    async def main():
        async with EmbeddedFleet() as fleet:
            await fleet.ledger.create('drafting', 1000)
            await fleet.ledger.create('empty', 0)
            await FAULTS[fault](fleet)
            await anyio.sleep(30)
            fleet.check_invariant()
            return fleet

    return run_in_virtual_time(main)


def check_billing(fleet):
    """Checks that each budget is billed for exactly what was delivered."""
    for budget in ledgers(fleet.state):
        billed = billed_tokens(fleet.state, budget)
        exact = fleet.delivered_tokens(budget)
        assert billed == exact, (budget, billed, exact)


async def skip_witness(_self, _record):
    return True


async def skip_intent(_self, _opened, _links):
    return None


async def commit_with_fresh_id(self, transaction):
    async def commit():
        fresh = attrs.evolve(transaction, transaction_id=uuid.uuid4().hex)
        return await self._table.commit(fresh)

    return await self._retry(commit)


MUTATIONS = {
    'the validity check': (SpendingHolder, 'valid', property(bool)),
    'the intent row': (IntentGuard, 'commit_intent', skip_intent),
    'the transaction id': (
        RetryingTableService,
        'commit',
        commit_with_fresh_id,
    ),
    'the witness': (BillReplicator, 'replicate', skip_witness),
}


@when('spending is exercised under {fault}')
def run_under_fault(context, fault):
    context.spending_fleet = fleet_after(fault)


@then('each budget is billed for exactly what was delivered')
def billing_is_exact(context):
    check_billing(context.spending_fleet)


@when('{mutation} is disabled while spending is exercised under {fault}')
def mutate(context, mutation, fault):
    target, name, replacement = MUTATIONS[mutation]
    context.check_error = None
    with mock.patch.object(target, name, replacement):
        try:
            check_billing(fleet_after(fault))
        except (AssertionError, ExceptionGroup) as error:
            context.check_error = error


@then('a spending check fails')
def a_check_failed(context):
    assert context.check_error is not None, 'no check failed under the mutation'
