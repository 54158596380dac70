"""Steps for the directory of cached prompt parts."""

import collections
import functools
import random

import anyio
from behave import given, then, when

from teaseldale.fakes import VirtualClock, run_in_virtual_time
from teaseldale.forwarding import RingPartOwners
from teaseldale.members import FixedMembers, FleetCells, HashRing, VmEntry
from teaseldale.metrics import Metrics
from teaseldale.routing import PartDirectory, PlannedWork, SharedPart

_LINK_MS = 2
_OWN_PART = SharedPart(part_id='own', token_count=500)
_PROMPTS = {
    'a long shared part': 5000,
    'a short shared part': 900,
    'no shared part': 0,
}


def work_of(part_id, shared_tokens):
    parts = (_OWN_PART,)
    if shared_tokens:
        shared = SharedPart(part_id=part_id, token_count=shared_tokens)
        parts = (shared, _OWN_PART)
    return PlannedWork(
        parts=parts,
        prompt_tokens=shared_tokens + _OWN_PART.token_count,
    )


_WORK = work_of('shared', _PROMPTS['a long shared part'])


class Directories:
    """Part directories of VMs whose datagrams take some time."""

    def __init__(self, count):
        self.members = FixedMembers(
            entries={
                f'vm-{number}': VmEntry(
                    address=f'vm-{number}:1',
                    incarnation='1',
                )
                for number in range(count)
            },
        )
        self.ring = HashRing(members=self.members)
        self.vms = {
            name: PartDirectory(
                vm_name=name,
                owners=RingPartOwners(
                    ring=self.ring,
                    cells=FleetCells(members=self.members, vm_name=name),
                ),
                clock=VirtualClock(),
                metrics=Metrics(),
            )
            for name in self.members.entries()
        }
        self.cut = set()
        self.sent_bytes = collections.Counter()
        self.tasks = None
        for name, directory in self.vms.items():
            directory.set_datagram_sender(functools.partial(self._send, name))

    def _send(self, sender, address, datagram):
        self.sent_bytes[sender] += len(datagram)
        name = address.partition(':')[0]
        if name not in self.cut:
            self.tasks.start_soon(self._deliver, name, datagram)

    async def _deliver(self, name, datagram):
        await anyio.sleep(_LINK_MS / 1000)
        self.vms[name].handlers[datagram[:1]](datagram[1:])

    async def play(self, steps):
        """Runs asynchronous steps one after another."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for step in steps:
                await step()


def run_steps(context, *, last):
    """Runs the steps of a scenario in virtual time."""

    async def play():
        await context.directories.play([*context.steps, last])

    run_in_virtual_time(play)


@given('{count:d} VMs with a part directory')
def directories_of(context, count):
    context.directories = Directories(count)
    context.steps = []


@when(
    'VM {number:d} sends a prompt with a long shared part to runner "{runner}"'
)
def place_prompt(context, number, runner):
    directories = context.directories

    async def place():
        directories.vms[f'vm-{number}'].note_placed(_WORK, runner)
        await anyio.sleep(_LINK_MS * 2 / 1000)

    context.steps.append(place)


@when('the VM that owns the part is cut off')
def cut_owner(context):
    directories = context.directories

    async def cut():
        directories.cut.add(directories.ring.owner_of('shared'))

    context.steps.append(cut)


@when('{seconds:d} seconds pass')
def pass_seconds(context, seconds):
    async def wait():
        await anyio.sleep(seconds)

    context.steps.append(wait)


async def find_everywhere(directories, within_ms):
    """Returns the runners that VMs which are not cut off have found."""
    found = set()
    for name, directory in directories.vms.items():
        if name in directories.cut:
            continue
        started = anyio.current_time()
        found.add(await directory.find(_WORK))
        elapsed_ms = (anyio.current_time() - started) * 1000
        assert elapsed_ms <= within_ms + 1, elapsed_ms
    return found


@then('every VM finds runner "{runner}" for the part within {limit:d} ms')
def found_runner(context, runner, limit):
    async def check():
        found = await find_everywhere(context.directories, limit)
        assert found == {runner}, found

    run_steps(context, last=check)


@then('a VM finds no runner for another part')
def found_no_other(context):
    async def check():
        directory = context.directories.vms['vm-5']
        assert await directory.find(work_of('another', 5000)) is None

    run_steps(context, last=check)


@then('another VM finds no runner for the part within {limit:d} ms')
def found_none_in_time(context, limit):
    async def check():
        assert await find_everywhere(context.directories, limit) == {None}

    run_steps(context, last=check)


@then('no VM finds a runner for the part')
def found_none(context):
    found_none_in_time(context, 15)


@when('VM {number:d} sends and looks up a prompt with {prompt}')
def send_and_find(context, number, prompt):
    directory = context.directories.vms[f'vm-{number}']
    work = work_of('shared', _PROMPTS[prompt])

    async def send():
        directory.note_placed(work, 'i-1')
        await directory.find(work)

    context.steps.append(send)


@then('no datagram was sent')
def sent_none(context):
    async def check():
        assert not context.directories.sent_bytes

    run_steps(context, last=check)


@when(
    'each VM sends {per_s:d} prompts per second of {count} shared parts '
    'for {seconds:d} seconds'
)
def send_prompts(context, per_s, count, seconds):
    directories = context.directories
    part_count = int(count.replace(',', ''))
    context.seconds = seconds
    random_source = random.Random(1)

    async def send_all():
        for _ in range(per_s * seconds):
            for directory in directories.vms.values():
                part_id = f'{random_source.randrange(part_count):08x}'
                work = work_of(part_id, 5000)
                directories.tasks.start_soon(directory.find, work)
                directory.note_placed(work, 'i-0123456789')
            await anyio.sleep(1 / per_s)

    context.steps.append(send_all)


@then('no VM sends more than {limit} bytes per second')
def sent_bytes_per_s(context, limit):
    async def check():
        most_bytes = max(context.directories.sent_bytes.values())
        per_s = most_bytes / context.seconds
        assert per_s <= int(limit.replace(',', '')), per_s

    run_steps(context, last=check)
