"""Transactions that extend, return and mark this VM's grant of an account."""

import sys
from collections.abc import Iterable

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_demand import GrantNeed, grant_change
from teaseldale.budgets._account_rows import (
    ACCOUNTS_TABLE,
    GRANTS_KEY,
    AccountRow,
    EarlierBound,
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
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    StoreEras,
    make_transaction,
)

_CONFLICT_ATTEMPTS = 8  # keepers may change one account row concurrently
_EMPTY_ROW = ReadAccountRow(row=AccountRow(), revision=0)


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
        self._assigned = keepers
        self._own_row: ReadKeeperRow | None = None
        self.keepers = KeeperRegister(clock=store.clock)
        self._is_read = False
        # Process start on the store's clock; an upper bound.
        self._started_store_ms = sys.maxsize
        self._log = StateLog(channel='grants')
        self.limits = SpendingLimits()

    @property
    def is_read(self) -> bool:
        """Whether the cached rows are current enough for a transaction."""
        return self._is_read

    @property
    def is_assigned(self) -> bool:
        """Whether this VM is a keeper of the account."""
        return self._assigned.is_keeper_of(self.held.account)

    @property
    def keeper_count(self) -> int:
        """Number of keepers, including those whose rows are not yet read."""
        assigned_count = self._assigned.count(self.held.account)
        return max(assigned_count, self.keepers.running_count)

    @property
    def needs_rounds(self) -> bool:
        """Whether this VM may have to write to the account's partition."""
        held = self.held
        return self.is_assigned or held.granted_tokens > held.spent_tokens

    @property
    def spent_by_all(self) -> int:
        """Lower bound of the tokens that all keepers have spent."""
        held = self.held
        if held.row is None:
            return held.spent_tokens
        others = self.keepers.spent_by_others(self._holder.vm_name)
        return held.row.row.closed_tokens + others + held.spent_tokens

    async def read(self) -> None:
        """Reads all rows of the account's partition."""
        clock = self._store.clock
        sent_ms = clock.monotonic_ms()
        read = await self._store.feed.read_all(
            ACCOUNTS_TABLE,
            part=self.held.account,
        )
        self.keepers.update_store_time(read.store_ms)
        self._apply_rows(read.rows, is_complete=True)
        if not self._is_read:
            self._started_store_ms = min(
                self._started_store_ms,
                read.store_ms - (sent_ms - self._start.started_ms),
            )
            self._log_earlier_incarnation()
        self._is_read = True

    async def change(self, *, return_all: bool = False) -> None:
        """Commits the required grant change and mark, if any."""
        started_ms = self._store.clock.monotonic_ms()
        for conflicts in range(_CONFLICT_ATTEMPTS):
            row = self._target_row(return_all=return_all)
            now_ms = self._store.clock.monotonic_ms()
            if row is None and not self.limits.is_mark_due(self.held, now_ms):
                return
            if await self._commit(row):
                self._log_change(row, conflicts, started_ms)
                return
            self._store.metrics.increment('grant_conflicts')
            if not self._is_read:
                return
        self._log.changed('grants_contended', account=self.held.account)

    def _log_earlier_incarnation(self) -> None:
        own = self._own_row
        if own is None or own.row.incarnation == self._holder.incarnation:
            return
        mark = own.row.mark
        self._log.changed(
            'earlier_start_found',
            account=self.held.account,
            incarnation=own.row.incarnation,
            era=self._store.eras.current,
            mark_age_ms=self._started_store_ms - mark.made_store_ms,
            bound_tokens=self._bound_of(own),
            spent_tokens=own.row.spent_tokens,
            granted_tokens=(self.held.row or _EMPTY_ROW).row.granted_to(
                attrs.evolve(self._holder, incarnation=own.row.incarnation),
            ),
        )

    def _log_change(
        self,
        row: AccountRow | None,
        conflicts: int,
        started_ms: int,
    ) -> None:
        if row is None:
            return
        self._log.changed(
            'grants_changed',
            account=self.held.account,
            granted=row.granted_to(self._holder),
            conflicts=conflicts,
            era=self._store.eras.current,
            duration_ms=self._store.clock.monotonic_ms() - started_ms,
            vm_count=self.keeper_count,
        )

    def _target_row(self, *, return_all: bool) -> AccountRow | None:
        """Returns the target account row; None if it is up to date."""
        held = self.held
        read = held.row or _EMPTY_ROW
        change = grant_change(self._grant_need())
        if change > 0 and not held.waiting and not self._assigned.is_settled:
            # Assignments from an incomplete member list would grant tokens to
            # VMs that are not keepers.
            change = 0
        is_retiring = held.is_retiring and not held.waiting
        if return_all or is_retiring or not self.is_assigned:
            change = -max(0, min(held.available_tokens, held.granted_tokens))
        tokens = read.row.granted_to(self._holder) + change
        closed = read.row.with_closed(self._holder, self._earlier_bound())
        if self.is_assigned:
            ended = _ended_incarnations(closed, held.account, self._assigned)
            closed = closed.with_ended(
                {
                    start.text: self.keepers.bound_tokens(start)
                    for start in ended
                },
            )
        if not change and closed == read.row:
            return None
        return closed.with_granted(self._holder, tokens)

    async def _commit(self, row: AccountRow | None) -> bool:
        mark = self._mark_to_write(row)
        if row is not None:
            # Tokens that are about to be returned must not be spent.
            granted = row.granted_to(self._holder)
            self.held.granted_tokens = min(self.held.granted_tokens, granted)
        own_key = keeper_key(self._holder.vm_name)
        own_revision = 0 if self._own_row is None else self._own_row.revision
        own_row = KeeperRow(
            incarnation=self._holder.incarnation,
            address=self._start.address,
            mark=mark,
            spent_tokens=self.held.spent_tokens,
        )
        checks = [check_of(own_key, own_revision)]
        writes = [row_write(own_key, own_row)]
        if row is not None:
            read = self.held.row or _EMPTY_ROW
            checks.append(check_of(GRANTS_KEY, read.revision))
            closed = read.row.granted_tokens.keys() - row.granted_tokens.keys()
            checks.extend(_mark_checks(closed, self.keepers))
            writes.append(row_write(GRANTS_KEY, row))
        try:
            outcome = await self._store.table.commit(
                make_transaction(
                    checks=checks,
                    writes=writes,
                    part=self.held.account,
                ),
            )
        except PlatformError:
            # The outcome is unknown and the commit may still be applied: read
            # the rows before the next change and spend within both outcomes.
            self._is_read = False
            raise
        if isinstance(outcome, Conflicted):
            self._apply_rows(outcome.rows, is_complete=False)
            return False
        self._acknowledge(outcome, own_row, row)
        return True

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
        row: AccountRow | None,
    ) -> None:
        self.keepers.update_store_time(outcome.store_ms)
        read = ReadKeeperRow(row=own_row, revision=outcome.revision)
        self._own_row = read
        self.keepers.put(self._holder.vm_name, read)
        self.limits.acknowledge(self._store.clock.monotonic_ms())
        held = self.held
        if row is not None:
            held.row = ReadAccountRow(row=row, revision=outcome.revision)
        # No earlier transaction of this VM can be applied any more, since each
        # of them checks the row that this one replaced.
        if held.row is not None:
            held.granted_tokens = held.row.row.granted_to(self._holder)
        self._store.metrics.increment('grant_transactions')

    def _apply_rows(self, rows: Iterable[Row], *, is_complete: bool) -> None:
        """Applies rows of a complete read or of a conflict."""
        by_key = {row.key: row for row in rows}
        account_row = by_key.pop(GRANTS_KEY, None)
        self._apply_keeper_rows(by_key.values())
        if is_complete or account_row is not None:
            self._apply_account_row(account_row)

    def _apply_keeper_rows(self, rows: Iterable[Row]) -> None:
        self.keepers.apply_rows(rows)
        own = self.keepers.find(self._holder.vm_name)
        if own is None:
            return
        known = 0 if self._own_row is None else self._own_row.revision
        is_own = own.row.incarnation == self._holder.incarnation
        if is_own and own.revision > known:
            # The transaction with an unknown outcome was applied: its mark is
            # in force, and the cached account row may be outdated.
            self.limits.acknowledge(self._store.clock.monotonic_ms())
            self._is_read = False
        self._own_row = own

    def _apply_account_row(self, row: Row | None) -> None:
        held = self.held
        held.row = _EMPTY_ROW if row is None else decode_account_row(row)
        granted = held.row.row.granted_to(self._holder)
        if self.limits.pending is None:
            held.granted_tokens = granted
        else:
            # An unacknowledged transaction may still be applied.
            held.granted_tokens = min(held.granted_tokens, granted)

    def _grant_need(self) -> GrantNeed:
        held = self.held
        unspent = held.prepaid_tokens - self.spent_by_all
        own_unspent = held.granted_tokens - held.spent_tokens
        return GrantNeed(
            available_tokens=held.available_tokens,
            waiting_tokens=held.waiting_tokens + held.lending_tokens,
            first_waiting_tokens=(
                held.waiting[0].most_tokens
                if held.waiting
                else held.lending_tokens
            ),
            outage_tokens=held.demand.outage_tokens(),
            free_tokens=held.free_tokens,
            vm_count=self.keeper_count,
            lendable_tokens=max(0, unspent - own_unspent - held.free_tokens),
        )

    def _bound_of(self, read: ReadKeeperRow) -> int | None:
        mark = read.row.mark
        return mark.bound_tokens(self._started_store_ms - mark.made_store_ms)

    def _earlier_bound(self) -> EarlierBound | None:
        """Returns the spending bound of this VM's previous incarnation."""
        own = self._own_row
        if own is None or own.row.incarnation == self._holder.incarnation:
            return None
        bound_tokens = self._bound_of(own)
        if bound_tokens is None:
            return None
        return EarlierBound(
            incarnation=own.row.incarnation,
            spent_limit_tokens=bound_tokens,
        )


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


def _ended_incarnations(
    row: AccountRow,
    account: str,
    keepers: AccountKeepers,
) -> list[HolderKey]:
    """Returns ended incarnations that no later incarnation will close.

    A restarted keeper closes its own, as it knows the time of its restart.
    """
    assigned = keepers.keepers_of(account)
    starts = map(HolderKey.of, row.granted_tokens)
    return [
        start
        for start in starts
        if start.vm_name not in assigned
        and keepers.has_ended(start.vm_name, start.incarnation)
    ]
