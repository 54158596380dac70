"""Endpoints that show and top up budgets."""

import uuid

from teaseldale.budgets import TableLedger
from teaseldale.operations._refusals import bad_request, not_found
from teaseldale.outcomes import Step
from teaseldale.web import EndpointCall


class BudgetEndpoints:
    """Shows budgets and adds tokens to them."""

    def __init__(self, *, ledger: TableLedger) -> None:
        """Creates the endpoints on the fleet's ledger."""
        self._ledger = ledger

    async def show(self, call: EndpointCall) -> object:
        """Returns the totals of the budget given in the query.

        Returns a refusal if there is no such budget.
        """
        state = await self._ledger.state(call.query('name'))
        return not_found() if state is None else state

    async def top_up(self, call: EndpointCall) -> object:
        """Credits the tokens given in the query.

        Requests with the same ``id`` are idempotent; without an ``id`` each
        request credits the tokens again.
        """
        tokens = call.query('tokens')
        if not tokens.isdecimal():
            return bad_request('tokens must be a whole number', Step.RESERVE)
        return await self._ledger.top_up(
            call.query('name'),
            int(tokens),
            top_up_id=call.query('id') or uuid.uuid4().hex,
        )
