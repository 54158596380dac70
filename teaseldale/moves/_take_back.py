"""Fleet-wide rollback of a version move.

The rollback note enters the log at once, without acknowledgements by zones: a
VM that does not receive it stops using the new version when its view of the
notes becomes stale.
"""

import attrs

from teaseldale.clock import BaseClock
from teaseldale.moves._outcome_notes import MoveNames, take_back_note
from teaseldale.notes import (
    FleetConfiguration,
    ItemKind,
    NoteRecord,
    NoteState,
    StoredNote,
)
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.tables import RowCheck

_ATTEMPTS = 20


@attrs.frozen(kw_only=True)
class TakenBack:
    """Note that rolled a move back, and its revision."""

    note: str
    revision: int


class TakeBack:
    """Stores rollback notes; may be called on any VM at any time."""

    def __init__(
        self,
        *,
        configuration: FleetConfiguration,
        clock: BaseClock,
    ) -> None:
        """Writes to the notes of ``configuration``."""
        self._configuration = configuration
        self._clock = clock

    async def run(
        self,
        move_name: str,
        reason: str,
        guards: tuple[RowCheck, ...] = (),
    ) -> TakenBack | Refusal:
        """Rolls a running move back.

        Returns a refusal if the move does not run or if concurrent changes
        prevent the rollback. Raises ``PlatformError``.
        """
        for _ in range(_ATTEMPTS):
            outcome = await self._try(move_name, reason, guards)
            if outcome is not None:
                return outcome
        return _refusal(f'Move {move_name!r} changes too often; try again.')

    async def _try(
        self,
        move_name: str,
        reason: str,
        guards: tuple[RowCheck, ...],
    ) -> TakenBack | Refusal | None:
        read = await self._configuration.follower.refresh()
        state = self._configuration.follower.state
        move = state.current.moves.get(move_name)
        if move is None:
            return _refusal(f'No move {move_name!r} runs; look at its status.')
        record = state.records[ItemKind.MOVE, move_name]
        names = MoveNames(move=move_name, sequence=record.sequence)
        if any(names.done == pending.name for pending in read.head.pending):
            await self._configuration.intake.cancel(names.done, reason)
            return None
        note = take_back_note(names, record.team, move, state.sequence)
        sealed = await self._configuration.book.seal(
            read,
            StoredNote(
                record=NoteRecord(
                    note=note,
                    state=NoteState.TAKING_EFFECT,
                    stage_number=0,
                    reason=reason,
                    staged_wall_ms=self._clock.wall_ms(),
                ),
                revision=0,
            ),
            guards=guards,
        )
        if not sealed:
            return None
        return TakenBack(note=note.name, revision=read.head.sequence + 1)


def _refusal(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.CONFLICT,
        message=message,
        not_run=True,
        step=Step.MOVE,
    )
