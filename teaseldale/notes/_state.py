"""Active configuration items of one VM, advanced by log entries."""

from collections.abc import Iterable, Mapping

import attrs
import msgspec

from teaseldale.notes._configuration import Configuration, ItemKey
from teaseldale.notes._items import TYPE_BY_KIND, ConfigurationItem
from teaseldale.notes._records import ItemRecord, LogEntry

_RETAINED_ENTRIES = 256


class GapError(ValueError):
    """A log entry is not contiguous; read the missing entries first."""


@attrs.frozen(kw_only=True)
class Snapshot:
    """Records of all items as of a sequence number."""

    sequence: int
    records: tuple[ItemRecord, ...]


class ConfigurationState:
    """Applies log entries in order; the sequence never decreases."""

    def __init__(self) -> None:
        """Creates an empty state of sequence 0."""
        self._records: dict[ItemKey, ItemRecord] = {}
        self._items: dict[ItemKey, ConfigurationItem] = {}
        self._entries: list[LogEntry] = []
        self._current = Configuration.build(0, {})

    @property
    def sequence(self) -> int:
        """Sequence number of the newest applied note."""
        return self._current.revision

    @property
    def current(self) -> Configuration:
        """Configuration snapshot for the request path."""
        return self._current

    @property
    def records(self) -> Mapping[ItemKey, ItemRecord]:
        """Latest record of each item, including withdrawn items."""
        return self._records

    @property
    def items(self) -> Mapping[ItemKey, ConfigurationItem]:
        """Active items by kind and name."""
        return self._items

    def snapshot(self) -> Snapshot:
        """Returns all records, for a VM that starts or lags far behind."""
        return Snapshot(
            sequence=self.sequence,
            records=tuple(self._records.values()),
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the whole state if ``snapshot`` is newer."""
        if snapshot.sequence <= self.sequence:
            return
        self._records = {}
        self._items = {}
        self._entries = []
        self._write(snapshot.records)
        self._current = Configuration.build(snapshot.sequence, self._items)

    def apply(self, entries: Iterable[LogEntry]) -> None:
        """Applies the entries that are new; raises ``GapError`` at a gap."""
        sequence = self.sequence
        for entry in entries:
            if entry.sequence > sequence + 1:
                raise GapError(f'{entry.sequence} does not follow {sequence}.')
            if entry.sequence == sequence + 1:
                self._write(entry.records)
                self._entries.append(entry)
                sequence = entry.sequence
        if sequence > self.sequence:
            self._entries = self._entries[-_RETAINED_ENTRIES:]
            self._current = Configuration.build(sequence, self._items)

    def entries_after(self, sequence: int) -> tuple[LogEntry, ...] | None:
        """Returns entries after ``sequence``; None if some are not retained."""
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
