"""Transactions on release notes; each checks and replaces the head row."""

import abc
from collections.abc import Iterable

import attrs
import msgspec

from teaseldale.notes._items import Budget, ItemKind
from teaseldale.notes._problem import changed_items, place_of
from teaseldale.notes._records import (
    HEAD_KEY,
    HEAD_TABLE,
    ITEMS_TABLE,
    LOG_TABLE,
    NOTES_TABLE,
    Head,
    ItemRecord,
    LogEntry,
    NoteRecord,
    NoteState,
    PendingNote,
    SealedNote,
)
from teaseldale.notes._release_note import ReleaseNote
from teaseldale.notes._state import Snapshot
from teaseldale.tables import (
    BaseTableService,
    Committed,
    RowCheck,
    RowWrite,
    make_transaction,
)

_LOG_KEY_DIGITS = 12


@attrs.frozen(kw_only=True)
class StoredHead:
    """The head row and the revision that a write to it must check."""

    head: Head
    revision: int


@attrs.frozen(kw_only=True)
class StoredNote:
    """A note's row and the revision that a write to it must check."""

    record: NoteRecord
    revision: int


@attrs.frozen(kw_only=True)
class Rows:
    """Row checks and writes to include in a transaction."""

    checks: tuple[RowCheck, ...] = ()
    writes: tuple[RowWrite, ...] = ()


class BaseBudgetRows(abc.ABC):
    """Supplies the rows that a new budget needs in the same transaction."""

    @abc.abstractmethod
    async def rows_of(self, budgets: Iterable[Budget]) -> Rows:
        """Returns inserts for budgets that have no row yet."""


class NoteStore:
    """Store of release notes in the table; raises ``PlatformError``.

    Every write returns whether it was committed. False means that a
    concurrent transaction was committed first: read the head again and retry.
    """

    def __init__(
        self,
        *,
        table: BaseTableService,
        budget_rows: BaseBudgetRows,
    ) -> None:
        """Stores notes in ``table`` and budgets through ``budget_rows``."""
        self._table = table
        self._budget_rows = budget_rows

    async def read_head(self) -> StoredHead:
        """Returns the head row; an empty head of revision 0 if it is absent."""
        row = await self._table.read(table=HEAD_TABLE, key=HEAD_KEY)
        if row is None or row.value is None:
            return StoredHead(head=Head(), revision=0)
        head = msgspec.msgpack.decode(row.value, type=Head)
        return StoredHead(head=head, revision=row.revision)

    async def read_note(self, name: str) -> StoredNote | None:
        """Returns a note in any state, or None if there is no such note."""
        row = await self._table.read(table=NOTES_TABLE, key=name)
        if row is None or row.value is None:
            return None
        record = msgspec.json.decode(row.value, type=NoteRecord)
        return StoredNote(record=record, revision=row.revision)

    async def read_notes(self) -> tuple[NoteRecord, ...]:
        """Returns all notes, the least recently changed one first."""
        rows = await self._table.scan(table=NOTES_TABLE)
        return tuple(
            msgspec.json.decode(row.value, type=NoteRecord)
            for row in rows
            if row.value is not None
        )

    async def read_entries(self, after: int, until: int) -> list[LogEntry]:
        """Returns log entries above ``after`` up to ``until``, or to a gap."""
        entries = []
        for sequence in range(after + 1, until + 1):
            row = await self._table.read(
                table=LOG_TABLE, key=_log_key(sequence)
            )
            if row is None or row.value is None:
                break
            entries.append(msgspec.msgpack.decode(row.value, type=LogEntry))
        return entries

    async def read_snapshot(self, sequence: int) -> Snapshot:
        """Returns all items, given that the head was read at ``sequence``.

        The scan may include items of newer notes; applying the log entries
        after ``sequence`` in order makes the result consistent.
        """
        rows = await self._table.scan(table=ITEMS_TABLE)
        return Snapshot(
            sequence=sequence,
            records=tuple(
                msgspec.msgpack.decode(row.value, type=ItemRecord)
                for row in rows
                if row.value is not None
            ),
        )

    async def replace_head(
        self,
        read: StoredHead,
        head: Head,
        *checks: RowCheck,
    ) -> bool:
        """Replaces the head row without changing a note."""
        return await self._commit(read, head, Rows(checks=checks))

    async def stage(
        self,
        read: StoredHead,
        record: NoteRecord,
        guards: tuple[RowCheck, ...] = (),
    ) -> bool:
        """Stores a new note as pending on condition of ``guards``."""
        pending = PendingNote(
            name=record.note.name,
            stage_number=record.stage_number,
        )
        head = attrs.evolve(
            read.head,
            stage_count=record.stage_number,
            pending=(*read.head.pending, pending),
        )
        return await self._commit(
            read,
            head,
            _note_rows(record, 0),
            Rows(checks=guards),
        )

    async def seal(
        self,
        read: StoredHead,
        stored: StoredNote,
        guards: tuple[RowCheck, ...] = (),
    ) -> bool:
        """Appends a note to the log; it can't be cancelled after that.

        The row of a note that was never staged has the revision 0.
        """
        note = stored.record.note
        sequence = read.head.sequence + 1
        entry = _entry_of(note, sequence)
        rows = await self._budget_rows.rows_of(_added_budgets(note))
        note_rows = _note_rows(
            attrs.evolve(
                stored.record,
                state=NoteState.TAKING_EFFECT,
                sequence=sequence,
            ),
            stored.revision,
        )
        return await self._commit(
            read,
            _sealed_head(read.head, note, sequence),
            rows,
            note_rows,
            _entry_rows(entry),
            Rows(checks=guards),
        )

    async def accept(self, read: StoredHead, stored: StoredNote) -> bool:
        """Marks a note as accepted: every availability zone confirmed it."""
        name = stored.record.note.name
        head = attrs.evolve(
            read.head,
            unconfirmed=tuple(
                sealed
                for sealed in read.head.unconfirmed
                if sealed.name != name
            ),
        )
        record = attrs.evolve(stored.record, state=NoteState.ACCEPTED)
        return await self._commit(
            read, head, _note_rows(record, stored.revision)
        )

    async def cancel(
        self,
        read: StoredHead,
        stored: StoredNote,
        reason: str,
    ) -> bool:
        """Marks a pending note as cancelled and removes it from the head."""
        head = attrs.evolve(
            read.head,
            pending=_pending_without(
                read.head.pending, stored.record.note.name
            ),
        )
        record = attrs.evolve(
            stored.record,
            state=NoteState.CANCELLED,
            reason=reason,
        )
        return await self._commit(
            read, head, _note_rows(record, stored.revision)
        )

    async def _commit(self, read: StoredHead, head: Head, *parts: Rows) -> bool:
        checks = [_head_check(read.revision)]
        writes = [_head_write(head)]
        for rows in parts:
            checks.extend(rows.checks)
            writes.extend(rows.writes)
        outcome = await self._table.commit(
            make_transaction(checks=checks, writes=writes),
        )
        return isinstance(outcome, Committed)


