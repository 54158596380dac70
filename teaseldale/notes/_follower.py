"""Replica of the notes on this VM, updated from the table and from peers."""

import contextlib

import anyio
import attrs

from teaseldale.clock import BaseClock
from teaseldale.notes._contact import ContactLog, is_majority
from teaseldale.notes._exchange import (
    NotesExchange,
    NotesExchangeReply,
    VersionedHead,
)
from teaseldale.notes._note_store import NoteStore, StoredHead
from teaseldale.notes._records import Head, LogEntry
from teaseldale.notes._state import ConfigurationState, GapError
from teaseldale.notes._units import UnitConfirmations, UnitMap
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity

EXCHANGE_TIMEOUT_MS = 700
_MAX_ENTRY_READS = 64  # log entries read singly; a larger gap reads all items
_MESSAGE_KIND = 'notes_exchange'


class NotesFollower:
    """Replicates the state and the head; neither ever goes back."""

    def __init__(
        self,
        *,
        book: NoteStore,
        peers: BasePeerNetwork,
        clock: BaseClock,
    ) -> None:
        """Creates an empty replica and registers its message handler."""
        self._book = book
        self._peers = peers
        self._clock = clock
        self._newest_head = VersionedHead(head=Head(), revision=0)
        self._read_lock = anyio.Lock()
        self._listed_vms: tuple[VmIdentity, ...] = (peers.identity,)
        self._units = UnitMap(vms=self._listed_vms)
        self._highest_zone_sequence = 0  # reported by peers in this zone
        self.state = ConfigurationState()
        self.contact = ContactLog(clock=clock)
        self.confirmations = UnitConfirmations(clock=clock)
        self.caught_up = False
        self.update_event = anyio.Event()  # set on a new head or missing notes
        peers.handle(
            NotesExchange,
            kind=_MESSAGE_KIND,
            reply_type=NotesExchangeReply,
            handler=self._handle_exchange,
        )

    @property
    def head(self) -> Head:
        """Newest head known to this VM."""
        return self._newest_head.head

    @property
    def head_revision(self) -> int:
        """Table revision of the newest head known to this VM."""
        return self._newest_head.revision

    @property
    def behind(self) -> bool:
        """Whether a note that the head or a zone peer has is missing here."""
        return self.state.sequence < max(
            self._highest_zone_sequence,
            self.head.sequence,
        )

    def unit_map(self) -> UnitMap:
        """Returns the units of the VMs on the current membership list."""
        listed = (self._peers.identity, *self._peers.known_peers())
        if listed != self._listed_vms:
            self._listed_vms = listed
            self._units = UnitMap(vms=listed)
        return self._units

    def unit_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the other VMs of this VM's unit."""
        units = self.unit_map()
        own = self._peers.identity
        return tuple(
            vm for vm in units.members(units.unit_of(own)) if vm != own
        )

    def reader(self) -> VmIdentity:
        """Returns the VM that reads the table for this VM's unit.

        It is the first by name among this VM and its reachable unit peers.
        """
        reachable = set(self._peers.reachable_peers())
        candidates = [peer for peer in self.unit_peers() if peer in reachable]
        return min((self._peers.identity, *candidates), key=_name_of)

    def may_serve(self) -> bool:
        """Returns whether requests may be served from this replica.

        The replica must be caught up with its zone. In addition, either the
        view of the table is fresh, or this VM is in contact with a majority
        of its unit: without this VM, the unit then confirms no newer note.
        """
        sequence = self.state.sequence
        if not self.caught_up or sequence == 0:
            return False
        if sequence < self._highest_zone_sequence:
            return False
        return self.contact.fresh or self._has_majority_contact()

    async def refresh(self) -> StoredHead:
        """Reads the head, and missing log entries or all items, from the table.

        Raises ``PlatformError`` if the table did not reply.
        """
        async with self._read_lock:
            sent_ms = self._clock.monotonic_ms()
            read = await self._book.read_head()
            await self._catch_up(read)
            self._adopt_head(
                VersionedHead(head=read.head, revision=read.revision),
            )
            self.contact.record_table_view(sent_ms)
            self.caught_up = True
            return read

    async def exchange(self, peer: VmIdentity, *, push: bool) -> bool:
        """Exchanges updates with a peer; returns whether it replied.

        With ``push``, the message carries the newest head and log entry.
        """
        sent_ms = self._clock.monotonic_ms()
        message = NotesExchange(
            sequence=self.state.sequence,
            head_revision=self.head_revision,
        )
        if push:
            message = attrs.evolve(
                message,
                newer_head=self._newest_head,
                entries=self._last_entry(),
            )
        try:
            reply = await self._peers.request(
                peer,
                message,
                timeout_ms=EXCHANGE_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return False
        self._apply_reply(peer, reply, sent_ms)
        return True

    async def catch_up_from_peers(self) -> None:
        """Marks this VM as caught up once all peers of its unit have replied.

        This allows a VM to start while the table is unavailable.
        """
        members = self.unit_peers()
        answers = [
            await self.exchange(member, push=False) for member in members
        ]
        if members and all(answers) and self.state.sequence > 0:
            self.caught_up = True

    def _has_majority_contact(self) -> bool:
        own_key = self._peers.identity.key
        keys = {peer.key for peer in self.unit_peers()}
        present = {key for key in keys if self.contact.peer_fresh(key)}
        return is_majority({own_key, *present}, {own_key, *keys})

    async def _catch_up(self, read: StoredHead) -> None:
        target = read.head.sequence
        gap = target - self.state.sequence
        if gap > _MAX_ENTRY_READS or (gap > 0 and self.state.sequence == 0):
            await self._load_all(target)
        elif gap > 0:
            entries = await self._book.read_entries(
                self.state.sequence,
                target,
            )
            self.state.apply(entries)

    async def _load_all(self, sequence: int) -> None:
        snapshot = await self._book.read_snapshot(sequence)
        later = await self._book.read_head()
        entries = await self._book.read_entries(sequence, later.head.sequence)
        self.state.restore(snapshot)
        self.state.apply(entries)

    async def _handle_exchange(
        self,
        sender: VmIdentity,
        message: NotesExchange,
    ) -> NotesExchangeReply:
        if message.newer_head is not None:
            self._adopt_head(message.newer_head)
        with contextlib.suppress(GapError):
            self.state.apply(message.entries)
        self._record_peer_sequence(sender, message.sequence)
        entries = self.state.entries_after(message.sequence)
        needs_snapshot = entries is None and self.caught_up
        head_is_newer = self.head_revision > message.head_revision
        return NotesExchangeReply(
            sequence=self.state.sequence,
            head_revision=self.head_revision,
            caught_up=self.caught_up,
            view_age_ms=self.contact.view_age_ms,
            newer_head=self._newest_head if head_is_newer else None,
            entries=entries or (),
            snapshot=self.state.snapshot() if needs_snapshot else None,
        )

    def _apply_reply(
        self,
        peer: VmIdentity,
        reply: NotesExchangeReply,
        sent_ms: int,
    ) -> None:
        self._record_peer_sequence(peer, reply.sequence)
        if not reply.caught_up:
            return
        self.contact.record_peer_reply(peer.key, sent_ms)
        if reply.snapshot is not None:
            self.state.restore(reply.snapshot)
        with contextlib.suppress(GapError):
            self.state.apply(reply.entries)
        if reply.newer_head is not None:
            self._adopt_head(reply.newer_head)
        same_head = self.head_revision == reply.head_revision
        if same_head and not self.behind and reply.view_age_ms is not None:
            self.contact.record_table_view(sent_ms - reply.view_age_ms)
            self.caught_up = self.caught_up or self.contact.fresh

    def _record_peer_sequence(self, peer: VmIdentity, sequence: int) -> None:
        if peer.availability_zone == self._peers.identity.availability_zone:
            self._highest_zone_sequence = max(
                self._highest_zone_sequence, sequence
            )
        self.confirmations.record_report(peer, sequence)
        if self.behind:
            self.update_event.set()

    def _adopt_head(self, candidate: VersionedHead) -> None:
        if candidate.revision > self._newest_head.revision:
            self._newest_head = candidate
            self.update_event.set()

    def _last_entry(self) -> tuple[LogEntry, ...]:
        return self.state.entries_after(self.state.sequence - 1) or ()


def _name_of(vm: VmIdentity) -> str:
    return vm.name
