"""Items in force on one VM, brought forward note by note."""

from collections.abc import Iterable, Mapping

import attrs
import msgspec

from teaseldale.notes._configuration import Configuration, ItemKey
from teaseldale.notes._items import TYPE_BY_KIND, ConfigurationItem
from teaseldale.notes._records import ItemRecord, LogEntry

_KEPT_ENTRIES = 256


class GapError(ValueError):
    """An entry does not follow the sequence in force; read what is between."""


@attrs.frozen(kw_only=True)
class Snapshot:
    """All items as of a sequence number."""

    sequence: int
    records: tuple[ItemRecord, ...]


class ConfigurationState:
    """Applies log entries in order; the sequence never goes back."""

    def __init__(self) -> None:
        """Starts before the first note."""
        self._records: dict[ItemKey, ItemRecord] = {}
        self._items: dict[ItemKey, ConfigurationItem] = {}
        self._entries: list[LogEntry] = []
        self._current = Configuration.build(0, {})

    @property
    def sequence(self) -> int:
        """Number of the newest note in force."""
        return self._current.revision

    @property
    def current(self) -> Configuration:
        """Snapshot for the request path."""
        return self._current

    @property
    def records(self) -> Mapping[ItemKey, ItemRecord]:
        """Who last wrote each item; withdrawn items are included."""
        return self._records

    @property
    def items(self) -> Mapping[ItemKey, ConfigurationItem]:
        """Items in force."""
        return self._items

    def snapshot(self) -> Snapshot:
        """Returns everything, for a VM that starts or is far behind."""
        return Snapshot(
            sequence=self.sequence,
            records=tuple(self._records.values()),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces everything if ``snapshot`` is newer."""
        if snapshot.sequence <= self.sequence:
            return
        self._records = {}
        self._items = {}
        self._entries = []
        self._write(snapshot.records)
        self._current = Configuration.build(snapshot.sequence, self._items)

    def apply(self, entries: Iterable[LogEntry]) -> None:
        """Applies entries that follow; raises ``GapError`` at a gap."""
        sequence = self.sequence
        for entry in entries:
            if entry.sequence > sequence + 1:
                raise GapError(f'{entry.sequence} does not follow {sequence}.')
            if entry.sequence == sequence + 1:
                self._write(entry.records)
                self._entries.append(entry)
                sequence = entry.sequence
        if sequence > self.sequence:
            self._entries = self._entries[-_KEPT_ENTRIES:]
            self._current = Configuration.build(sequence, self._items)

    def entries_after(self, sequence: int) -> tuple[LogEntry, ...] | None:
        """Returns what follows ``sequence``; None if it is not held."""
        if sequence >= self.sequence:
            return ()
        if not self._entries or self._entries[0].sequence > sequence + 1:
            return None
        return tuple(
            entry for entry in self._entries if entry.sequence > sequence
        )

    def _write(self, records: Iterable[ItemRecord]) -> None:
        for record in records:
            key = (record.kind, record.name)
            self._records[key] = record
            if record.content is None:
                self._items.pop(key, None)
            else:
                self._items[key] = msgspec.json.decode(
                    record.content,
                    type=TYPE_BY_KIND[record.kind],
                )
