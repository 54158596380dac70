"""Peer messages that replicate and confirm release notes."""

import attrs

from teaseldale.notes._records import Head, LogEntry
from teaseldale.notes._state import Snapshot


@attrs.frozen(kw_only=True)
class VersionedHead:
    """A head row and the table revision at which it was written."""

    head: Head
    revision: int


@attrs.frozen(kw_only=True)
class NotesExchange:
    """Applied sequence of the sender, and updates for the receiver."""

    sequence: int
    head_revision: int
    newer_head: VersionedHead | None = None
    entries: tuple[LogEntry, ...] = ()


@attrs.frozen(kw_only=True)
class NotesExchangeReply:
    """Applied sequence of the receiver, and updates that the sender lacked."""

    sequence: int
    head_revision: int
    caught_up: bool  # whether the sender may adopt the receiver's state
    view_age_ms: int | None  # of the receiver's view; None before the first
    newer_head: VersionedHead | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None  # replaces entries that were discarded
