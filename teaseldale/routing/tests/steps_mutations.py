"""Steps that run scenarios of other features with injected faults."""

import pathlib
from unittest import mock

from behave import then, when
from behave.parser import parse_file

from teaseldale.entry import _engine_stream
from teaseldale.routing import (
    RetryBudget,
    RoutingRequest,
    RunnerTable,
)
from teaseldale.routing import _slot_owner as slot_owner
from teaseldale.upstreams import EngineFinished, _notices, _trials

_ROOT = pathlib.Path(__file__).parents[2]


async def _broadcast_nothing(self, notice):
    """Drops the notice instead of broadcasting it."""


async def _grant(self, fingerprint, upstream, *, deadline_ms):
    return True


def _grant_all_wanted(holder, want, runner_leases, now_ms, shares):
    return want.wanted


async def _append_all(self, upstream, event):
    if isinstance(event, EngineFinished):
        return event
    self._answer.append(event)
    return None


_MUTATIONS = {
    'slot owners ignore what others hold': lambda: mock.patch.object(
        slot_owner, '_slots_for', _grant_all_wanted
    ),
    'leaving runners still get work': lambda: mock.patch.object(
        RunnerTable, 'set_leaving', lambda self, names: None
    ),
    'paused streams keep their slots': lambda: mock.patch.object(
        _engine_stream, '_PAUSE_LIMIT_MS', 600_000
    ),
    'parts are not checked for their offset': lambda: mock.patch.object(
        _engine_stream.EngineStream, '_process_event', _append_all
    ),
    'suspects are not told to others': lambda: mock.patch.object(
        _notices.NoticeBroadcaster, 'broadcast', _broadcast_nothing
    ),
    'suspects are tried all at once': lambda: mock.patch.object(
        _trials.TrialLocks, 'acquire', _grant
    ),
    'retries have no budget': lambda: mock.patch.object(
        RetryBudget, 'take_retry', lambda self, route: True
    ),
    'the queue ignores priorities': lambda: mock.patch.object(
        RoutingRequest, 'queue_level', property(lambda self: 1)
    ),
}


@when('"{feature}" is run while {mutation}')
def run_mutated(context, feature, mutation):
    context.mutation = mutation
    context.scenarios = parse_file(
        str(next(_ROOT.glob(f'*/tests/{feature}'))),
    ).walk_scenarios()


@then('the scenario "{name}" fails')
def scenario_failed(context, name):
    target = next(
        scenario
        for scenario in context.scenarios
        if scenario.name.startswith(name)
    )
    text = '\n'.join(f'{step.keyword} {step.name}' for step in target.steps)
    with _MUTATIONS[context.mutation]():
        try:
            context.execute_steps(text)
        except AssertionError:
            return
    raise AssertionError(f'fault not detected: {context.mutation}')