def _head_check(revision: int) -> RowCheck:
    return RowCheck(table=HEAD_TABLE, key=HEAD_KEY, revision=revision)


def _head_write(head: Head) -> RowWrite:
    return RowWrite(
        table=HEAD_TABLE,
        key=HEAD_KEY,
        value=msgspec.msgpack.encode(head),
    )


def _sealed_head(head: Head, note: ReleaseNote, sequence: int) -> Head:
    withdrawn = {
        withdrawal.name
        for withdrawal in note.withdrawals
        if withdrawal.kind is ItemKind.MOVE
    }
    return attrs.evolve(
        head,
        sequence=sequence,
        pending=_pending_without(head.pending, note.name),
        unconfirmed=(
            *head.unconfirmed,
            SealedNote(name=note.name, sequence=sequence),
        ),
        move_steps=tuple(
            step for step in head.move_steps if step.move not in withdrawn
        ),
    )


def _pending_without(
    pending: tuple[PendingNote, ...],
    name: str,
) -> tuple[PendingNote, ...]:
    return tuple(
        pending_note for pending_note in pending if pending_note.name != name
    )


def _note_rows(record: NoteRecord, revision: int) -> Rows:
    name = record.note.name
    return Rows(
        checks=(RowCheck(table=NOTES_TABLE, key=name, revision=revision),),
        writes=(
            RowWrite(
                table=NOTES_TABLE,
                key=name,
                value=msgspec.json.encode(record),
            ),
        ),
    )


def _entry_of(note: ReleaseNote, sequence: int) -> LogEntry:
    return LogEntry(
        sequence=sequence,
        records=tuple(
            ItemRecord(
                kind=kind,
                name=name,
                content=None if item is None else msgspec.json.encode(item),
                sequence=sequence,
                note=note.name,
                team=note.team,
            )
            for (kind, name), item in changed_items(note).items()
        ),
    )


def _entry_rows(entry: LogEntry) -> Rows:
    key = _log_key(entry.sequence)
    items = [
        RowWrite(
            table=ITEMS_TABLE,
            key=place_of((record.kind, record.name)),
            value=msgspec.msgpack.encode(record),
        )
        for record in entry.records
    ]
    entry_write = RowWrite(
        table=LOG_TABLE,
        key=key,
        value=msgspec.msgpack.encode(entry),
    )
    return Rows(
        checks=(RowCheck(table=LOG_TABLE, key=key, revision=0),),
        writes=(*items, entry_write),
    )


def _log_key(sequence: int) -> str:
    return str(sequence).zfill(_LOG_KEY_DIGITS)


def _added_budgets(note: ReleaseNote) -> tuple[Budget, ...]:
    return note.additions.budgets
