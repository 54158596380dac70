"""Steps for single draws in unusual states of an account."""

import functools
import random

import attrs
import msgspec
from behave import given, then, when

from teaseldale.budgets._draw_answers import DrawAnswers
from teaseldale.budgets._draw_messages import Draw, DrawAnswer, DrawState
from teaseldale.budgets.tests.account_fleet import (
    ACCOUNT,
    AccountFleet,
    sleep_ms,
)
from teaseldale.budgets.tests.steps_draw_demand import SlowLink
from teaseldale.budgets.tests.steps_fleet_size import (
    keepers_and_others,
    use_fast_datagrams,
)
from teaseldale.fakes import run_in_virtual_time


@when(
    'a VM without drawn tokens gets {count:d} requests of {tokens:d} tokens '
    'and one of 0 tokens'
)
def requests_before_empty_one(context, count, tokens):
    fleet = context.fleet
    _, others = keepers_and_others(fleet)

    async def workload():
        grants = others[0].grants
        queue = grants._draws._queue(grants._shards[ACCOUNT])
        for _ in range(count):
            queue.demand.record_request(tokens)
        queue.latest_tokens = 0
        context.size = grants._draws._size(queue)

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('its next draw asks for at least 1 token')
def not_empty(context):
    assert context.size is None or context.size.tokens >= 1, context.size


@given('another keeper has just spent {tokens:d} tokens')
def tokens_spent_elsewhere(context, tokens):
    context.spent_elsewhere = tokens


@when(
    'a keeper gets a draw of {tokens:d} tokens with {waiting:d} waiting and '
    '{ahead:d} ahead'
)
def single_draw(context, tokens, waiting, ahead):
    fleet = context.fleet
    use_fast_datagrams(context)
    keepers, others = keepers_and_others(fleet)
    keeper, drawer = keepers[0], others[0]
    context.answers = []

    async def workload():
        drawer.grants = None  # receives the answers below instead
        drawer.deliver = lambda datagram: context.answers.append(
            msgspec.msgpack.decode(datagram[1:], type=DrawAnswer)
        )
        spent = getattr(context, 'spent_elsewhere', 0)
        if spent:
            await fleet.request(keepers[1], spent, lasts_ms=1)
        draw = Draw(
            draw_id='vm/1/0',
            account=ACCOUNT,
            tokens=tokens,
            spare_tokens=waiting + ahead,
            prepaid_tokens=fleet.prepaid_tokens,
            drawer='vm/1',
            drawer_address=drawer.address,
            waiting_tokens=waiting,
        )
        keeper.deliver(b'd' + msgspec.msgpack.encode(draw))
        await sleep_ms(2000)

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('it pays at least {tokens:d} tokens')
def pays(context, tokens):
    paid = [
        answer.tokens
        for answer in context.answers
        if answer.state is DrawState.PAID
    ]
    assert sum(paid) >= tokens, context.answers


class EarlierAnswers(DrawAnswers):
    """Pays a draw and spare tokens, as builds before ``waiting_tokens``."""

    async def _report_pending(self, draw, pending):
        shard = self._find_shard(draw.account)
        if shard.held.waiting or not shard.waiting.can_pay(draw.tokens):
            self._send_answer(draw, pending)

    async def _pay(self, shard, draw):
        refusal = await shard.reserve(draw.tokens)
        if refusal is not None:
            self._answer(draw, refusal=refusal.code)
            return
        shard.settle(draw.tokens, draw.tokens)
        more_tokens = max(0, min(draw.spare_tokens, shard.spare_tokens))
        shard.held.spent_tokens += more_tokens
        shard.held.demand.add(more_tokens)
        self._answer(
            draw, state=DrawState.PAID, tokens=draw.tokens + more_tokens
        )

    def _build_answer(self, draw, **content):
        answer = super()._build_answer(draw, **content)
        return attrs.evolve(answer, pays_waiting=False)


@given('the keepers are of an earlier build')
def earlier_keepers(context):
    keepers, _ = keepers_and_others(context.fleet)
    for vm in keepers:
        vm.deliver = functools.partial(deliver_to_earlier, vm, vm.deliver)


def deliver_to_earlier(vm, deliver, datagram):
    if vm.grants is not None:
        vm.grants._answers.__class__ = EarlierAnswers
    deliver(datagram)


@then('at least {share:d} in 100 tokens of the account have been used')
def tokens_have_been_used(context, share):
    fleet = context.fleet
    assert fleet.used_tokens * 100 >= share * fleet.prepaid_tokens, (
        fleet.used_tokens
    )


@when(
    '78 VMs run random histories of draws with kills and cuts, seeds {first:d} '
    'to {last:d}'
)
def random_histories(context, first, last):
    context.fleets = [random_history(seed) for seed in range(first, last + 1)]


def random_history(seed):
    """Runs the load of one busy VM, which fails as soon as it overspends."""
    fleet = AccountFleet(vm_count=78, prepaid_tokens=3_000_000, seed=seed)
    keepers, others = keepers_and_others(fleet)
    busy = others[0]
    link = SlowLink(fleet=fleet, vm=busy)
    link.random = random.Random(seed)
    link.is_slow = True
    link.install()
    random_source = random.Random(seed)
    fleet.fault_count = 0

    async def fail():
        while True:
            await sleep_ms(random_source.randint(500, 2000))
            vm = random_source.choice([busy, *keepers])
            fleet.fault_count += 1
            if random_source.random() < 0.4:
                vm.table.down = True
                await sleep_ms(random_source.randint(300, 3000))
                vm.table.down = False
            else:
                vm.kill()
                await sleep_ms(random_source.randint(100, 1500))
                await fleet.start(vm)

    async def workload():
        fleet.tasks.start_soon(fail)
        for _ in range(60 * 10):
            vm = busy
            if random_source.random() < 0.1:
                vm = random_source.choice(others)
            tokens = random_source.randint(1000, 15_000)
            used = random_source.randint(tokens // 2, tokens)
            fleet.tasks.start_soon(
                functools.partial(fleet.request, vm, tokens, used=used)
            )
            await sleep_ms(1000 / 60)
        await sleep_ms(1500)

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))
    return fleet


@then('none of the histories overspends the account')
def none_overspent(context):
    for fleet in context.fleets:
        fleet.check()
        assert fleet.fault_count and fleet.served_count > 50, (
            fleet.fault_count,
            fleet.served_count,
        )
