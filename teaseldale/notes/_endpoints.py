"""Operator endpoints for release notes."""

import attrs
import msgspec

from teaseldale.notes._fleet_configuration import FleetConfiguration
from teaseldale.notes._problem import changed_items, place_of
from teaseldale.notes._refusals import unknown_note
from teaseldale.notes._release_note import ReleaseNote, read_release_note
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.web import EndpointCall

_BODY_LIMIT_BYTES = 16_777_216
_MAX_LISTED_NOTES = 200


@attrs.frozen(kw_only=True)
class ItemDifference:
    """Difference that a note would make to one configuration item."""

    item: str  # "kind/name"
    before: object  # None if the item would be added
    after: object  # None if the item would be withdrawn


@attrs.frozen(kw_only=True)
class DryRun:
    """Differences that a note would make if it were applied now."""

    note: str
    revision: int  # active revision that the note was compared with
    differences: tuple[ItemDifference, ...]


class ReleaseNoteEndpoints:
    """Request handlers for ``/notes``."""

    def __init__(self, *, configuration: FleetConfiguration) -> None:
        """Creates handlers that act on the notes service of this VM."""
        self._configuration = configuration

    async def apply(self, call: EndpointCall) -> object:
        """Stages the TOML note in the body; ``dry_run=true`` only diffs it."""
        body = await call.body(_BODY_LIMIT_BYTES)
        try:
            note = read_release_note(body)
        except (msgspec.MsgspecError, ValueError) as error:
            return _unreadable(str(error))
        if call.query('dry_run') == 'true':
            return await self._dry_run(note)
        return await self._configuration.apply(note)

    async def list(self, _call: EndpointCall) -> object:
        """Returns the status of the notes changed last, newest first."""
        records = await self._configuration.book.read_notes()
        return [
            await self._configuration.progress.status_of(record)
            for record in reversed(records[-_MAX_LISTED_NOTES:])
        ]

    async def show(self, call: EndpointCall) -> object:
        """Returns the status and the content of one note."""
        stored = await self._configuration.book.read_note(call.name)
        if stored is None:
            return unknown_note(call.name)
        progress = self._configuration.progress
        status = await progress.status_of(stored.record)
        return {**attrs.asdict(status), 'note': stored.record.note}

    async def cancel(self, call: EndpointCall) -> object:
        """Cancels a pending note and returns its status, or a refusal."""
        reason = call.query('reason', 'cancelled by an operator')
        outcome = await self._configuration.intake.cancel(call.name, reason)
        if isinstance(outcome, Refusal):
            return outcome
        return await self._configuration.progress.status_of(outcome)

    async def _dry_run(self, note: ReleaseNote) -> object:
        refusal = await self._configuration.intake.dry_run(note)
        if refusal is not None:
            return refusal
        state = self._configuration.follower.state
        differences = tuple(
            ItemDifference(
                item=place_of(key),
                before=state.items.get(key),
                after=item,
            )
            for key, item in changed_items(note).items()
            if state.items.get(key) != item
        )
        return DryRun(
            note=note.name,
            revision=state.sequence,
            differences=differences,
        )


def _unreadable(reason: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'Nothing was stored. The note cannot be read: {reason}.',
        not_run=True,
        step=Step.NOTE,
    )
