"""Transactions that extend, return and mark this VM's grant of an account."""

from collections.abc import Iterable

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_era import AccountEra
from teaseldale.budgets._account_joining import AccountState
from teaseldale.budgets._account_plan import (
    EMPTY_ROW,
    AccountPlan,
    OwnKeeperRow,
)
from teaseldale.budgets._account_rows import (
    ACCOUNTS_TABLE,
    GRANTS_KEY,
    AccountRow,
    HolderKey,
    KeeperRow,
    ReadAccountRow,
    ReadKeeperRow,
    SpendingMark,
    check_of,
    decode_account_row,
    keeper_key,
    row_write,
)
from teaseldale.budgets._confirmation_rows import CONFIRMATION_KEY
from teaseldale.budgets._keeper_register import KeeperRegister
from teaseldale.budgets._spending_marks import (
    BindingMark,
    SpendingLimits,
    allowance_of,
)
from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError, Step
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    EraChangedError,
    Row,
    RowCheck,
    StoreEras,
    Transaction,
    make_transaction,
)

_CONFLICT_ATTEMPTS = 8  # keepers may change one account row concurrently


@attrs.frozen(kw_only=True)
class StoreAccess:
    """The store with the clock and metrics used for accessing it."""

    table: BaseTableService
    feed: BaseRowFeed
    clock: BaseClock
    metrics: Metrics
    eras: StoreEras = attrs.field(factory=StoreEras)


@attrs.frozen(kw_only=True)
class VmIncarnation:
    """Identity and address of one incarnation of a VM."""

    holder: HolderKey
    address: str  # receives datagrams from other VMs
    started_ms: int  # monotonic time of the process start
    is_first: bool = False  # no VM of the fleet has been started before


