"""Spending of prepaid accounts from grants that a VM holds.

Requests draw on what the VM holds, without asking the store. The VM keeps
enough for some seconds, so that it goes on while the store is away, and gives
back what it does not need.
"""

from collections.abc import Callable, Iterable

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.budgets._account_demand import AccountDemand, grant_tokens
from teaseldale.budgets._account_rows import (
    ACCOUNT_GRANTS_TABLE,
    AccountRow,
    HeldGrant,
    HolderKey,
    ReadAccountRow,
    decode_account_row,
    write_of,
)
from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step
from teaseldale.tables import (
    BaseTableService,
    Committed,
    Row,
    RowWrite,
    make_transaction,
)

# Longest wait of a request for a grant; the store answers within some ms, and
# a request that waits longer is better sent to another VM.
_WAIT_MS = 600
# Pause after a failed transaction, so that a store that is away is not
# pressed by every VM at once.
_RETRY_MS = 150
_CONFLICT_TRIES = 6  # VMs that extend grants of one account at one moment
_REVIEW_MS = 1000  # how often unneeded tokens are looked for
# Age of a row from which a refusal is not based on it without reading again.
_STALE_MS = 200
# Tokens beyond this multiple of what a VM should hold are given back.
_SURPLUS_FACTOR = 3
_RETRY_AFTER_MS = 500  # for callers whose tokens are held by other VMs


@attrs.frozen(kw_only=True)
class AccountReservation:
    """Tokens set aside for one request."""

    account: str
    most_tokens: int


@attrs.define(kw_only=True)
class _HeldAccount:
    account: str
    prepaid_tokens: int
    demand: AccountDemand
    row: ReadAccountRow | None = None  # as last seen
    granted_tokens: int = 0  # what the store surely holds for this VM
    spent_tokens: int = 0  # settled by this VM
    reserved_tokens: int = 0  # of requests under way
    # Revision that a return of tokens expected whose answer was lost; while
    # the row has it, the return may still be carried out.
    doubtful_revision: int | None = None
    read_ms: int = 0  # monotonic time at which the row was last seen
    waiting: list['_Waiter'] = attrs.field(factory=list)

    @property
    def available_tokens(self) -> int:
        return self.granted_tokens - self.spent_tokens - self.reserved_tokens

    @property
    def free_tokens(self) -> int:
        if self.row is None:
            return self.prepaid_tokens
        return self.prepaid_tokens - self.row.row.taken_tokens

    def take_row(self, read: ReadAccountRow, holder: HolderKey) -> None:
        self.row = read
        granted = read.row.granted_to(holder)
        if read.revision == self.doubtful_revision:
            granted = min(granted, self.granted_tokens)
        else:
            self.doubtful_revision = None
        self.granted_tokens = granted

    def expect_change(self, changed: AccountRow, holder: HolderKey) -> None:
        """Stops spending what is about to be returned."""
        granted = changed.granted_to(holder)
        if granted < self.granted_tokens and self.row is not None:
            self.granted_tokens = granted
            self.doubtful_revision = self.row.revision


@attrs.define(kw_only=True)
class _Waiter:
    most_tokens: int
    answered: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: Refusal | None = None


