"""Messages by which VMs pass notes on and confirm them."""

import attrs

from teaseldale.notes._records import Head, LogEntry
from teaseldale.notes._state import Snapshot


@attrs.frozen(kw_only=True)
class VersionedHead:
    """A head and the table revision at which it was written."""

    head: Head
    revision: int


@attrs.frozen(kw_only=True)
class NotesExchange:
    """What the sender has in force, and news for the receiver."""

    sequence: int
    head_revision: int
    newer_head: VersionedHead | None = None
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen(kw_only=True)
class NotesExchangeReply:
    """What the receiver has in force, and what the sender lacked."""

    sequence: int
    head_revision: int
    caught_up: bool  # whether the receiver may pass its state on
    view_age_ms: int | None  # age of the receiver's view of the table
    newer_head: VersionedHead | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None  # in place of entries no longer held
