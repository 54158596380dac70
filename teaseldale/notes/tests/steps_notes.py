"""Step definitions for release notes."""

import contextlib
import functools
from unittest import mock

import anyio
from behave import given, then, when

from teaseldale.fakes import run_in_virtual_time
from teaseldale.notes import (
    Budget,
    ItemLists,
    NoteState,
    NoteStore,
    ReleaseNote,
    read_release_note,
)
from teaseldale.notes._contact import ContactLog
from teaseldale.notes._follower import NotesFollower
from teaseldale.notes._note_store import _head_write
from teaseldale.notes._progress import NoteProgress
from teaseldale.notes.tests.notes_world import World, run_random
from teaseldale.outcomes import Refusal
from teaseldale.tables import make_transaction

_MUTATION_SEEDS = range(8)
_WARM_UP_MS = 2000

_NOTES = {
    'unknown': '[[additions.budgets]]\nname = "b2"\ncolour = "red"',
    'reference': f"""
[[additions.accounts]]
name = "a1"
key_hash = "{'a' * 64}"
budgets = ["b9"]
""",
    'range': '[[additions.budgets]]\nname = "b2"\ninitial_tokens = -1',
    'twice': '[[additions.budgets]]\nname = "b1"',
    'stale': 'written_against_revision = 1\n[[changes.budgets]]\nname = "b1"',
    'pending': '[[additions.budgets]]\nname = "b5"',
    'moves': """
[[additions.routes]]
name = "r1"
kind = "completion"
version = "v1"
[[additions.upstreams]]
name = "u1"
route = "r1"
version = "v2"
url = "http://127.0.0.1:1"
availability_zone = "mill"
slot_count = 1
[[additions.moves]]
name = "m1"
route = "r1"
from_version = "v1"
to_version = "v2"
deadline_wall_ms = 1
[[additions.moves]]
name = "m2"
route = "r1"
from_version = "v1"
to_version = "v2"
deadline_wall_ms = 1
""",
}


class Script:
    """Collects actions of steps and runs them on a fleet in virtual time."""

    def __init__(self):
        self.actions = []

    def run(self, *actions):
        """Runs all collected actions; returns the result of the last one."""
        self.actions.extend(actions)
        return run_in_virtual_time(self._main)

    async def _main(self):
        world = World(seed=0)
        async with anyio.create_task_group() as tasks:
            world.tasks = tasks
            world.start(tasks)
            await world.clock.sleep_ms(_WARM_UP_MS)
            for action in self.actions:
                outcome = await action(world)
            world.stop()
            tasks.cancel_scope.cancel()
        assert not world.violations, world.violations
        return outcome


def budget_note(name, budget):
    lists = ItemLists(budgets=(Budget(name=budget),))
    return ReleaseNote(name=name, team='red', additions=lists)


async def apply_budget_note(name, budget, world):
    vm = world.vms['mill-0']
    return await vm.notes.apply(budget_note(name, budget))


async def status_of(name, world):
    vm = world.vms['office-2']
    status = await vm.notes.progress.status(name)
    return status, {vm.sequence for vm in world.vms.values()}


async def wait(seconds, world):
    await world.clock.sleep_ms(seconds * 1000)


@when('operators apply notes for 90 seconds under faults of seed {seed:d}')
def apply_under_faults(context, seed):
    context.world = run_in_virtual_time(functools.partial(run_random, seed))


@then('no VM reverted, lacked an accepted note or differed from the model')
def no_violation(context):
    assert not context.world.violations, context.world.violations[:5]
    assert len(context.world.accepted) >= 5, len(context.world.accepted)


@then('after the faults every VM serves the same revision')
def all_serve(context):
    assert all(context.world.ready), context.world.ready
    assert len(context.world.sequences) == 1, context.world.sequences


@given('a notes fleet without faults')
def fleet_without_faults(context):
    context.script = Script()


@given('a notes fleet with zone {zone} partitioned')
def fleet_with_partition(context, zone):
    async def cut(world):
        world.cut(zone)
        await wait(1, world)

    context.script = Script()
    context.script.actions.append(cut)


@when('note {name} that adds budget {budget} is applied')
def apply_note(context, name, budget):
    context.script.actions.append(
        functools.partial(apply_budget_note, name, budget)
    )


@then('note {name} is pending for zone {zone} and no VM has applied it')
def is_pending(context, name, zone):
    status, sequences = context.script.run(functools.partial(status_of, name))
    assert status.state is NoteState.PENDING, status
    assert status.pending_zones == (zone,), status
    assert sequences == {0}, sequences


@when('note {name} is cancelled')
def cancel(context, name):
    async def act(world):
        await world.vms['office-5'].notes.intake.cancel(name, 'not wanted')

    context.script.actions.append(act)


