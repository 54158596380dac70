"""Notes service of one VM: replication, confirmation and progress."""

import functools

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.notes._configuration import (
    BaseConfigurationSource,
    Configuration,
)
from teaseldale.notes._follower import NotesFollower
from teaseldale.notes._intake import NoteIntake
from teaseldale.notes._note_store import BaseBudgetRows, NoteStore, StoredHead
from teaseldale.notes._progress import NoteProgress, NoteStatus, UnitRows
from teaseldale.notes._records import NoteState, UnitRecord
from teaseldale.notes._refusals import unknown_note
from teaseldale.notes._release_note import ReleaseNote
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.tables import BaseTableService, TableLease

READ_INTERVAL_MS = 500  # for the VM that reads the table for its unit
_EXCHANGE_INTERVAL_MS = 1000
_STALE_VIEW_MS = 1500  # above it, a VM polls its whole unit and the table
_STALE_READ_INTERVAL_MS = 1400
_PROGRESS_INTERVAL_MS = 1000
_APPLY_POLL_MS = 100
_APPLY_TIMEOUT_MS = 6000
_MAX_NOTIFIED_UNITS = 16
_LEASE_NAME = 'notes'
_MS_PER_SECOND = 1000
_FINAL_STATES = frozenset((NoteState.ACCEPTED, NoteState.CANCELLED))


@attrs.frozen(kw_only=True)
class NotesDependencies:
    """Dependencies of the notes service."""

    table: BaseTableService
    peers: BasePeerNetwork
    clock: BaseClock
    metrics: Metrics
    budget_rows: BaseBudgetRows


