"""Steps for retried top-ups."""

import random

from behave import given, then, when

from teaseldale.budgets import TableLedger
from teaseldale.fakes import FakeTableService, run_in_virtual_time
from teaseldale.outcomes import PlatformError, RefusalCode
from teaseldale.tables import InMemoryTable


@given('a budget of {tokens:d} tokens and a table service that loses answers')
def make_budget(context, tokens):
    context.store = FakeTableService(
        state=InMemoryTable(),
        random_source=random.Random(0),
    )
    context.ledger = TableLedger(table=context.store)

    async def main():
        await context.ledger.create('night', tokens)

    run_in_virtual_time(main)


@when(
    'a top-up of {tokens:d} tokens is retried with one id until it is answered'
)
def credit(context, tokens):
    async def main():
        context.store.lose_answers = True
        lost = 0
        for _ in range(2):
            try:
                await context.ledger.top_up('night', tokens, top_up_id='one')
            except PlatformError:
                lost += 1
        assert lost == 2, lost
        context.store.lose_answers = False
        return await context.ledger.top_up('night', tokens, top_up_id='one')

    context.answer = run_in_virtual_time(main)


@then('the budget has been credited {tokens:d} tokens in total')
def credited(context, tokens):
    async def main():
        return await context.ledger.state('night')

    assert context.answer.topped_up_tokens == tokens, context.answer
    state = run_in_virtual_time(main)
    assert state.topped_up_tokens == tokens, state


@then('a top-up of {tokens:d} tokens with the same id is refused')
def refused(context, tokens):
    async def main():
        return await context.ledger.top_up('night', tokens, top_up_id='one')

    refusal = run_in_virtual_time(main)
    assert refusal.code is RefusalCode.CONFLICT, refusal
