"""Steps for version moves."""

import contextlib
import functools
import math
import random
import statistics
from unittest import mock

import attrs
from behave import given, then, when

from benchmarks.move_workload import (
    exposures,
    make_cases,
    run_case,
    run_naive,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.moves import (
    EvidenceCounts,
    FixedThresholdPolicy,
    MoveAction,
    MoveState,
    MoveView,
    SequentialPolicy,
    TimedRampPolicy,
    VersionPair,
)
from teaseldale.moves._canary import _GUARDS
from teaseldale.moves._comparison import find_violation
from teaseldale.moves._windows import EvidenceWindows, Window
from teaseldale.moves.tests.moves_world import run_script
from teaseldale.notes import MovePhase, MoveStep, VersionMove
from teaseldale.requests import RequestIdentity
from teaseldale.tables import RowCheck, TableLease

_SEED = 11
_LATE_MS = 5000
_ONE_PERCENT_SIGMAS = 2.33

_MOVE = VersionMove(
    name='to-v2',
    route='drafts',
    from_version='v1',
    to_version='v2',
    deadline_wall_ms=100_000,
)


@when('{count:d} seeded moves run under the sequential policy')
def run_sequential(context, count):
    cases = make_cases(count, _SEED, low_traffic=False)
    context.results = [run_case(case, SequentialPolicy) for case in cases]


@then('all good versions are moved and all bad versions are taken back')
def all_decided_correctly(context):
    for result in context.results:
        expected = MoveAction.FINISH
        if result.case.bad:
            expected = MoveAction.TAKE_BACK
        assert result.outcome is expected, result


@then(
    'the median bad version received at most {percent:d} percent of the '
    'requests',
)
def median_exposure(context, percent):
    median = statistics.median(exposures(context.results))
    assert 0 < median <= percent, median


@then('no request reached a bad version later than 5 s after its take-back')
def none_late(context):
    assert not any(result.late_after_take_back for result in context.results)


def false_reports(runs):
    """Counts the runs in which an equally good version is reported."""
    rng = random.Random(_SEED)
    return sum(_is_reported(rng) for _ in range(runs))


def _is_reported(rng):
    windows = EvidenceWindows()
    total = VersionPair()
    for second in range(120):
        total = total.plus(
            VersionPair(
                old=_sample_counts(rng, 20), new=_sample_counts(rng, 20)
            ),
        )
        finding = find_violation(
            attrs.evolve(_MOVE, failure_guard_percent=1),
            windows.advance(second * 1000, total),
            reference=total.old,
            place='all',
        )
        if finding is not None:
            return True
    return False


def _sample_counts(rng, count):
    failures = sum(rng.random() < 0.05 for _ in range(count))
    return EvidenceCounts(requests=count, failures=failures)


@when(
    'two versions with 5 percent failures are compared {runs:d} times',
)
def compare(context, runs):
    context.false_reports = false_reports(runs)


@when(
    'two equal versions are compared {runs:d} times without sequential '
    'correction',
)
def compare_uncorrected(context, runs):
    module = 'teaseldale.moves._comparison'
    with (
        mock.patch(f'{module}.lower_bound', _fixed_lower_bound),
        mock.patch(f'{module}.upper_bound', _share),
        mock.patch(f'{module}.COMMON_ERROR_RATE', 1),
    ):
        context.false_reports = false_reports(runs)


def _fixed_lower_bound(count, trials, _error_rate):
    share = count / trials
    return share - _ONE_PERCENT_SIGMAS * math.sqrt(share * (1 - share) / trials)


def _share(count, trials, _error_rate):
    return count / trials


@then('the new version is reported as worse at most {limit:d} times')
def reported_at_most(context, limit):
    assert context.false_reports <= limit, context.false_reports


@then('the new version is reported as worse more than {limit:d} times')
def reported_more(context, limit):
    assert context.false_reports > limit, context.false_reports


@when('{count:d} seeded moves run under the naive policies')
def run_naive_policies(context, count):
    cases = make_cases(count, _SEED, low_traffic=False)
    context.ramp = [run_naive(case, TimedRampPolicy) for case in cases]
    context.fixed = [run_naive(case, FixedThresholdPolicy) for case in cases]


@then('the timed ramp takes no bad version back')
def ramp_takes_none(context):
    assert all(
        result.outcome is MoveAction.FINISH
        for result in context.ramp
        if result.case.bad
    )


@then('the fixed threshold misjudges at least one version')
def fixed_threshold_misjudges(context):
    wrong = [
        result
        for result in context.fixed
        if (result.outcome is MoveAction.TAKE_BACK) is not result.case.bad
    ]
    assert wrong


@when('a move with too little traffic reaches its deadline')
def too_little(context):
    def decide(move):
        counts = EvidenceCounts(requests=3)
        view = MoveView(
            move=move,
            started_wall_ms=0,
            now_wall_ms=move.deadline_wall_ms,
            step=MoveStep(
                move=move.name,
                share_permille=50,
                phase=MovePhase.STEPPING,
            ),
            zones={'mill': VersionPair(old=counts, new=counts)},
        )
        return SequentialPolicy().decide(view)

    context.decided = decide(_MOVE)
    context.decided_anyway = decide(
        attrs.evolve(_MOVE, finish_without_evidence=True),
    )


@then('it is taken back because of too little evidence')
def too_little_taken_back(context):
    assert context.decided.action is MoveAction.TAKE_BACK
    assert 'too little evidence' in context.decided.reason


@then('with finish_without_evidence it is finished')
def too_little_finished(context):
    assert context.decided_anyway.action is MoveAction.FINISH


@given('a fleet with a running move')
def fleet_with_move(context):
    context.actions = []
    context.patches = []
    context.ran = None


def world_of(context):
    """Runs the collected actions on first use and caches the result."""
    if context.ran is None:
        with _patched(context.patches):
            run = functools.partial(run_script, context.actions)
            context.ran = run_in_virtual_time(run)
    return context.ran


def _patched(patches):
    stack = contextlib.ExitStack()
    for patch in patches:
        stack.enter_context(patch)
    return stack


@given('the new version fails')
def new_fails(context):
    async def act(world):
        world.new_fails = True

    context.actions.append(act)


@given('the new version fails on another route')
def new_fails_elsewhere(context):
    async def act(world):
        world.fails_elsewhere = True

    context.actions.append(act)


@given('the new version hangs')
def new_hangs(context):
    async def act(world):
        world.new_hangs = True

    context.actions.append(act)


@given('transactions do not check the lease')
def no_fencing(context):
    def check(_lease):
        return RowCheck(table='nothing', key='nothing', revision=0)

    context.patches.append(
        mock.patch.object(TableLease, 'ownership_check', check)
    )


@when('requests run for {seconds:d} seconds')
def requests_run(context, seconds):
    async def act(world):
        await world.run_requests(seconds)

    context.actions.append(act)


@when('the zone {zone} is cut off while requests run for {seconds:d} seconds')
def cut_and_run(context, zone, seconds):
    async def act(world):
        world.cut(zone)
        world.cut_ms = world.clock.monotonic_ms()
        await world.run_requests(seconds)

    context.actions.append(act)


@when('the steering VM is killed and restarted')
def steering_dies(context):
    async def act(world):
        name = world.steering_vm().identity.name
        world.kill(name)
        world.start_vm(world.tasks, name, name.partition('-')[0])

    context.actions.append(act)


@when('an operator takes the move back')
def operator_takes_back(context):
    async def act(world):
        vm = world.vms['office-2']
        await vm.moves.take_back.run('to-v2', 'wanted by the roofers')
        await world.run_requests(20)

    context.actions.append(act)


@when('another holder acquires the lease before the steering VM writes')
def take_over(context):
    async def act(world):
        vm = world.steering_vm()
        service = vm.moves
        steered = service._steered['to-v2']
        read = await vm.notes.follower.refresh()
        stale = attrs.evolve(read.head.step_of('to-v2'), share_permille=999)
        other = TableLease(
            table=vm.table,
            clock=vm.clock,
            name='move/to-v2-1',
            holder='another.one',
        )
        vm.scope.cancel()
        while not await other.renew():
            await world.clock.sleep_ms(500)
        read = await vm.notes.follower.refresh()
        await service._replace_step(read, stale, steered)
        read = await vm.notes.follower.refresh()
        return read.head.step_of('to-v2').share_permille

    context.actions.append(act)


@then('the write of the former holder has no effect')
def share_stays(context):
    _world, share = world_of(context)
    assert share != 999, share


@then('the write of the former holder takes effect')
def share_is_stale(context):
    _world, share = world_of(context)
    assert share == 999, share


@when('{count:d} requests are assigned a version on each of two VMs')
def assign_versions(context, count):
    async def act(world):
        await world.run_requests(3)
        answers = []
        for name in ('mill-0', 'port-1'):
            vm = world.vms[name]
            route = vm.notes.current().routes['drafts']
            for number in range(count):
                request = RequestIdentity(client_account='b', key=str(number))
                answers.append(
                    vm.moves.assignment.version_for(route, request),
                )
        return answers

    context.actions.append(act)


@then('both VMs assign the same versions and about 1 percent are new')
def same_versions(context):
    _world, answers = world_of(context)
    half = len(answers) // 2
    assert answers[:half] == answers[half:]
    assert 8 <= answers[:half].count('v2') <= 36, answers.count('v2')


async def statuses(world):
    vm = next(iter(world.vms.values()))
    running = frozenset(vm.notes.current().moves)
    return await vm.moves.records.list(running)


@then('the move is done and the route is at version v2')
def is_done(context):
    context.actions.append(statuses)
    world, move_statuses = world_of(context)
    assert [status.state for status in move_statuses] == [MoveState.DONE], (
        move_statuses
    )
    for vm in world.vms.values():
        assert vm.notes.current().routes['drafts'].version == 'v2'
        assert not vm.notes.current().moves


@then('the move is taken back with the evidence')
def is_taken_back(context):
    context.actions.append(statuses)
    world, move_statuses = world_of(context)
    assert [status.state for status in move_statuses] == [
        MoveState.TAKEN_BACK
    ], move_statuses
    assert move_statuses[0].reason, move_statuses
    for vm in world.vms.values():
        assert vm.notes.current().routes['drafts'].version == 'v1'
        assert not vm.notes.current().moves


@then('the move stays taken back')
def stays_taken_back(context):
    world, _ = world_of(context)
    assert world.taken_back_ms is not None


@then('nothing reached v2 later than 5 s after the take-back')
def nothing_late(context):
    world, _ = world_of(context)
    assert world.sent
    assert world.taken_back_ms is not None
    latest = max(sent.at_ms for sent in world.sent)
    assert latest <= world.taken_back_ms + _LATE_MS, latest


@then('queued requests may go to v1 and not to v2')
def waiting_requests(context):
    world, _ = world_of(context)
    for vm in world.vms.values():
        assert vm.moves.assignment.allows('drafts', 'v1')
        assert not vm.moves.assignment.allows('drafts', 'v2')


@then('in {zone} nothing reached v2 later than 5 s after the cut')
def nothing_in_zone(context, zone):
    world, _ = world_of(context)
    times = [sent.at_ms for sent in world.sent if sent.zone == zone]
    assert max(times, default=0) <= world.cut_ms + _LATE_MS


@then('the engines received the same load order with several fencing numbers')
def orders_repeated(context):
    world, _ = world_of(context)
    orders = world.orders.orders
    assert {order.version for order in orders} == {'v2'}
    assert len({order.order_id for order in orders}) == 1
    assert len({order.fencing_number for order in orders}) > 1


@when(
    'a window of {requests:d} requests and {failures:d} failures at the new '
    'version is compared'
)
def compare_window(context, requests, failures):
    old = EvidenceCounts(requests=500, failures=2)
    new = EvidenceCounts(requests=requests, failures=failures)
    context.finding = find_violation(
        _GUARDS,
        [Window(pair=VersionPair(old=old, new=new), error_share=1)],
        reference=old,
        place='all zones',
    )


@then('the new version is not reported as worse')
def not_worse(context):
    assert context.finding is None, context.finding
