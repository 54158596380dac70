"""Endpoints of release notes."""

import msgspec

from teaseldale.budgets import TableLedger
from teaseldale.notes import TableConfiguration, read_release_note
from teaseldale.operations._refusals import bad_request
from teaseldale.outcomes import Step
from teaseldale.web import EndpointCall

_BODY_LIMIT_BYTES = 16_777_216


class NoteEndpoints:
    """Applies release notes."""

    def __init__(
        self,
        *,
        configuration: TableConfiguration,
        ledger: TableLedger,
    ) -> None:
        """Uses the fleet's configuration and ledger."""
        self._configuration = configuration
        self._ledger = ledger

    async def apply(self, call: EndpointCall) -> object:
        """Applies the note in the body, which is TOML."""
        body = await call.body(_BODY_LIMIT_BYTES)
        try:
            note = read_release_note(body)
        except (msgspec.MsgspecError, ValueError) as error:
            return bad_request(str(error), Step.NOTE)
        for budget in note.additions.budgets:
            await self._ledger.create(budget.name, budget.initial_tokens)
        return await self._configuration.apply(note)
