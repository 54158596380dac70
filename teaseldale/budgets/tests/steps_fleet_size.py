"""Steps that compare the load of accounts on a VM across fleet sizes."""

import functools
import random

import anyio
import attrs
from behave import given, then, when

from teaseldale.budgets._account_rows import (
    AccountRow,
    HolderKey,
    KeeperRow,
    MarkedAccount,
    SpendingMark,
    decode_account_row,
    keeper_key,
    row_write,
)
from teaseldale.budgets.tests.account_fleet import (
    ACCOUNT,
    AccountFleet,
    sleep_ms,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.members import KEEPER_COUNT, FixedMembers, rank_by_hash
from teaseldale.tables import RowWrite, make_transaction

_ACCOUNTS = tuple(f'account-{number}' for number in range(24))
_TOKENS = 1000
_ROUNDING = 10  # tolerated difference at the edges of a time window, in calls


@given('fleets of 8, 80 and 320 VMs with 24 accounts')
def fleets(context):
    context.fleets = [
        AccountFleet(
            vm_count=count,
            prepaid_tokens=100_000_000,
            accounts=_ACCOUNTS,
        )
        for count in (8, 80, 320)
    ]
    for fleet in context.fleets:
        fleet.datagram_seconds = (0.002,)


@when('each VM runs {per_s:d} requests a second for {seconds:d} s')
def run_fleets(context, per_s, seconds):
    context.requests_each = per_s * seconds
    context.usage = [
        run_in_virtual_time(
            functools.partial(measured, fleet, per_s, seconds),
        )
        for fleet in context.fleets
    ]


async def measured(fleet, per_s, seconds):
    usage = []

    async def workload():
        before = [counts_of(vm) for vm in fleet.vms]
        async with anyio.create_task_group() as loads:
            for vm in fleet.vms:
                loads.start_soon(load, fleet, vm, per_s, seconds)
        after = [counts_of(vm) for vm in fleet.vms]
        usage.extend(
            {name: later[name] - first[name] for name in first}
            for first, later in zip(before, after, strict=True)
        )

    await fleet.run_workload(workload)
    return usage


async def load(fleet, vm, per_s, seconds):
    random_source = random.Random(vm.number)
    await sleep_ms(random_source.uniform(0, 1000 / per_s))
    for _ in range(per_s * seconds):
        fleet.tasks.start_soon(
            functools.partial(
                fleet.request,
                vm,
                _TOKENS,
                account=random_source.choice(_ACCOUNTS),
            ),
        )
        await sleep_ms(1000 / per_s)


def counts_of(vm):
    return {
        'calls': vm.table.commit_count + vm.table.read_count,
        'commits': vm.table.commit_count,
        'bytes': vm.table.read_bytes + vm.table.written_bytes,
        'datagrams': vm.sent_count,
        'conflicts': vm.metrics.counter_value('grant_conflicts'),
    }


def max_count(usage, name):
    return max(counts[name] for counts in usage)


@then(
    'no VM of a larger fleet makes more than twice the store calls of a '
    'VM in the smallest fleet'
)
def calls_bounded(context):
    check_bounded(context, 'calls', _ROUNDING)


@then('no VM of a larger fleet reads or writes more than twice the bytes')
def bytes_bounded(context):
    check_bounded(context, 'bytes', 0)


def check_bounded(context, name, spare):
    smallest, *larger = [max_count(usage, name) for usage in context.usage]
    for maximum in larger:
        assert maximum <= 2 * smallest + spare, (name, smallest, larger)


@then('no VM sends more than {count:d} datagrams for each of its requests')
def datagrams_bounded(context, count):
    for usage in context.usage:
        maximum = max_count(usage, 'datagrams')
        assert maximum <= count * context.requests_each, (len(usage), maximum)


@then('fewer than 1 in 100 transactions conflict in each fleet')
def few_conflicts(context):
    for usage in context.usage:
        commits = sum(counts['commits'] for counts in usage)
        conflicts = sum(counts['conflicts'] for counts in usage)
        assert conflicts * 100 < max(commits, 1), (conflicts, commits)


@then('no request of these fleets is refused')
def none_refused(context):
    for fleet in context.fleets:
        assert not fleet.refusals, (len(fleet.vms), fleet.refusals[:2])


@when(
    'two keepers are killed while each VM runs {per_s:d} requests of '
    '{tokens:d} tokens a second for {seconds:d} s'
)
def keepers_killed(context, per_s, tokens, seconds):
    fleet = context.fleet
    use_fast_datagrams(context)

    async def workload():
        keepers, others = keepers_and_others(fleet)
        async with anyio.create_task_group() as loads:
            for vm in others:
                loads.start_soon(
                    functools.partial(
                        fleet.load,
                        vm,
                        tokens=tokens,
                        per_s=per_s,
                        duration_ms=seconds * 1000,
                    ),
                )
            await sleep_ms(3000)
            for vm in keepers[:2]:
                vm.kill()
        await sleep_ms(1000)

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


def keepers_and_others(fleet):
    """Returns the keepers of the account and all other VMs."""
    names = rank_by_hash(ACCOUNT, [vm.name for vm in fleet.vms])[:KEEPER_COUNT]
    keepers = [vm for vm in fleet.vms if vm.name in names]
    return keepers, [vm for vm in fleet.vms if vm.name not in names]


@when(
    'VMs that are not keepers draw {drawn} tokens and use {used} of them',
)
def draw_tokens(context, drawn, used):
    context.drawn = int(drawn.replace(',', ''))
    context.used = int(used.replace(',', ''))


@when('the fleet idles for 2 s')
def pass_time(context):
    context.pause_ms = 2000


@then('another VM can use {tokens} tokens immediately')
def others_can_use(context, tokens):
    fleet = context.fleet
    expected_tokens = int(tokens.replace(',', ''))
    use_fast_datagrams(context)

    async def workload():
        _, others = keepers_and_others(fleet)
        size = context.drawn // 10
        async with anyio.create_task_group() as requests:
            for number in range(10):
                requests.start_soon(
                    functools.partial(
                        fleet.request,
                        others[number],
                        size,
                        used=context.used // 10,
                    ),
                )
        assert not fleet.refusals, fleet.refusals
        await sleep_ms(context.pause_ms)
        before = fleet.used_tokens
        for _ in range(expected_tokens // 1000):
            await fleet.request(others[-1], 1000, lasts_ms=1)
        assert fleet.used_tokens - before == expected_tokens, fleet.refusals[:2]

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@when(
    'VM 1 stops being a keeper and another keeper changes the row while it '
    'returns tokens'
)
def return_conflicts(context):
    fleet = context.fleet

    async def workload():
        vm = fleet.vms[0]
        await fleet.request(vm, 1000, lasts_ms=10)
        commit = vm.table.commit
        context.conflict_count = 0

        async def late_commit(transaction):
            changes = {write.key: write for write in transaction.writes}
            if 'grants' in changes and not context.conflict_count:
                context.conflict_count += 1
                row = stored_row(vm, 'grants')
                fleet.state.commit(
                    make_transaction(
                        checks=(),
                        writes=(
                            RowWrite(
                                table=row.table,
                                key=row.key,
                                value=row.value,
                            ),
                        ),
                        part=ACCOUNT,
                    ),
                )
            return await commit(transaction)

        vm.table.commit = late_commit
        vm.grants._shards[ACCOUNT].rounds._plan.assigned.is_keeper_of = (
            lambda account: False
        )
        await sleep_ms(2500)
        decoded = decode_account_row(stored_row(vm, 'grants')).row
        context.stored = sum(decoded.granted_tokens.values())

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


def stored_row(vm, key):
    rows = vm.table.state.scan(
        table='account_grants',
        prefix=key,
        after_revision=0,
        part=ACCOUNT,
    )
    return rows[0]


@then('the store has granted VM 1 only the {spent} tokens that it spent')
def nothing_held(context, spent):
    assert context.conflict_count == 1
    assert context.stored == int(spent.replace(',', '')), context.stored


class GrowingMembers(FixedMembers):
    """A member list to which VMs are added one after another."""

    def __init__(self, *, entries):
        super().__init__(entries={})
        self.pending = dict(entries)
        self.notices = []
        self.count = 0

    @property
    def revision(self):
        return self.count

    @property
    def is_settled(self):
        return not self.pending

    def add_change_listener(self, notice):
        self.notices.append(notice)

    def add_one(self):
        name = next(iter(self.pending))
        self._entries[name] = self.pending.pop(name)
        self.count += 1
        for notice in self.notices:
            notice()


@when('the VMs are added to the member list one after another')
def add_members_slowly(context):
    fleet = context.fleet
    fleet.members = GrowingMembers(entries=fleet.members.entries())

    async def workload():
        while fleet.members.pending:
            fleet.members.add_one()
            await sleep_ms(40)
        await sleep_ms(3000)
        decoded = decode_account_row(stored_row(fleet.vms[0], 'grants')).row
        context.stored = {
            key.partition('/')[0]: tokens
            for key, tokens in decoded.granted_tokens.items()
        }

    run_in_virtual_time(functools.partial(fleet.run_workload, workload))


@then('only keepers hold tokens')
def only_keepers(context):
    keepers, others = keepers_and_others(context.fleet)
    for vm in others:
        assert not context.stored.get(vm.name, 0), (vm.name, context.stored)
    assert all(context.stored[vm.name] > 0 for vm in keepers), context.stored


@when('a former keeper {state}, having spent {spent} of {held} tokens at most')
def former_keeper(context, state, spent, held):
    fleet = context.fleet
    _, others = keepers_and_others(fleet)
    holder = HolderKey(vm_name=others[0].name, incarnation='earlier')
    entries = fleet.members.entries()
    if state == 'has restarted':
        entries[holder.vm_name] = attrs.evolve(
            entries[holder.vm_name],
            ended=('earlier',),
        )
    granted = AccountRow(
        granted_tokens={holder.text: int(held.replace(',', ''))},
    )
    mark = SpendingMark(
        made_store_ms=0,
        allowed=MarkedAccount(
            limit_tokens=int(spent.replace(',', '')),
            step_tokens=0,
            spare_tokens=0,
        ),
    )
    row = KeeperRow(incarnation='earlier', address='', mark=mark)
    fleet.state.commit(
        make_transaction(
            checks=(),
            writes=(
                row_write('grants', granted),
                row_write(keeper_key(holder.vm_name), row),
            ),
            part=ACCOUNT,
        ),
    )
    fleet.used_tokens = int(spent.replace(',', ''))
    context.drawn = context.used = 0
    context.pause_ms = 2000
    context.holder = holder


@then('the store still records its grant of {tokens} tokens')
def still_granted(context, tokens):
    decoded = decode_account_row(stored_row(context.fleet.vms[0], 'grants'))
    assert decoded.row.granted_to(context.holder) == int(
        tokens.replace(',', ''),
    )


@given('datagrams with a latency of up to 300 ms')
def slow_datagrams(context):
    context.has_slow_datagrams = True


def use_fast_datagrams(context):
    if not getattr(context, 'has_slow_datagrams', False):
        context.fleet.datagram_seconds = (0.002,)