class AccountRounds:
    """Reads and writes the rows of one account on behalf of this VM."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        store: StoreAccess,
        held: HeldAccount,
        keepers: AccountKeepers,
    ) -> None:
        """Starts without rows for the account of ``held``."""
        self._start = start
        self._holder = start.holder
        self._store = store
        self.held = held
        self._own = OwnKeeperRow(holder=start.holder)
        self.keepers = KeeperRegister(clock=store.clock)
        self._is_read = False
        self._log = StateLog(channel='grants')
        self.limits = SpendingLimits()
        self.era = AccountEra(
            holder=start.holder,
            started_ms=start.started_ms,
            held=held,
            clock=store.clock,
            eras=store.eras,
            is_first_start=start.is_first,
        )
        self._plan = AccountPlan(
            held=held,
            own=self._own,
            assigned=keepers,
            register=self.keepers,
            era=self.era,
        )

    @property
    def is_read(self) -> bool:
        """Whether the cached rows are current enough for a transaction."""
        return self._is_read and self.era.is_current

    @property
    def is_assigned(self) -> bool:
        """Whether this VM is a keeper of the account."""
        return self._plan.is_assigned

    @property
    def keeper_count(self) -> int:
        """Number of keepers, including those whose rows are not yet read."""
        return self._plan.keeper_count

    @property
    def needs_rounds(self) -> bool:
        """Whether this VM may have to write to the account's partition."""
        held = self.held
        has_grant = held.granted_tokens > held.spent_tokens
        is_unread = self._own.read is not None and not self.era.is_current
        is_joining = is_unread or self.era.is_join_due
        return self.is_assigned or has_grant or is_joining

    @property
    def spent_by_all(self) -> int:
        """Lower bound of the tokens that all keepers have spent."""
        return self._plan.spent_by_all

    async def read(self) -> None:
        """Reads all rows of the account's partition."""
        clock = self._store.clock
        sent_ms = clock.monotonic_ms()
        read = await self._store.feed.read_all(
            ACCOUNTS_TABLE,
            part=self.held.account,
        )
        self.keepers.update_store_time(read.store_ms)
        self._enter_era(read.era)
        self._apply_rows(read.rows, is_complete=True)
        if not self._is_read:
            self._own.started_store_ms = min(
                self._own.started_store_ms,
                read.store_ms - (sent_ms - self._start.started_ms),
            )
            self._own.log_earlier(self.held, self._log, self.era.number)
        self._is_read = True

    async def change(self, *, return_all: bool = False) -> None:
        """Commits the required grant change and mark, if any."""
        started_ms = self._store.clock.monotonic_ms()
        for conflicts in range(_CONFLICT_ATTEMPTS):
            if not self.is_read:
                return
            state = self._plan.target(return_all=return_all)
            now_ms = self._store.clock.monotonic_ms()
            if state is None and not self._is_mark_due(now_ms):
                return
            if await self._commit(state):
                self._log_change(state, conflicts, started_ms)
                return
            self._store.metrics.increment('grant_conflicts')
        self._log.changed('grants_contended', account=self.held.account)

    def _log_change(
        self,
        state: AccountState | None,
        conflicts: int,
        started_ms: int,
    ) -> None:
        if state is None:
            return
        self._log.changed(
            'grants_changed',
            account=self.held.account,
            granted=state.row.granted_to(self._holder),
            conflicts=conflicts,
            era=self._store.eras.current,
            duration_ms=self._store.clock.monotonic_ms() - started_ms,
            vm_count=self.keeper_count,
        )

    def _is_mark_due(self, now_ms: int) -> bool:
        """Whether to write a mark; in a new era only with the own grant."""
        return self.era.is_joined and self.limits.is_mark_due(self.held, now_ms)

    async def _commit(self, state: AccountState | None) -> bool:
        row = None if state is None else state.row
        mark = self._mark_to_write(row)
        if row is not None:
            # Tokens that are about to be returned must not be spent.
            granted = row.granted_to(self._holder)
            self.held.granted_tokens = min(self.held.granted_tokens, granted)
        own_row = KeeperRow(
            incarnation=self._holder.incarnation,
            address=self._start.address,
            mark=mark,
            spent_tokens=self.held.spent_tokens,
        )
        try:
            outcome = await self._store.table.commit(
                self._transaction(own_row, state),
            )
        except PlatformError:
            # The outcome is unknown and the commit may still be applied: read
            # the rows before the next change and spend within both outcomes.
            self._is_read = False
            raise
        self._require_same_era(outcome)
        if isinstance(outcome, Conflicted):
            self._apply_conflict(outcome)
            return False
        self._acknowledge(outcome, own_row, state)
        return True

    def _transaction(
        self,
        own_row: KeeperRow,
        state: AccountState | None,
    ) -> Transaction:
        own_key = keeper_key(self._holder.vm_name)
        own_revision = 0 if self._own.read is None else self._own.read.revision
        checks = [check_of(own_key, own_revision)]
        writes = [row_write(own_key, own_row)]
        if state is not None:
            row = state.row
            read = self.held.row or EMPTY_ROW
            checks.append(check_of(GRANTS_KEY, read.revision))
            closed = read.row.granted_tokens.keys() - row.granted_tokens.keys()
            checks.extend(_mark_checks(closed, self.keepers))
            writes.append(row_write(GRANTS_KEY, row))
        checks.extend(self.era.checks())
        writes.extend(self.era.writes(state))
        return make_transaction(
            checks=checks,
            writes=writes,
            part=self.held.account,
        )

    def _require_same_era(self, outcome: Committed | Conflicted) -> None:
        """Raises ``EraChangedError`` for an answer of a new era.

        The revisions of the checks mean other rows there.
        """
        if outcome.era != self.era.number:
            self._is_read = False
            raise EraChangedError(
                step=Step.TABLE_COMMIT,
                peer='store',
                reason='era changed',
            )

    def _mark_to_write(self, row: AccountRow | None) -> SpendingMark:
        """Returns the mark to write; an unacknowledged mark is reused.

        An unacknowledged mark may have been written, so it is binding from its
        first transmission. A replacement would add a further constraint.
        """
        if self.limits.pending is not None:
            return self.limits.pending.mark
        held = self.held
        granted = held.granted_tokens
        if row is not None:
            granted = row.granted_to(self._holder)
        mark = SpendingMark(
            made_store_ms=self.keepers.store_ms,
            allowed=allowance_of(held, granted, self.limits.lead_ms()),
        )
        self.limits.pending = BindingMark(
            mark=mark,
            made_ms=self._store.clock.monotonic_ms(),
            used_tokens=held.used_tokens,
            is_last=held.is_retiring,
        )
        return mark

    def _acknowledge(
        self,
        outcome: Committed,
        own_row: KeeperRow,
        state: AccountState | None,
    ) -> None:
        self.keepers.update_store_time(outcome.store_ms)
        read = ReadKeeperRow(row=own_row, revision=outcome.revision)
        self._own.read = read
        self.keepers.put(self._holder.vm_name, read)
        self.limits.acknowledge(self._store.clock.monotonic_ms())
        held = self.held
        if state is not None:
            held.row = ReadAccountRow(row=state.row, revision=outcome.revision)
            self.era.acknowledge(state, outcome.revision)
        # No earlier transaction of this VM can be applied any more, since each
        # of them checks the row that this one replaced.
        if held.row is not None:
            held.granted_tokens = held.row.row.granted_to(self._holder)
        self._store.metrics.increment('grant_transactions')

    def _enter_era(self, era: int) -> None:
        """Discards all rows if they were read in an earlier era."""
        if era == self.era.number:
            return
        if self.held.row is not None:
            known = self.held.row.row
            self.era.leave(known, self.keepers.active_vms(known))
        self.era.enter(era)
        self.keepers.clear()
        self.held.row = None
        self._own.read = None

    def _apply_conflict(self, outcome: Conflicted) -> None:
        self._apply_rows(outcome.rows, is_complete=False)
        if any(row.key == CONFIRMATION_KEY for row in outcome.rows):
            self._is_read = False

    def _apply_rows(self, rows: Iterable[Row], *, is_complete: bool) -> None:
        """Applies rows of a complete read or of a conflict."""
        by_key = {row.key: row for row in rows}
        confirmation_row = by_key.pop(CONFIRMATION_KEY, None)
        if is_complete:
            self.era.apply(confirmation_row)
        account_row = by_key.pop(GRANTS_KEY, None)
        self._apply_keeper_rows(by_key.values())
        if is_complete or account_row is not None:
            self._apply_account_row(account_row)

    def _apply_keeper_rows(self, rows: Iterable[Row]) -> None:
        self.keepers.apply_rows(rows)
        own = self.keepers.find(self._holder.vm_name)
        if own is None:
            return
        known = 0 if self._own.read is None else self._own.read.revision
        is_own = own.row.incarnation == self._holder.incarnation
        if is_own and own.revision > known:
            # The transaction with an unknown outcome was applied: its mark is
            # in force, and the cached account row may be outdated.
            self.limits.acknowledge(self._store.clock.monotonic_ms())
            self._is_read = False
        self._own.read = own

    def _apply_account_row(self, row: Row | None) -> None:
        held = self.held
        held.row = EMPTY_ROW if row is None else decode_account_row(row)
        if not self.era.is_joined:
            # The row does not count this VM's grant yet.
            return
        granted = held.row.row.granted_to(self._holder)
        if self.limits.pending is None:
            held.granted_tokens = granted
        else:
            # An unacknowledged transaction may still be applied.
            held.granted_tokens = min(held.granted_tokens, granted)


def _mark_checks(
    closed: Iterable[str],
    keepers: KeeperRegister,
) -> Iterable[RowCheck]:
    """Returns checks that the marks used as bounds are unchanged."""
    for key in closed:
        start = HolderKey.of(key)
        read = keepers.find(start.vm_name)
        if read is not None and read.row.incarnation == start.incarnation:
            yield check_of(keeper_key(start.vm_name), read.revision)