@then('note {name} stays cancelled after the partition heals')
def stays_cancelled(context, name):
    async def heal(world):
        world.heal()
        await wait(20, world)

    status, sequences = context.script.run(
        heal,
        functools.partial(status_of, name),
    )
    assert status.state is NoteState.CANCELLED, status
    assert sequences == {0}, sequences


@when('zone {zone} reconnects and the VM that staged the note is replaced')
def heal_and_replace(context, zone):
    async def act(world):
        world.kill('mill-0')
        world.heal()
        world.start_vm(world.tasks, 'mill-0', 'mill')
        await wait(20, world)

    context.script.actions.append(act)


@then('note {name} is accepted')
def is_accepted(context, name):
    status, sequences = context.script.run(functools.partial(status_of, name))
    assert status.state is NoteState.ACCEPTED, status
    assert sequences == {1}, sequences


@then('these notes are refused')
def are_refused(context):
    async def change(world):
        note = ReleaseNote(
            name='second',
            team='red',
            written_against_revision=1,
            changes=ItemLists(budgets=(Budget(name='b1'),)),
        )
        await world.vms['port-1'].notes.apply(note)
        world.cut('port')
        await apply_budget_note('third', 'b5', world)

    async def try_all(world):
        return [await try_note(world, row['note']) for row in context.table]

    async def try_note(world, name):
        text = f'name = "{name}"\nteam = "blue"\n{_NOTES[name]}'
        try:
            note = read_release_note(text.encode())
        except ValueError as error:
            return str(error)
        outcome = await world.vms['mill-0'].notes.apply(note)
        assert isinstance(outcome, Refusal), outcome
        assert await world.vms['mill-0'].notes.book.read_note(name) is None
        return outcome.message

    messages = context.script.run(change, try_all)
    for row, message in zip(context.table, messages, strict=True):
        assert row['message'] in message, message


@when('VM {name} loses all links')
def lose_links(context, name):
    async def act(world):
        for other, _zone in world.names:
            world.fabric.cut(name, other)
        world.vms[name].table.down = True
        await wait(4, world)

    context.script.actions.append(act)


@then('VM {name} no longer serves after 4 seconds')
def no_longer_serves(context, name):
    async def serving(world):
        return {vm for vm in world.vms if world.vms[vm].notes.may_serve()}

    names = context.script.run(serving)
    assert name not in names, names
    assert len(names) == 7, names


@when('zone {zone} is partitioned')
def partition_zone(context, zone):
    async def act(world):
        world.cut(zone)
        await wait(60, world)

    context.script.actions.append(act)


@then('the VMs of {zone} still serve after 60 seconds')
def still_serve(context, zone):
    async def serving(world):
        return [
            vm.notes.may_serve() for vm in world.vms.values() if vm.zone == zone
        ]

    flags = context.script.run(serving)
    assert flags
    assert all(flags), flags


@when('the table store becomes unavailable and VM {name} is replaced')
def replace_without_store(context, name):
    async def act(world):
        world.store_down = True
        world.kill(name)
        world.start_vm(world.tasks, name, name.partition('-')[0])
        await wait(6, world)

    context.script.actions.append(act)


@then('VM {name} serves revision {revision:d}')
def serves_revision(context, name, revision):
    async def read_state(world):
        vm = world.vms[name]
        return vm.notes.may_serve(), vm.sequence

    assert context.script.run(read_state) == (True, revision)


async def _commit_unchecked(self, _read, head, *parts):
    writes = [write for rows in parts for write in rows.writes]
    await self._table.commit(
        make_transaction(checks=(), writes=(_head_write(head), *writes)),
    )
    return True


_MUTATIONS = {
    'no revision check': lambda: mock.patch.object(
        NoteStore,
        '_commit',
        _commit_unchecked,
    ),
    'acceptance before zones': lambda: mock.patch.object(
        NoteProgress,
        'zones_unconfirmed',
        lambda *arguments: (),
    ),
    'serving on an old view': lambda: _serve_always(),
}


@contextlib.contextmanager
def _serve_always():
    with (
        mock.patch.object(ContactLog, 'fresh', True),
        mock.patch.object(
            NotesFollower,
            'may_serve',
            lambda follower: follower.state.sequence > 0,
        ),
    ):
        yield


@when('operators apply notes under faults with {fault}')
def apply_with_mutation(context, fault):
    context.violations = []
    for seed in _MUTATION_SEEDS:
        with _MUTATIONS[fault]():
            world = run_in_virtual_time(functools.partial(run_random, seed))
        context.violations.extend(world.violations)
        if context.violations:
            return


@then('an invariant check of the notes fails')
def invariant_fails(context):
    assert context.violations
