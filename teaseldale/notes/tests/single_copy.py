"""Reference model: applies all notes of the log to one copy in order."""

import msgspec

from teaseldale.notes import ItemKind, NoteRecord
from teaseldale.notes._records import LOG_TABLE, NOTES_TABLE, LogEntry


class SingleCopy:
    """Items as of each sequence number; reports conflicting notes."""

    def __init__(self, *, table, record_violation):
        self.table = table
        self.record_violation = record_violation
        self.copies = {0: {}}
        self.last_changed = {}

    def items_at(self, sequence):
        """Returns the items after the note of a sequence number."""
        if sequence not in self.copies:
            copy = dict(self.items_at(sequence - 1))
            self.apply(copy, self.note_at(sequence), sequence)
            self.copies[sequence] = copy
        return self.copies[sequence]

    def note_at(self, sequence):
        key = str(sequence).zfill(12)
        row = self.table.read(table=LOG_TABLE, key=key)
        entry = msgspec.msgpack.decode(row.value, type=LogEntry)
        name = entry.records[0].note
        row = self.table.read(table=NOTES_TABLE, key=name)
        return msgspec.json.decode(row.value, type=NoteRecord).note

    def apply(self, copy, note, sequence):
        for change in note.item_changes():
            key = (change.kind, change.item.name)
            if change.written_against_revision == 0:
                if key in copy:
                    self.record_violation(f'{note.name} adds {key} again')
            else:
                self.check_revision(note, key, note.written_against_revision)
            copy[key] = change.item
            self.last_changed[key] = sequence
        for withdrawal in note.withdrawals:
            key = (withdrawal.kind, withdrawal.name)
            self.check_revision(note, key, withdrawal.written_against_revision)
            copy.pop(key, None)
            self.last_changed[key] = sequence
        self.check_references(copy, note)

    def check_revision(self, note, key, revision):
        if self.last_changed.get(key, 0) > revision:
            self.record_violation(f'{note.name} overwrites a newer {key}')

    def check_references(self, copy, note):
        for item in copy.values():
            for budget in getattr(item, 'budgets', ()):
                if (ItemKind.BUDGET, budget) not in copy:
                    self.record_violation(f'{note.name}: no budget {budget}')
