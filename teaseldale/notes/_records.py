"""Rows of release notes in the table service.

All transactions on notes check and replace the one head row, so that they are
serialised; the log and the items follow from it.
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
    """How far a note has come; it only moves down this list."""

    PENDING = 'pending'  # waits for every availability zone; can be cancelled
    TAKING_EFFECT = 'taking_effect'  # in the log; can't be cancelled
    ACCEPTED = 'accepted'  # in force in every availability zone
    CANCELLED = 'cancelled'


@enum.unique
class MovePhase(enum.StrEnum):
    """What a running move does."""

    STEPPING = 'stepping'
    WATCHING = 'watching'


@attrs.frozen(kw_only=True)
class PendingNote:
    """A note that waits for availability zones."""

    name: str
    stage_number: int  # order of staging


@attrs.frozen(kw_only=True)
class SealedNote:
    """A note in the log that some availability zone has not confirmed."""

    name: str
    sequence: int


@attrs.frozen(kw_only=True)
class MoveStep:
    """Share of requests that a running move sends to its new version."""

    move: str
    share_permille: int
    phase: MovePhase = MovePhase.STEPPING
    step_index: int = 0
    started_wall_ms: int = 0  # when the move began
    entered_wall_ms: int = 0  # when the step was ordered
    steering_vm: str = ''  # incarnation that ordered it


@attrs.frozen(kw_only=True)
class Head:
    """The one row that every transaction on notes checks."""

    sequence: int = 0  # notes in the log so far
    stage_count: int = 0
    pending: tuple[PendingNote, ...] = ()
    unconfirmed: tuple[SealedNote, ...] = ()
    zones: tuple[str, ...] = ()  # availability zones that must confirm
    move_steps: tuple[MoveStep, ...] = ()

    def step_of(self, move: str) -> MoveStep | None:
        """Returns the step of a running move."""
        for step in self.move_steps:
            if step.move == move:
                return step
        return None


@attrs.frozen(kw_only=True)
class NoteRecord:
    """A note and what became of it; never deleted."""

    note: ReleaseNote
    state: NoteState
    stage_number: int
    sequence: int = 0  # 0 until it is in the log
    reason: str = ''  # why it was cancelled, or evidence of a move
    staged_wall_ms: int = 0


@attrs.frozen(kw_only=True)
class ItemRecord:
    """Content of an item, or its withdrawal, and who is behind it."""

    kind: ItemKind
    name: str
    content: bytes | None  # JSON of the item; None once withdrawn
    sequence: int  # of the note below
    note: str
    team: str


@attrs.frozen(kw_only=True)
class LogEntry:
    """What one note changed, in the order of sequence numbers."""

    sequence: int
    records: tuple[ItemRecord, ...]


@attrs.frozen(kw_only=True)
class UnitRecord:
    """What the VMs of one cell in one availability zone have confirmed."""

    stage_seen: int  # newest stage number read from the table
    sequence: int  # every serving VM has at least this in force
