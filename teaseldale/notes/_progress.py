"""Advances notes from staged to accepted; safe to run on several VMs."""

from collections.abc import Callable

import attrs
import msgspec

from teaseldale.notes._note_store import NoteStore, StoredHead
from teaseldale.notes._records import (
    UNITS_TABLE,
    NoteRecord,
    NoteState,
    PendingNote,
    SealedNote,
    UnitRecord,
)
from teaseldale.notes._units import UnitMap, confirming_units
from teaseldale.tables import (
    BaseTableService,
    RowCheck,
    RowWrite,
    make_transaction,
)


@attrs.frozen(kw_only=True)
class NoteStatus:
    """Status of a note as it is shown to operators."""

    name: str
    team: str
    state: NoteState
    revision: int  # 0 until the note is in the log
    pending_zones: tuple[str, ...] = ()  # zones without confirmation
    reason: str = ''


class UnitRows:
    """Confirmation rows of all units; raises ``PlatformError``."""

    def __init__(self, *, table: BaseTableService) -> None:
        """Stores the rows in ``table``."""
        self._table = table

    async def read_all(self) -> dict[str, UnitRecord]:
        """Returns the confirmation rows of all units by unit key."""
        rows = await self._table.scan(table=UNITS_TABLE)
        return {
            row.key: msgspec.msgpack.decode(row.value, type=UnitRecord)
            for row in rows
            if row.value is not None
        }

    async def confirm(self, unit: str, record: UnitRecord) -> UnitRecord:
        """Advances a unit's row to ``record``; returns the row read before.

        Neither number of the row ever decreases.
        """
        row = await self._table.read(table=UNITS_TABLE, key=unit)
        current = UnitRecord(stage_seen=0, sequence=0)
        if row is not None and row.value is not None:
            current = msgspec.msgpack.decode(row.value, type=UnitRecord)
        merged = UnitRecord(
            stage_seen=max(current.stage_seen, record.stage_seen),
            sequence=max(current.sequence, record.sequence),
        )
        if merged == current:
            return current
        revision = 0 if row is None else row.revision
        await self._table.commit(
            make_transaction(
                checks=(
                    RowCheck(table=UNITS_TABLE, key=unit, revision=revision),
                ),
                writes=(
                    RowWrite(
                        table=UNITS_TABLE,
                        key=unit,
                        value=msgspec.msgpack.encode(merged),
                    ),
                ),
            ),
        )
        return current


class NoteProgress:
    """Seals notes seen by all zones and accepts notes that all confirmed."""

    def __init__(
        self,
        *,
        book: NoteStore,
        units: UnitRows,
        unit_map: Callable[[], UnitMap],
    ) -> None:
        """Advances notes in ``book`` by the confirmations in ``units``."""
        self._book = book
        self._units = units
        self._unit_map = unit_map

    async def advance(self) -> None:
        """Advances every note that is ready; raises ``PlatformError``."""
        read = await self._book.read_head()
        if not read.head.pending and not read.head.unconfirmed:
            return
        records = await self._units.read_all()
        for sealed in read.head.unconfirmed:
            if not self.zones_unconfirmed(read, sealed, records):
                await self._accept(sealed)
        for pending in read.head.pending:
            if not self.zones_unaware(read, pending, records):
                await self._seal(pending)

    def zones_unaware(
        self,
        read: StoredHead,
        pending: PendingNote,
        records: dict[str, UnitRecord],
    ) -> tuple[str, ...]:
        """Returns the zones that have not seen a pending note."""
        seen = confirming_units(records, stage_number=pending.stage_number)
        return self._unit_map().missing_zones(read.head, seen)

    def zones_unconfirmed(
        self,
        read: StoredHead,
        sealed: SealedNote,
        records: dict[str, UnitRecord],
    ) -> tuple[str, ...]:
        """Returns the zones that have not confirmed a note in the log."""
        confirmed = confirming_units(records, sequence=sealed.sequence)
        return self._unit_map().missing_zones(read.head, confirmed)

    async def status(self, name: str) -> NoteStatus | None:
        """Returns a note's state and the zones it waits for, or None."""
        stored = await self._book.read_note(name)
        if stored is None:
            return None
        return await self.status_of(stored.record)

    async def status_of(self, record: NoteRecord) -> NoteStatus:
        """Returns the status of a stored note for operators."""
        return NoteStatus(
            name=record.note.name,
            team=record.note.team,
            state=record.state,
            revision=record.sequence,
            pending_zones=await self._missing_zones(record),
            reason=record.reason,
        )

    async def _missing_zones(self, record: NoteRecord) -> tuple[str, ...]:
        if record.state in {NoteState.ACCEPTED, NoteState.CANCELLED}:
            return ()
        read = await self._book.read_head()
        units = await self._units.read_all()
        name = record.note.name
        if record.state is NoteState.PENDING:
            staged = PendingNote(name=name, stage_number=record.stage_number)
            return self.zones_unaware(read, staged, units)
        sealed = SealedNote(name=name, sequence=record.sequence)
        return self.zones_unconfirmed(read, sealed, units)

    async def _seal(self, pending: PendingNote) -> None:
        read = await self._book.read_head()
        stored = await self._book.read_note(pending.name)
        if stored is not None and stored.record.state is NoteState.PENDING:
            await self._book.seal(read, stored)

    async def _accept(self, sealed: SealedNote) -> None:
        read = await self._book.read_head()
        stored = await self._book.read_note(sealed.name)
        taking_effect = NoteState.TAKING_EFFECT
        if stored is not None and stored.record.state is taking_effect:
            await self._book.accept(read, stored)
