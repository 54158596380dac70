"""Rows of release notes in the table service.

Every transaction on notes checks and replaces the single head row, which
serialises them and so keeps the log and the items consistent.
"""

import enum

import attrs

from teaseldale.notes._items import ItemKind
from teaseldale.notes._release_note import ReleaseNote

HEAD_TABLE = 'notes_head'
HEAD_KEY = 'head'
NOTES_TABLE = 'notes'
LOG_TABLE = 'notes_log'
ITEMS_TABLE = 'configuration'
UNITS_TABLE = 'notes_units'


@enum.unique
class NoteState(enum.StrEnum):
    """State of a note; transitions only go down this list."""

    PENDING = 'pending'  # waits for every availability zone; can be cancelled
    TAKING_EFFECT = 'taking_effect'  # in the log; can't be cancelled
    ACCEPTED = 'accepted'  # applied in every availability zone
    CANCELLED = 'cancelled'


@enum.unique
class MovePhase(enum.StrEnum):
    """Phase of a running move."""

    STEPPING = 'stepping'
    WATCHING = 'watching'


@attrs.frozen(kw_only=True)
class PendingNote:
    """A staged note that waits until every availability zone has seen it."""

    name: str
    stage_number: int  # position in the order of staging


@attrs.frozen(kw_only=True)
class SealedNote:
    """A note in the log that some availability zone has not confirmed."""

    name: str
    sequence: int


@attrs.frozen(kw_only=True)
class MoveStep:
    """Share of requests that a running move routes to its new version."""

    move: str
    share_permille: int
    phase: MovePhase = MovePhase.STEPPING
    step_index: int = 0
    started_wall_ms: int = 0  # start of the move
    entered_wall_ms: int = 0  # start of the step
    steering_vm: str = ''  # VM incarnation that ordered the step


@attrs.frozen(kw_only=True)
class Head:
    """The row that every transaction on notes checks and replaces."""

    sequence: int = 0  # number of notes in the log
    stage_count: int = 0
    pending: tuple[PendingNote, ...] = ()
    unconfirmed: tuple[SealedNote, ...] = ()
    zones: tuple[str, ...] = ()  # availability zones that must confirm
    move_steps: tuple[MoveStep, ...] = ()

    def step_of(self, move: str) -> MoveStep | None:
        """Returns the current step of a running move, or None."""
        for step in self.move_steps:
            if step.move == move:
                return step
        return None


@attrs.frozen(kw_only=True)
class NoteRecord:
    """A note and its state; never deleted."""

    note: ReleaseNote
    state: NoteState
    stage_number: int
    sequence: int = 0  # 0 until it is in the log
    reason: str = ''  # why it was cancelled, or evidence of a move
    staged_wall_ms: int = 0


@attrs.frozen(kw_only=True)
class ItemRecord:
    """Content of an item, or its withdrawal, and the note that wrote it."""

    kind: ItemKind
    name: str
    content: bytes | None  # JSON of the item; None once withdrawn
    sequence: int  # sequence number of the note
    note: str
    team: str


@attrs.frozen(kw_only=True)
class LogEntry:
    """Item changes of one note; entries are ordered by sequence."""

    sequence: int
    records: tuple[ItemRecord, ...]


@attrs.frozen(kw_only=True)
class UnitRecord:
    """Confirmation by the VMs of one cell in one availability zone."""

    stage_seen: int  # newest stage number read from the table
    sequence: int  # every serving VM has applied at least this