class AccountGrants(BaseService):
    """Grants of all accounts that this VM draws on."""

    def __init__(
        self,
        *,
        holder: HolderKey,
        table: BaseTableService,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Holds nothing yet; ``holder`` names this start of the VM."""
        self._holder = holder
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._accounts: dict[str, _HeldAccount] = {}
        self._wake = anyio.Event()
        self._is_closing = False
        self._ended = anyio.Event()
        self._log = StateLog(channel='grants')

    @property
    def name(self) -> str:
        """Service name."""
        return 'account_grants'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that extends and returns grants."""
        tasks.start_soon(self._keep)

    async def drain(self) -> None:
        """Gives back all that is not spent."""
        self._is_closing = True
        self._wake.set()
        await self._ended.wait()

    async def reserve(
        self,
        *,
        account: str,
        prepaid_tokens: int,
        most_tokens: int,
    ) -> AccountReservation | Refusal:
        """Sets ``most_tokens`` aside, waiting for a grant if that can help."""
        held = self._held(account, prepaid_tokens)
        held.demand.note_size(most_tokens)
        if held.waiting or held.available_tokens < most_tokens:
            refusal = await self._wait_for_grant(held, most_tokens)
            if refusal is not None:
                return refusal
        else:
            held.reserved_tokens += most_tokens
        self._ask_if_low(held)
        return AccountReservation(account=account, most_tokens=most_tokens)

    def settle(
        self,
        reservation: AccountReservation,
        *,
        used_tokens: int,
    ) -> None:
        """Counts what a request used; the rest can be spent again."""
        held = self._accounts[reservation.account]
        held.reserved_tokens -= reservation.most_tokens
        held.spent_tokens += min(used_tokens, reservation.most_tokens)
        held.demand.add(used_tokens)
        self._serve_waiting(held)
        self._ask_if_low(held)

    def _held(self, account: str, prepaid_tokens: int) -> _HeldAccount:
        held = self._accounts.get(account)
        if held is None:
            held = _HeldAccount(
                account=account,
                prepaid_tokens=prepaid_tokens,
                demand=AccountDemand(clock=self._clock),
            )
            self._accounts[account] = held
        held.prepaid_tokens = prepaid_tokens
        return held

    async def _wait_for_grant(
        self,
        held: _HeldAccount,
        most_tokens: int,
    ) -> Refusal | None:
        waiter = _Waiter(most_tokens=most_tokens)
        held.waiting.append(waiter)
        self._wake.set()
        with anyio.move_on_after(_WAIT_MS / 1000):
            await waiter.answered.wait()
        if waiter.answered.is_set():
            return waiter.refusal
        held.waiting.remove(waiter)
        return self._refuse(held, waiter, RefusalCode.BUDGET_UNAVAILABLE)

    def _ask_if_low(self, held: _HeldAccount) -> None:
        if self._lacks_tokens(held):
            self._wake.set()

    def _lacks_tokens(self, held: _HeldAccount) -> bool:
        available = held.available_tokens
        low = held.demand.refill_tokens()
        return available < low and held.free_tokens > 0

    async def _keep(self) -> None:
        while not self._is_closing:
            with anyio.move_on_after(_REVIEW_MS / 1000):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._round()
        await self._hand_back()
        self._ended.set()

    async def _round(self) -> None:
        """Extends what is low and returns what is too much."""
        changes: list[_HeldAccount] = []
        for held in self._accounts.values():
            if held.waiting or self._lacks_tokens(held):
                changes.append(held)
            elif self._surplus_tokens(held) > 0:
                changes.append(held)
        if not changes:
            return
        self._forget_stale(changes)
        try:
            await self._commit(changes, self._wanted_row)
        except PlatformError as error:
            self._metrics.increment('grants_not_extended', error.reason)
            await self._clock.sleep_ms(_RETRY_MS)
            self._wake.set()

    def _forget_stale(self, accounts: list[_HeldAccount]) -> None:
        """Makes rows be read again that would refuse a waiting request."""
        oldest_ms = self._clock.monotonic_ms() - _STALE_MS
        for held in accounts:
            waiting = sum(waiter.most_tokens for waiter in held.waiting)
            payable = held.available_tokens + held.free_tokens
            if waiting > payable and held.read_ms < oldest_ms:
                held.row = None

    async def _hand_back(self) -> None:
        held_accounts = [
            held for held in self._accounts.values() if held.granted_tokens
        ]
        try:
            await self._commit(held_accounts, self._final_row)
        except PlatformError as error:
            self._log.changed('grants_not_returned', reason=error.reason)

    async def _commit(
        self,
        accounts: list[_HeldAccount],
        wanted: Callable[[_HeldAccount], AccountRow | None],
    ) -> None:
        await self._read_unknown(accounts)
        for _ in range(_CONFLICT_TRIES):
            rows = {
                held.account: row
                for held in accounts
                if (row := wanted(held)) is not None
            }
            if not rows or await self._try_commit(accounts, rows):
                break
            self._metrics.increment('grant_conflicts')
        for held in accounts:
            self._serve_waiting(held)
            self._refuse_exhausted(held)

    async def _read_unknown(self, accounts: list[_HeldAccount]) -> None:
        """Reads all rows at once if one of them has not been read."""
        if all(held.row is not None for held in accounts):
            return
        found = {
            row.key: row
            for row in await self._table.scan(table=ACCOUNT_GRANTS_TABLE)
        }
        for held in accounts:
            self._take_row(held, found.get(held.account))

    async def _try_commit(
        self,
        accounts: list[_HeldAccount],
        rows: dict[str, AccountRow],
    ) -> bool:
        """Writes ``rows``; after a conflict the current rows are known."""
        changed = [held for held in accounts if held.account in rows]
        for held in changed:
            held.expect_change(rows[held.account], self._holder)
        try:
            outcome = await self._table.commit(
                make_transaction(
                    checks=(held.row.check() for held in changed if held.row),
                    writes=_writes(rows),
                ),
            )
        except PlatformError:
            # The transaction may have been done: the rows tell once read.
            for held in changed:
                held.row = None
            raise
        if isinstance(outcome, Committed):
            for held in changed:
                read = ReadAccountRow(
                    account=held.account,
                    row=rows[held.account],
                    revision=outcome.revision,
                )
                held.read_ms = self._clock.monotonic_ms()
                held.take_row(read, self._holder)
            self._metrics.increment('grant_transactions')
            return True
        by_key = {row.key: row for row in outcome.rows}
        for held in changed:
            self._take_row(held, by_key.get(held.account))
        return False

    def _take_row(self, held: _HeldAccount, row: Row | None) -> None:
        read = ReadAccountRow(
            account=held.account,
            row=AccountRow(),
            revision=0,
        )
        if row is not None:
            read = decode_account_row(row)
        held.read_ms = self._clock.monotonic_ms()
        held.take_row(read, self._holder)

    def _wanted_row(self, held: _HeldAccount) -> AccountRow | None:
        if held.row is None:
            return None
        available = held.available_tokens
        waiting = sum(waiter.most_tokens for waiter in held.waiting)
        wanted = held.demand.hold_tokens()
        more = grant_tokens(
            short_tokens=waiting - available,
            wanted_tokens=wanted + waiting - available,
            free_tokens=held.free_tokens,
            holder_count=held.row.row.holder_count,
        )
        if not more:
            more = self._smallest_help(held, available)
        more -= self._surplus_tokens(held)
        return self._row_with(held, more) if more else None

    def _smallest_help(self, held: _HeldAccount, available: int) -> int:
        """Returns what serves the first waiting request alone, or 0."""
        if not held.waiting:
            return 0
        short = held.waiting[0].most_tokens - available
        return short if 0 < short <= held.free_tokens else 0

    def _final_row(self, held: _HeldAccount) -> AccountRow | None:
        return self._row_with(held, -held.available_tokens)

    def _row_with(self, held: _HeldAccount, more: int) -> AccountRow | None:
        if held.row is None:
            return None
        granted = held.row.row.granted_to(self._holder) + more
        return held.row.row.with_holder(
            self._holder,
            HeldGrant(granted_tokens=granted, spent_tokens=held.spent_tokens),
        )

    def _surplus_tokens(self, held: _HeldAccount) -> int:
        if held.row is None or held.waiting:
            return 0
        needed = held.demand.hold_tokens()
        available = held.available_tokens
        if available <= needed * _SURPLUS_FACTOR:
            return 0
        return available - needed

    def _serve_waiting(self, held: _HeldAccount) -> None:
        while held.waiting:
            first = held.waiting[0]
            if held.available_tokens < first.most_tokens:
                return
            held.reserved_tokens += first.most_tokens
            held.waiting.pop(0)
            first.answered.set()

    def _refuse_exhausted(self, held: _HeldAccount) -> None:
        """Refuses what neither this VM's tokens nor free ones can pay."""
        if held.row is None:
            return
        available = held.available_tokens
        payable = available + max(held.free_tokens, 0)
        for waiter in tuple(held.waiting):
            if waiter.most_tokens > payable:
                held.waiting.remove(waiter)
                waiter.refusal = self._refuse(held, waiter, self._reason(held))
                waiter.answered.set()

    def _reason(self, held: _HeldAccount) -> RefusalCode:
        """Tells an account that is used up from tokens held elsewhere."""
        if held.row is None:
            return RefusalCode.BUDGET_UNAVAILABLE
        known_spent = held.row.row.spent_tokens
        own_spent = held.spent_tokens + held.reserved_tokens
        if held.prepaid_tokens > max(known_spent, own_spent):
            return RefusalCode.BUDGET_HELD
        return RefusalCode.BUDGET_EXHAUSTED

    def _refuse(
        self,
        held: _HeldAccount,
        waiter: _Waiter,
        code: RefusalCode,
    ) -> Refusal:
        self._log.changed(
            'reservation_refused',
            account=held.account,
            code=code,
            most_tokens=waiter.most_tokens,
            available_tokens=held.available_tokens,
            free_tokens=held.free_tokens,
            prepaid_tokens=held.prepaid_tokens,
        )
        return _refusal(held.account, code)


def _writes(rows: dict[str, AccountRow]) -> Iterable[RowWrite]:
    return (write_of(account, row) for account, row in rows.items())


def _refusal(account: str, code: RefusalCode) -> Refusal:
    messages = {
        RefusalCode.BUDGET_EXHAUSTED: 'has no tokens left for this request',
        RefusalCode.BUDGET_HELD: 'has its last tokens held by other VMs',
        RefusalCode.BUDGET_UNAVAILABLE: 'cannot be drawn on at this VM now',
    }
    is_final = code is RefusalCode.BUDGET_EXHAUSTED
    return Refusal(
        code=code,
        message=f'The account {account!r} {messages[code]}.',
        not_run=True,
        step=Step.RESERVE,
        retry_after_ms=None if is_final else _RETRY_AFTER_MS,
    )
