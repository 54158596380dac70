"""Random histories of VMs before brittle runners, in virtual time."""

import random

import anyio

from teaseldale.fakes import run_in_virtual_time
from teaseldale.forwarding.tests.brittle_fleet import (
    BrittleFleet,
    RunnerModel,
)

_BEFORE_S = 2
_AFTER_EVENT_S = 6
_EVENTS = (
    None,
    'a burst comes',
    'one starts again',
    'start again',
    'the VMs that hold their room leave',
    '3 VMs reach other VMs no more',
    '3 VMs start again',
)


_MEMORIES = (
    {},
    {},
    {'memory_tokens': 8},
    {'memory_tokens': 30, 'most_tokens': 12},
    {'memory_tokens': 8, 'named_memory_tokens': 16},
)


def play_history(seed, model=None):
    """Returns the fleet after the history of a seed, and what happened.

    Without ``model`` the runners are random as well.
    """
    source = random.Random(seed)
    facts = {
        'vms': source.choice((4, 8, 8, 12, 20)),
        'runners': source.choice((3, 5, 9)),
        'load': source.choice((0.5, 0.9, 1, 1.3, 2, 3)),
        'loss_share': source.choice((0, 0, 0.05, 0.3)),
        'event': source.choice(_EVENTS),
        'event_s': source.uniform(1, 5),
    }
    kind = source.choice(('safe', 'once'))
    # Drawn last, so that the rest of a history is as it was without a model.
    facts['model'] = model or RunnerModel(
        slot_count=source.choice((4, 8, 16)),
        queue_count=source.choice((8, 32)),
        brittle_queue_count=source.choice((0, 1, 1, 4)),
        tolerated=source.choice((2, 5, 5, 10)),
        tells_load=source.choice((True, True, False)),
        names_tokens=source.choice((True, False)),
        runs_on_share=source.choice((0, 0, 0.3)),
        **source.choice(_MEMORIES),
    )
    world = BrittleFleet(
        vm_count=facts['vms'],
        runner_count=facts['runners'],
        kind=kind,
        model=facts['model'],
    )
    world.random = random.Random(seed)
    world.loss_share = facts['loss_share']
    run_in_virtual_time(lambda: _run(world, facts))
    return world, facts


async def _run(world, facts):
    async with anyio.create_task_group() as tasks:
        await world.start(tasks)
        per_s = world.room_per_s
        tasks.start_soon(world.send_other_requests, facts['load'] * per_s)
        await anyio.sleep(_BEFORE_S)
        world.start_brittleness()
        await anyio.sleep(facts['event_s'])
        if facts['event'] == 'a burst comes':
            tasks.start_soon(world.send_other_requests, 3 * per_s)
        elif facts['event'] is not None:
            world.bring_about(facts['event'])
        await anyio.sleep(_AFTER_EVENT_S)
        tasks.cancel_scope.cancel()
