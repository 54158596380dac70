"""Staging and cancellation of release notes."""

from teaseldale.clock import BaseClock
from teaseldale.notes._follower import NotesFollower
from teaseldale.notes._note_store import NoteStore, StoredHead
from teaseldale.notes._overlap import find_conflict
from teaseldale.notes._records import NoteRecord, NoteState
from teaseldale.notes._refusals import (
    attempts_exhausted,
    cannot_cancel,
    conflicts_with_pending,
    invalid_note,
    name_taken,
    unknown_note,
)
from teaseldale.notes._release_note import ReleaseNote
from teaseldale.notes._validation import find_problems
from teaseldale.outcomes import Refusal
from teaseldale.tables import RowCheck

_MAX_ATTEMPTS = 20


class NoteIntake:
    """Validates notes against the newest state and stages or cancels them."""

    def __init__(
        self,
        *,
        book: NoteStore,
        follower: NotesFollower,
        clock: BaseClock,
    ) -> None:
        """Stores notes in ``book``; ``follower`` supplies the active state."""
        self._book = book
        self._follower = follower
        self._clock = clock

    async def dry_run(self, note: ReleaseNote) -> Refusal | None:
        """Validates a note without storing it; returns None if it is valid."""
        read = await self._follower.refresh()
        return await self._check(read, note)

    async def cancel(self, name: str, reason: str) -> NoteRecord | Refusal:
        """Cancels a pending note; idempotent.

        Returns a refusal if the note is unknown, is in the log already, or
        concurrent changes exhausted the attempts.
        """
        for _ in range(_MAX_ATTEMPTS):
            read = await self._follower.refresh()
            stored = await self._book.read_note(name)
            if stored is None:
                return unknown_note(name)
            if stored.record.state is NoteState.CANCELLED:
                return stored.record
            if stored.record.state is not NoteState.PENDING:
                return cannot_cancel(stored.record)
            await self._book.cancel(read, stored, reason)
        return attempts_exhausted()

    async def stage(
        self,
        note: ReleaseNote,
        guards: tuple[RowCheck, ...] = (),
    ) -> Refusal | None:
        """Stores a note as pending on condition of ``guards``; idempotent.

        Returns None if the note is stored now or was stored before, else a
        refusal.
        """
        for _ in range(_MAX_ATTEMPTS):
            read = await self._follower.refresh()
            existing = await self._book.read_note(note.name)
            if existing is not None:
                is_same = existing.record.note == note
                return None if is_same else name_taken(existing.record)
            refusal = await self._check(read, note)
            if refusal is not None:
                return refusal
            record = NoteRecord(
                note=note,
                state=NoteState.PENDING,
                stage_number=read.head.stage_count + 1,
                staged_wall_ms=self._clock.wall_ms(),
            )
            if await self._book.stage(read, record, guards):
                return None
        return attempts_exhausted()

    async def _check(
        self,
        read: StoredHead,
        note: ReleaseNote,
    ) -> Refusal | None:
        state = self._follower.state
        if state.sequence != read.head.sequence:
            return attempts_exhausted()
        problems = find_problems(note, state.items, state.records)
        if problems:
            return invalid_note(problems)
        for pending in read.head.pending:
            other = await self._book.read_note(pending.name)
            if other is None:
                continue
            key = find_conflict(note, other.record.note)
            if key is not None:
                return conflicts_with_pending(other.record, key)
        return None
