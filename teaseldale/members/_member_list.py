"""Service that registers this VM and follows the member list of the fleet.

Each VM writes its row on start and deletes it on a graceful shutdown. Rows are
not renewed, so no rows are transferred while the membership is unchanged. A VM
that crashes is removed by the VMs of its cell once they no longer receive its
datagrams.
"""

from collections.abc import Callable, Iterable, Mapping

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members._members import BaseFleetMembers, VmEntry
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Row,
    RowCheck,
    RowWrite,
    TableFollower,
    make_transaction,
)

_TABLE = 'vm_entries'
# Interval of checking the own registration. The row is written again if another
# VM has removed it, or if the store was unavailable on start.
_REGISTRATION_CHECK_MS = 500
# A list that is unchanged for this long is considered complete. The VMs of a
# starting fleet register within a few hundred ms of each other.
_SETTLED_MS = 1000
# Ended incarnations listed per VM. Account rows are cleaned of an incarnation
# within seconds of the next start.
_MAX_ENDED_INCARNATIONS = 8
# Long-poll time-out of the feed. Nothing time-critical depends on this list.
_FEED_WAIT_MS = 5000


class MemberList(BaseFleetMembers, BaseService):
    """Member list backed by registrations in the store."""

    def __init__(
        self,
        *,
        vm_name: str,
        entry: VmEntry,
        table: BaseTableService,
        feed: BaseRowFeed,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Registers ``entry`` for ``vm_name`` after ``start``."""
        self._vm_name = vm_name
        self._entry = entry
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._entries: dict[str, VmEntry] = {}
        self._row_revisions: dict[str, int] = {}
        self._revision = 0
        self._changed_ms = 0  # monotonic, of the latest change
        self._change_callbacks: list[Callable[[], None]] = []
        self._is_leaving = False
        self._log = StateLog(channel='members')
        self._follower = TableFollower(
            feed=feed,
            table=_TABLE,
            clock=clock,
            metrics=metrics,
            on_snapshot=self._apply_all,
            on_changes=self._apply_changes,
            wait_ms=_FEED_WAIT_MS,
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'member_list'

    @property
    def revision(self) -> int:
        """Returns a number that grows per change; 0 before the first read."""
        return self._revision

    @property
    def is_settled(self) -> bool:
        """Returns whether the list has been unchanged for the settling time."""
        age_ms = self._clock.monotonic_ms() - self._changed_ms
        return self._revision > 0 and age_ms >= _SETTLED_MS

    @property
    def vm_count(self) -> int:
        """Returns how many VMs share the fleet-wide limits, at least 1."""
        return max(1, len(self._entries))

    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the VMs by name."""
        return self._entries

    def add_change_listener(self, callback: Callable[[], None]) -> None:
        """Registers ``callback`` to be called after each later change."""
        self._change_callbacks.append(callback)

    async def start(self, tasks: TaskGroup) -> None:
        """Starts following the list and maintaining the own row."""
        tasks.start_soon(self._follower.run)
        tasks.start_soon(self._keep_registered)

    async def drain(self) -> None:
        """Deregisters this VM, so that others stop contacting it."""
        self._is_leaving = True
        with anyio.CancelScope(shield=True):
            await self._write(self._vm_name, None)

    async def remove_silent(self, names: Iterable[str]) -> None:
        """Removes VMs that have sent nothing for the silence time-out.

        A VM that is still alive registers again.
        """
        for name in names:
            if name in self._entries and name != self._vm_name:
                self._log.changed('member_silent', member=name)
                await self._write(name, None)

    async def _keep_registered(self) -> None:
        while not self._is_leaving:
            if self._revision and not self._is_listed:
                await self._write(self._vm_name, self._next_entry())
            await self._clock.sleep_ms(_REGISTRATION_CHECK_MS)

    @property
    def _is_listed(self) -> bool:
        registered = self._entries.get(self._vm_name)
        return registered is not None and (
            registered.incarnation == self._entry.incarnation
        )

    def _next_entry(self) -> VmEntry:
        """Returns the own entry, listing the incarnation that it replaces."""
        registered = self._entries.get(self._vm_name)
        if registered is None:
            return self._entry
        ended = (registered.incarnation, *registered.ended)[
            :_MAX_ENDED_INCARNATIONS
        ]
        return attrs.evolve(self._entry, ended=ended)

    async def _write(self, name: str, entry: VmEntry | None) -> None:
        """Writes a row if its revision is the last one read.

        A conflict is ignored: the feed delivers the newer row.
        """
        encoded = None if entry is None else msgspec.msgpack.encode(entry)
        transaction = make_transaction(
            checks=(
                RowCheck(
                    table=_TABLE,
                    key=name,
                    revision=self._row_revisions.get(name, 0),
                ),
            ),
            writes=(RowWrite(table=_TABLE, key=name, value=encoded),),
        )
        try:
            await self._table.commit(transaction)
        except PlatformError as error:
            self._metrics.increment('members_not_written', error.reason)
            self._log.changed(
                'member_not_written',
                member=name,
                reason=error.reason,
            )

    def _apply_all(self, rows: tuple[Row, ...]) -> None:
        self._entries = {}
        self._row_revisions = {}
        self._apply_changes(rows)

    def _apply_changes(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            self._apply_row(row)
        self._revision += 1
        self._changed_ms = self._clock.monotonic_ms()
        self._metrics.set_gauge('members', len(self._entries))
        self._log.changed('members_changed', count=len(self._entries))
        for callback in self._change_callbacks:
            callback()

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            self._entries.pop(row.key, None)
            self._row_revisions.pop(row.key, None)
            return
        self._row_revisions[row.key] = row.revision
        try:
            self._entries[row.key] = msgspec.msgpack.decode(
                row.value,
                type=VmEntry,
            )
        except msgspec.DecodeError as error:
            self._metrics.increment('rows_unreadable', _TABLE)
            self._log.changed(
                'row_unreadable',
                table=_TABLE,
                key=row.key,
                reason=str(error),
            )
