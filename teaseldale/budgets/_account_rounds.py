"""Transactions that extend, return and mark what a VM holds."""

import sys
from collections.abc import Iterable, Mapping

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_demand import GrantNeed, grant_change
from teaseldale.budgets._account_rows import (
    ACCOUNTS_TABLE,
    VMS_TABLE,
    AccountRow,
    EarlierBound,
    HolderKey,
    ReadAccountRow,
    ReadVmRow,
    SpendingMark,
    VmRow,
    account_write,
    check_of,
    decode_account_row,
    vm_write,
)
from teaseldale.budgets._spending_marks import (
    BindingMark,
    SpendingLimits,
    mark_account,
)
from teaseldale.budgets._vm_register import VmRegister
from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.tables import (
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    make_transaction,
)

_CONFLICT_TRIES = 8  # VMs that change one account's row at one moment
_NO_ROW = ReadAccountRow(row=AccountRow(), revision=0)


@attrs.frozen(kw_only=True)
class StoreAccess:
    """The store and what is needed to use it."""

    table: BaseTableService
    feed: BaseRowFeed
    clock: BaseClock
    metrics: Metrics


class AccountRounds:
    """Keeps the rows of this VM and of the accounts that it draws on."""

    def __init__(
        self,
        *,
        holder: HolderKey,
        address: str,
        started_ms: int,
        store: StoreAccess,
        accounts: Mapping[str, HeldAccount],
    ) -> None:
        """``started_ms`` is the monotonic time at which the process began."""
        self._holder = holder
        self._address = address
        self._started_ms = started_ms
        self._store = store
        self._accounts = accounts
        self._own_row: ReadVmRow | None = None
        self.vms = VmRegister(clock=store.clock)
        self._is_read = False
        # When the process began, by the store's clock; never too early.
        self._started_store_ms = sys.maxsize
        self._log = StateLog(channel='grants')
        self.limits = SpendingLimits()

    @property
    def is_read(self) -> bool:
        """Whether the rows are known well enough to change them."""
        return self._is_read

    def spent_by_all(self, account: str) -> int:
        """Returns what all VMs have surely spent of an account."""
        held = self._accounts[account]
        if held.row is None:
            return held.spent_tokens
        others = self.vms.spent_by_others(account, self._holder.vm_name)
        return held.row.row.closed_tokens + others + held.spent_tokens

    async def read(self) -> None:
        """Reads all rows of accounts and VMs."""
        sent_ms = self._store.clock.monotonic_ms()
        vms = await self._store.feed.read_all(VMS_TABLE)
        accounts = await self._store.feed.read_all(ACCOUNTS_TABLE)
        self.vms.learn_time(vms.store_ms)
        self._take_vms(vms.rows)
        self._take_accounts({row.key: row for row in accounts.rows})
        if not self._is_read:
            self._started_store_ms = min(
                self._started_store_ms,
                vms.store_ms - (sent_ms - self._started_ms),
            )
            self._note_earlier_start()
        self._is_read = True

    def _note_earlier_start(self) -> None:
        own = self._own_row
        if own is None or own.row.incarnation == self._holder.incarnation:
            return
        mark = own.row.mark
        accounts = sorted(mark.accounts)
        self._log.changed(
            'earlier_start_found',
            incarnation=own.row.incarnation,
            mark_age_ms=self._started_store_ms - mark.made_store_ms,
            accounts=accounts,
            bound_tokens=[self._bound_of(own, account) for account in accounts],
            spent_tokens=[
                own.row.spent_tokens.get(account, 0) for account in accounts
            ],
        )

    async def change(self, *, gives_all_back: bool = False) -> None:
        """Writes what is to be taken, returned and marked, as one."""
        started_ms = self._store.clock.monotonic_ms()
        for conflicts in range(_CONFLICT_TRIES):
            rows = self._wanted_rows(gives_all_back=gives_all_back)
            if await self._commit(rows):
                self._note_change(rows, conflicts, started_ms)
                return
            self._store.metrics.increment('grant_conflicts')
        self._log.changed('grants_contended', accounts=len(rows))

    def _note_change(
        self,
        rows: Mapping[str, AccountRow],
        conflicts: int,
        started_ms: int,
    ) -> None:
        if not rows:
            return
        self._log.changed(
            'grants_changed',
            accounts=sorted(rows),
            granted=[
                rows[name].granted_to(self._holder) for name in sorted(rows)
            ],
            conflicts=conflicts,
            duration_ms=self._store.clock.monotonic_ms() - started_ms,
            vm_count=self.vms.running_count,
        )

    def _wanted_rows(self, *, gives_all_back: bool) -> dict[str, AccountRow]:
        wanted: dict[str, AccountRow] = {}
        for held in self._accounts.values():
            read = held.row or _NO_ROW
            change = grant_change(self._need_of(held))
            if gives_all_back:
                change = -max(0, held.available_tokens)
            tokens = read.row.granted_to(self._holder) + change
            closed = read.row.with_closed(
                self._holder,
                self._earlier_bound(held.account),
            )
            if change or closed != read.row:
                wanted[held.account] = closed.with_granted(
                    self._holder,
                    tokens,
                )
        return wanted

    async def _commit(self, rows: Mapping[str, AccountRow]) -> bool:
        mark = self._mark(rows)
        self._expect(rows)
        own_revision = 0 if self._own_row is None else self._own_row.revision
        own_row = VmRow(
            incarnation=self._holder.incarnation,
            address=self._address,
            mark=mark,
            spent_tokens={
                held.account: held.spent_tokens
                for held in self._accounts.values()
            },
        )
        vm_name = self._holder.vm_name
        try:
            outcome = await self._store.table.commit(
                make_transaction(
                    checks=(
                        check_of(VMS_TABLE, vm_name, own_revision),
                        *self._checks(rows),
                    ),
                    writes=(
                        vm_write(vm_name, own_row),
                        *(account_write(*item) for item in rows.items()),
                    ),
                ),
            )
        except PlatformError:
            # It may have been done, or may be done later: read before the
            # next change, and spend no more than either outcome allows.
            self._is_read = False
            raise
        if isinstance(outcome, Conflicted):
            self._take_conflict(outcome)
            return False
        self._acknowledge(outcome, own_row, rows)
        return True

    def _mark(self, rows: Mapping[str, AccountRow]) -> SpendingMark:
        """Returns the mark to write; one without an answer is kept.

        A mark without an answer may have been written, and binds this VM from
        its first sending on. Replacing it would bind the VM anew each time.
        """
        if self.limits.pending is not None:
            return self.limits.pending.mark
        granted = {
            held.account: held.granted_tokens
            for held in self._accounts.values()
        }
        for account, row in rows.items():
            granted[account] = row.granted_to(self._holder)
        mark = SpendingMark(
            made_store_ms=self.vms.store_ms,
            accounts={
                held.account: mark_account(held, granted[held.account])
                for held in self._accounts.values()
            },
        )
        self.limits.pending = BindingMark(
            mark=mark,
            made_ms=self._store.clock.monotonic_ms(),
        )
        return mark

    def _expect(self, rows: Mapping[str, AccountRow]) -> None:
        """Stops spending what is about to be returned."""
        for account, row in rows.items():
            held = self._accounts[account]
            granted = row.granted_to(self._holder)
            held.granted_tokens = min(held.granted_tokens, granted)

    def _checks(self, rows: Mapping[str, AccountRow]) -> Iterable[RowCheck]:
        for account in rows:
            read = self._accounts[account].row or _NO_ROW
            yield check_of(ACCOUNTS_TABLE, account, read.revision)

    def _acknowledge(
        self,
        outcome: Committed,
        own_row: VmRow,
        rows: Mapping[str, AccountRow],
    ) -> None:
        self.vms.learn_time(outcome.store_ms)
        read = ReadVmRow(row=own_row, revision=outcome.revision)
        self._own_row = read
        self.vms.put(self._holder.vm_name, read)
        self.limits.acknowledge()
        for account, row in rows.items():
            held = self._accounts[account]
            held.row = ReadAccountRow(row=row, revision=outcome.revision)
            held.granted_tokens = row.granted_to(self._holder)
        self._store.metrics.increment('grant_transactions')

    def _take_conflict(self, outcome: Conflicted) -> None:
        vms: list[Row] = []
        for row in outcome.rows:
            held = self._accounts.get(row.key)
            if row.table == VMS_TABLE:
                vms.append(row)
            elif held is not None:
                self._take_account(held, row)
        self._take_vms(vms)

    def _take_vms(self, rows: Iterable[Row]) -> None:
        self.vms.take(rows)
        own = self.vms.find(self._holder.vm_name)
        if own is None:
            return
        known = 0 if self._own_row is None else self._own_row.revision
        is_own = own.row.incarnation == self._holder.incarnation
        if is_own and own.revision > known:
            # The lost transaction was done: its mark is in force.
            self.limits.acknowledge()
        self._own_row = own

    def _take_accounts(self, rows: Mapping[str, Row]) -> None:
        for held in self._accounts.values():
            self._take_account(held, rows.get(held.account))

    def _take_account(self, held: HeldAccount, row: Row | None) -> None:
        held.row = _NO_ROW if row is None else decode_account_row(row)
        granted = held.row.row.granted_to(self._holder)
        if self.limits.pending is None:
            held.granted_tokens = granted
        else:
            # A transaction without an answer may still be done.
            held.granted_tokens = min(held.granted_tokens, granted)

    def _need_of(self, held: HeldAccount) -> GrantNeed:
        unspent = held.prepaid_tokens - self.spent_by_all(held.account)
        own_unspent = held.granted_tokens - held.spent_tokens
        return GrantNeed(
            available_tokens=held.available_tokens,
            waiting_tokens=held.waiting_tokens,
            first_waiting_tokens=(
                held.waiting[0].most_tokens if held.waiting else 0
            ),
            hold_tokens=held.demand.hold_tokens(),
            free_tokens=held.free_tokens,
            vm_count=self.vms.running_count,
            lendable_tokens=max(0, unspent - own_unspent - held.free_tokens),
        )

    def _bound_of(self, read: ReadVmRow, account: str) -> int | None:
        mark = read.row.mark
        age_ms = self._started_store_ms - mark.made_store_ms
        return mark.bound_tokens(account, age_ms)

    def _earlier_bound(self, account: str) -> EarlierBound | None:
        """Returns what an earlier start of this VM spent at the most."""
        own = self._own_row
        if own is None or own.row.incarnation == self._holder.incarnation:
            return None
        bound_tokens = self._bound_of(own, account)
        if bound_tokens is None:
            return None
        return EarlierBound(
            incarnation=own.row.incarnation,
            spent_limit_tokens=bound_tokens,
        )
