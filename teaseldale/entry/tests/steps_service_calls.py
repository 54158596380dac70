"""Steps for calls to plain services."""

import asyncio
import types

from behave import then, when

from teaseldale.answers import StoredAnswer
from teaseldale.entry._service_call import ServiceRunner


class RecordingPlacer:
    """Places every attempt and records which ones count as successes."""

    def __init__(self):
        self.successes = 0

    async def place(self, request, attempts):
        return types.SimpleNamespace()

    async def end_trial(self, attempts):
        """Does nothing, as there are no locks."""

    async def note_success(self, attempts):
        self.successes += 1


@when(
    'a service call that was tried as a suspect is answered with status '
    '{status:d}'
)
def answer_call(context, status):
    answer = StoredAnswer(
        status=status,
        body=b'',
        content_type='text/plain',
        prompt_tokens=0,
        output_tokens=1,
    )

    async def run_at(job, reservation, placement, attempts):
        return answer

    runner = ServiceRunner(parts=types.SimpleNamespace(budgets=None))
    runner._placer = context.placer = RecordingPlacer()
    runner._run_at = run_at
    account = types.SimpleNamespace(name='a')
    route = types.SimpleNamespace(name='r', version=1)
    call = types.SimpleNamespace(method='GET', path='/', body=b'')
    job = types.SimpleNamespace(
        call=call,
        route=route,
        account=account,
        priority=1,
        deadline_ms=0,
    )
    reservation = types.SimpleNamespace(tokens=1)
    outcome = asyncio.run(runner._try_upstreams(job, reservation))
    assert outcome.answer == answer


@then('the answer clears it')
def clears(context):
    assert context.placer.successes == 1


@then('the answer does not clear it')
def does_not_clear(context):
    assert context.placer.successes == 0
