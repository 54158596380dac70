"""Stored progress of moves and their status for operators."""

import enum

import attrs
import msgspec

from teaseldale.moves._outcome_notes import MoveNames
from teaseldale.notes import NoteState, NoteStore
from teaseldale.tables import (
    BaseTableService,
    RowCheck,
    RowWrite,
    make_transaction,
)

MOVES_TABLE = 'moves'


@enum.unique
class MoveState(enum.StrEnum):
    """State of a move."""

    WAITING = 'waiting'
    DONE = 'done'
    TAKEN_BACK = 'taken_back'
    WITHDRAWN = 'withdrawn'  # by an operator's note


@attrs.frozen(kw_only=True)
class MoveProgress:
    """Progress stored by the steering VM; the notes hold the outcome."""

    move: str
    sequence: int
    route: str
    from_version: str
    to_version: str
    share_permille: int
    waiting_for: str
    old_requests: int = 0
    new_requests: int = 0


@attrs.frozen(kw_only=True)
class MoveStatus:
    """Status of a move as reported to operators."""

    progress: MoveProgress
    state: MoveState
    reason: str  # what the move waits for, or why it ended
    note: str = ''  # name of the note that ended the move


class MoveRecords:
    """Reads and writes progress rows; raises ``PlatformError``."""

    def __init__(self, *, table: BaseTableService, book: NoteStore) -> None:
        """Stores rows in ``table`` and reads outcomes from ``book``."""
        self._table = table
        self._book = book

    async def store(self, progress: MoveProgress, guard: RowCheck) -> bool:
        """Replaces a row if ``guard`` holds; returns whether it did."""
        names = MoveNames(move=progress.move, sequence=progress.sequence)
        outcome = await self._table.commit(
            make_transaction(
                checks=(guard,),
                writes=(
                    RowWrite(
                        table=MOVES_TABLE,
                        key=names.key,
                        value=msgspec.msgpack.encode(progress),
                    ),
                ),
            ),
        )
        return hasattr(outcome, 'revision')

    async def list(self, running: frozenset[str]) -> list[MoveStatus]:
        """Returns the status of all moves; ``running`` names active ones."""
        rows = await self._table.scan(table=MOVES_TABLE)
        return [
            await self._status(
                msgspec.msgpack.decode(row.value, type=MoveProgress),
                running,
            )
            for row in rows
            if row.value is not None
        ]

    async def _status(
        self,
        progress: MoveProgress,
        running: frozenset[str],
    ) -> MoveStatus:
        names = MoveNames(move=progress.move, sequence=progress.sequence)
        rollback_note = await self._book.read_note(names.take_back)
        if rollback_note is not None:
            return MoveStatus(
                progress=progress,
                state=MoveState.TAKEN_BACK,
                reason=rollback_note.record.reason,
                note=names.take_back,
            )
        done = await self._book.read_note(names.done)
        if done is not None and done.record.state is NoteState.ACCEPTED:
            return MoveStatus(
                progress=progress,
                state=MoveState.DONE,
                reason=progress.waiting_for,
                note=names.done,
            )
        ended = done is None and progress.move not in running
        return MoveStatus(
            progress=progress,
            state=MoveState.WITHDRAWN if ended else MoveState.WAITING,
            reason=progress.waiting_for,
        )
