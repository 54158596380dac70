"""Steps for accounts while the store returns from older copies."""

import contextlib
import functools
from unittest import mock

import attrs
import msgspec
from behave import given, then, when

from teaseldale.budgets import _account_era
from teaseldale.budgets._account_rows import (
    ACCOUNTS_TABLE,
    GRANTS_KEY,
    SpendingMark,
)
from teaseldale.budgets.tests.account_fleet import (
    ACCOUNT,
    AccountFleet,
    sleep_ms,
)
from teaseldale.budgets.tests.owed_requests import PowerLoss
from teaseldale.budgets.tests.store_returns import (
    ReturnsRun,
    StoreReturn,
    random_run,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.tables import Conflicted

_join_account = _account_era.join_account


def _join_without_grant(state, joining):
    return _join_account(state, attrs.evolve(joining, granted_tokens=0))


_FAULTS = {
    'an era that is not read': functools.partial(
        mock.patch.object,
        _account_era.AccountEra,
        'is_joined',
        property(lambda era: True),
    ),
    'a grant that is not confirmed': functools.partial(
        mock.patch.object, _account_era, 'join_account', _join_without_grant
    ),
    'VMs that are not awaited': functools.partial(
        mock.patch.object,
        _account_era.AccountEra,
        '_awaited_when_opened',
        lambda era, found: (),
    ),
    'transactions that do not check their era': functools.partial(
        mock.patch.object, _account_era.AccountEra, 'checks', lambda era: ()
    ),
}


@given('random histories of {count:d} VMs whose store returns {how}')
def random_histories(context, count, how):
    context.vm_count = count
    context.keeps_rows = how == 'without a loss'


@when('the histories with the seeds {first:d} to {last:d} are played')
def histories_played(context, first, last):
    context.overspent = {}
    for seed in range(first, last + 1):
        run = random_run(
            seed, vm_count=context.vm_count, keeps_rows=context.keeps_rows
        )
        run.play()
        context.overspent[seed] = run.fleet.overspent_share


@then('no account of them is overspent')
def none_overspent(context):
    found = {seed: over for seed, over in context.overspent.items() if over}
    assert not found, found


@when('all VMs lose power for 1.2 s, half a second before the store returns')
def power_lost_during_return(context):
    faults = (
        StoreReturn(at_s=20, away_s=1, copy_age_s=4),
        PowerLoss(at_s=19.5, down_s=1.2),
    )
    context.results = [
        ReturnsRun(vm_count=context.vm_count, seed=seed, faults=faults).play()
        for seed in (1, 2, 3)
    ]


class ForgetfulStore:
    """Commits to a fleet's store, with a copy from before each of them."""

    def __init__(self, state):
        self.state = state
        self.copies = []
        self.outcomes = []
        self._commit = state.commit
        state.commit = self.commit

    def commit(self, transaction):
        copy = self.state.copy()
        outcome = self._commit(transaction)
        self.outcomes.append(outcome)
        if not isinstance(outcome, Conflicted):
            self.copies.append(copy)
        return outcome


def eras_fleet(count, tokens):
    fleet = AccountFleet(vm_count=count, prepaid_tokens=tokens)
    fleet.state.era = 7
    fleet.datagram_seconds = (0.002,)
    return fleet


@given('{count:d} VMs of a store with eras and an account of 100,000 tokens')
def small_fleet(context, count):
    context.fleet = eras_fleet(count, 100_000)


async def cut_off_while_store_returns(fleet, requests):
    first, second = fleet.vms
    copy = fleet.state.copy()
    await fleet.request(second, 60_000)
    await sleep_ms(1500)
    second.table.down = True
    fleet.state.return_from(copy)
    for _ in range(requests):
        fleet.tasks.start_soon(fleet.request, first, 8000)
        await sleep_ms(300)


@when(
    'VM 2 uses 60,000 tokens, and the store forgets it while VM 2 is cut off '
    'from it'
)
def forgets_vm(context):
    context.test_body = cut_off_while_store_returns


@when('{count:d} requests for 8,000 tokens each arrive at VM 1')
def requests_arrive(context, count):
    fleet = context.fleet

    async def workload():
        await context.test_body(fleet, count)
        context.used_while_cut = fleet.used_tokens
        fleet.vms[1].table.down = False
        await sleep_ms(3000)
        for _ in range(count):
            await fleet.request(fleet.vms[0], 8000)

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('at most 100,000 tokens are used')
def not_overspent(context):
    assert context.used_while_cut <= 100_000, context.used_while_cut


@then('all but 8,000 are used once VM 2 reaches the store again')
def used_up(context):
    used = context.fleet.used_tokens
    assert 92_000 <= used <= 100_000, used


@attrs.frozen(kw_only=True)
class EarlierKeeperRow:
    """Row of a keeper as builds without eras decode it."""

    incarnation: str
    address: str
    mark: SpendingMark
    spent_tokens: int = 0


@when('an earlier build reads the rows of the account')
def earlier_build_reads(context):
    fleet = context.fleet
    run_in_virtual_time(
        functools.partial(fleet.run_workload, lambda: sleep_ms(1000))
    )
    rows = fleet.state.scan(
        table=ACCOUNTS_TABLE, prefix='', after_revision=0, part=ACCOUNT
    )
    context.keepers = {}
    for row in rows:
        if row.key == GRANTS_KEY:
            continue
        keeper = msgspec.msgpack.decode(row.value, type=EarlierKeeperRow)
        if row.key.startswith('keeper/'):
            context.keepers[row.key] = keeper
    context.row_count = len(rows)


@then('it finds the rows of {count:d} keepers')
def finds_keepers(context, count):
    assert len(context.keepers) == count, context.keepers
    assert context.row_count == count + 2, context.row_count


def rounds_of(vm):
    return vm.grants._shards[ACCOUNT].rounds


async def lose_first_transaction(fleet):
    second = fleet.vms[1]
    copy = fleet.state.copy()
    rounds_of(second)._plan.assigned.is_keeper_of = lambda account: False
    await sleep_ms(1500)
    fleet.state.return_from(copy)
    second.table.late_commits = True
    second.table.late_commit_ms = 60_000
    second.table.eras.observe(fleet.state.era)
    await sleep_ms(400)
    second.table.late_commits = False


@when(
    'VM 2 is keeper no more, and its first transaction after a return of the '
    'store is lost'
)
def first_transaction_lost(context):
    fleet = context.fleet

    async def workload():
        await lose_first_transaction(fleet)
        await sleep_ms(3000)
        context.awaited = rounds_of(fleet.vms[0]).era.awaited_vms
        context.is_joined = rounds_of(fleet.vms[0]).era.is_joined

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('no VM of the account is awaited 3 s later')
def none_awaited(context):
    assert context.is_joined
    assert not context.awaited, context.awaited


async def late_transaction(fleet, store):
    table = fleet.vms[0].table
    await fleet.request(fleet.vms[0], 100)
    await sleep_ms(5000)
    table.late_commits = True
    table.late_commit_ms = 1000
    sent_count = table.commit_count
    while table.commit_count == sent_count:
        await sleep_ms(1)
    await sleep_ms(10)
    fleet.state.return_from(store.copies[-1])
    table.late_commits = False
    known = len(store.outcomes)
    await sleep_ms(985)
    return store.outcomes[known:]


def play_late_transaction(fleet):
    store = ForgetfulStore(fleet.state)
    outcomes = []

    async def workload():
        outcomes.extend(await late_transaction(fleet, store))
        await sleep_ms(10)
        outcomes.append(store.outcomes[-1])

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))
    return outcomes


@when(
    'a transaction is late by 1,000 ms, and the store returns without the one '
    'before it'
)
def late_by(context):
    context.outcomes = play_late_transaction(context.fleet)


@then('the late transaction is not applied')
def not_applied(context):
    assert len(context.outcomes) > 1, context.outcomes
    assert isinstance(context.outcomes[-1], Conflicted), context.outcomes


@given('the fault of {fault}')
def planted_fault(context, fault):
    context.fault = _FAULTS[fault]


@then('the history with seed {seed:d} notices it')
def history_notices(context, seed):
    run = random_run(seed, vm_count=6)
    with context.fault():
        run.play()
    assert run.fleet.overspent_share > 0


@then('the VM that is cut off notices it')
def cut_off_notices(context):
    context.fleet = eras_fleet(2, 100_000)
    context.test_body = cut_off_while_store_returns
    with context.fault(), contextlib.suppress(BaseExceptionGroup):
        requests_arrive(context, 12)
    assert context.fleet.used_tokens > 100_000, context.fleet.used_tokens


@then('the late transaction notices it')
def late_notices(context):
    with context.fault():
        outcomes = play_late_transaction(eras_fleet(1, 100_000))
    assert not isinstance(outcomes[-1], Conflicted), outcomes