class FleetConfiguration(BaseConfigurationSource, BaseService):
    """Replicates, stages, confirms and cancels release notes."""

    def __init__(self, *, parts: NotesDependencies) -> None:
        """Creates the service with an empty configuration."""
        self._parts = parts
        self.book = NoteStore(table=parts.table, budget_rows=parts.budget_rows)
        self.follower = NotesFollower(
            book=self.book,
            peers=parts.peers,
            clock=parts.clock,
        )
        self._units = UnitRows(table=parts.table)
        self.progress = NoteProgress(
            book=self.book,
            units=self._units,
            unit_map=self.follower.unit_map,
        )
        self.intake = NoteIntake(
            book=self.book,
            follower=self.follower,
            clock=parts.clock,
        )
        self._lease = TableLease(
            table=parts.table,
            clock=parts.clock,
            name=_LEASE_NAME,
            holder=parts.peers.identity.key,
        )
        self._confirmed = UnitRecord(stage_seen=0, sequence=0)
        self._confirmed_unit = ''
        self._last_read_ms = 0
        self._pushed_revision = 0  # of the head last pushed to peers
        self._log = StateLog(channel='notes')

    @property
    def name(self) -> str:
        """Name of the service."""
        return 'notes'

    def current(self) -> Configuration:
        """Returns the newest snapshot of the configuration."""
        return self.follower.state.current

    def may_serve(self) -> bool:
        """Returns whether requests may be served from this VM's replica."""
        return self.follower.may_serve()

    async def start(self, tasks: TaskGroup) -> None:
        """Starts replication; the VM is not ready until it has caught up."""
        tasks.start_soon(self._follow_table)
        tasks.start_soon(self._follow_peers)
        tasks.start_soon(self._run_progress_loop)

    async def apply(self, note: ReleaseNote) -> NoteStatus | Refusal:
        """Stages a note and waits for a limited time for its acceptance.

        Idempotent: a note that is sent again with the same name and content
        returns its status. Raises ``PlatformError`` if the table did not
        reply.
        """
        refusal = await self.intake.stage(note)
        if isinstance(refusal, Refusal):
            self._parts.metrics.increment('notes_refused', refusal.code)
            return refusal
        return await self.advance_until_final(note.name)

    async def advance_until_final(self, name: str) -> NoteStatus | Refusal:
        """Advances a note until it is final or the time limit has passed.

        Returns a refusal if there is no such note. Raises ``PlatformError``
        if the table did not reply.
        """
        clock = self._parts.clock
        deadline_ms = clock.monotonic_ms() + _APPLY_TIMEOUT_MS
        while clock.monotonic_ms() < deadline_ms:
            await self.progress.advance()
            await self.follower.refresh()
            await self._push_updates()
            await self._confirm_unit()
            status = await self.progress.status(name)
            if status is not None and status.state in _FINAL_STATES:
                return status
            await clock.sleep_ms(_APPLY_POLL_MS)
        return await self.progress.status(name) or unknown_note(name)

    async def _follow_table(self) -> None:
        while True:
            if self._should_read_table():
                await self._read_table()
            self.follower.update_event = anyio.Event()
            with anyio.move_on_after(READ_INTERVAL_MS / _MS_PER_SECOND):
                await self.follower.update_event.wait()

    def _should_read_table(self) -> bool:
        if self.follower.reader() == self._parts.peers.identity:
            return True
        age = self.follower.contact.view_age_ms
        now_ms = self._parts.clock.monotonic_ms()
        due = now_ms - self._last_read_ms >= _STALE_READ_INTERVAL_MS
        return due and (age is None or age > _STALE_VIEW_MS)

    async def _read_table(self) -> None:
        self._last_read_ms = self._parts.clock.monotonic_ms()
        try:
            read = await self.follower.refresh()
            await self._register_zone(read)
        except PlatformError as error:
            self._parts.metrics.increment(
                'notes_table_reads_failed', error.step
            )
            return
        await self._push_updates()
        await self._try_confirm()

    async def _register_zone(self, read: StoredHead) -> None:
        zone = self._parts.peers.identity.availability_zone
        if zone in read.head.zones:
            return
        zones = tuple(sorted((*read.head.zones, zone)))
        await self.book.replace_head(
            read,
            attrs.evolve(read.head, zones=zones),
        )

    async def _push_updates(self) -> None:
        if self.follower.head_revision == self._pushed_revision:
            return
        self._pushed_revision = self.follower.head_revision
        units = self.follower.unit_map()
        targets = set(self.follower.unit_peers())
        first_members = units.first_members()
        if len(first_members) <= _MAX_NOTIFIED_UNITS:
            targets.update(first_members)
        targets.discard(self._parts.peers.identity)
        async with anyio.create_task_group() as tasks:
            for target in targets:
                tasks.start_soon(self._push, target)

    async def _push(self, target: VmIdentity) -> None:
        if target in self._parts.peers.reachable_peers():
            await self.follower.exchange(target, push=True)

    async def _try_confirm(self) -> None:
        try:
            await self._confirm_unit()
        except PlatformError as error:
            self._parts.metrics.increment('notes_confirms_failed', error.step)

    async def _confirm_unit(self) -> None:
        follower = self.follower
        own = self._parts.peers.identity
        if follower.reader() != own or not follower.contact.fresh:
            return
        unit = follower.unit_map().unit_of(own)
        confirmations = follower.confirmations
        confirmations.update_members(follower.unit_peers())
        stage = follower.head.stage_count
        if not confirmations.has_majority_contact(own.key):
            stage = 0
        record = UnitRecord(
            stage_seen=stage,
            sequence=confirmations.confirmed_sequence(
                own.key,
                follower.state.sequence,
            ),
        )
        if unit == self._confirmed_unit and record == self._confirmed:
            return
        await self._units.confirm(unit, record)
        self._confirmed_unit = unit
        self._confirmed = record

    async def _follow_peers(self) -> None:
        while True:
            follower = self.follower
            follower.confirmations.update_members(follower.unit_peers())
            await self._pull_from_peers()
            if not follower.caught_up:
                await follower.catch_up_from_peers()
            self._update_metrics()
            await self._parts.clock.sleep_ms(_EXCHANGE_INTERVAL_MS)

    async def _pull_from_peers(self) -> None:
        age = self.follower.contact.view_age_ms
        targets = {self.follower.reader()}
        if age is None or age > _STALE_VIEW_MS:
            targets.update(self.follower.unit_peers())
        targets.discard(self._parts.peers.identity)
        pull = functools.partial(self.follower.exchange, push=False)
        async with anyio.create_task_group() as tasks:
            for target in targets:
                tasks.start_soon(pull, target)

    async def _run_progress_loop(self) -> None:
        while True:
            await self._parts.clock.sleep_ms(_PROGRESS_INTERVAL_MS)
            head = self.follower.head
            if head.pending or head.unconfirmed:
                await self._advance_once()

    async def _advance_once(self) -> None:
        if self.follower.reader() != self._parts.peers.identity:
            return
        try:
            if await self._lease.renew():
                await self.progress.advance()
        except PlatformError as error:
            self._parts.metrics.increment('notes_progress_failed', error.step)

    def _update_metrics(self) -> None:
        metrics = self._parts.metrics
        head = self.follower.head
        age = self.follower.contact.view_age_ms
        metrics.set_gauge('notes_revision', self.follower.state.sequence)
        metrics.set_gauge('notes_view_age_ms', -1 if age is None else age)
        metrics.set_gauge('notes_pending', len(head.pending))
        metrics.set_gauge('notes_unconfirmed', len(head.unconfirmed))
        metrics.set_gauge('notes_may_serve', int(self.may_serve()))
