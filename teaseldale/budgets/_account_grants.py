"""Spending of prepaid accounts from grants that a VM holds.

Requests draw on what the VM holds, without asking the store. The VM holds
enough for some seconds, so that it goes on while the store is away, and gives
back what it does not need.
"""

from collections.abc import Mapping

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.budgets._account_book import GrantWaiter, HeldAccount
from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rounds import AccountRounds, StoreAccess
from teaseldale.budgets._account_rows import HolderKey, VmRow
from teaseldale.budgets._token_loans import TokenLoans
from teaseldale.budgets._waiting_requests import (
    LOAN_WAIT_MS,
    WaitingRequests,
)
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode

_MS_PER_SECOND = 1000
# How often a VM marks its spending. Between two marks it is bound by the
# first, so marks are written several times within the bound.
_MARK_MS = 500
# How often the rows of other VMs are read.
_READ_MS = 1000
# Longest wait of a request for a grant; the store answers within some ms, and
# a request that waits longer is better sent to another VM.
_WAIT_MS = 600
# Pause after a failed transaction, so that a store that is away is not
# pressed by every VM at once.
_RETRY_MS = 150
# Pause before other VMs are asked for a loan, and before the next are asked.
# The store answers within this time when it is well.
_ASK_MS = 30
# Pause before a request that can be paid by the next mark is looked at again.
_AGAIN_MS = 5
# How often rows are read while a request waits for tokens of others.
_WAITING_READ_MS = 20


@attrs.frozen(kw_only=True)
class AccountReservation:
    """Tokens set aside for one request."""

    account: str
    most_tokens: int


class AccountGrants(BaseService):
    """Grants of all accounts that this VM may draw on."""

    def __init__(
        self,
        *,
        holder: HolderKey,
        address: str,
        started_ms: int,
        store: StoreAccess,
    ) -> None:
        """Holds nothing yet.

        ``holder`` names this start of the VM, ``address`` is told to other
        VMs, and ``started_ms`` is the monotonic time of the process's start.
        """
        self._store = store
        self._clock = store.clock
        self._metrics = store.metrics
        self._accounts: dict[str, HeldAccount] = {}
        self._rounds = AccountRounds(
            holder=holder,
            address=address,
            started_ms=started_ms,
            store=store,
            accounts=self._accounts,
        )
        self._wake = anyio.Event()
        self._next_read_ms = 0
        self._is_store_lost = False
        self._is_closing = False
        self._ended = anyio.Event()
        self._log = StateLog(channel='grants')
        self._waiting = WaitingRequests(
            rounds=self._rounds,
            clock=store.clock,
            metrics=store.metrics,
        )
        self.loans = TokenLoans(
            holder=holder,
            address=address,
            accounts=self._accounts,
            waiting=self._waiting,
            mark_soon=lambda: self._wake.set(),
            metrics=store.metrics,
        )

    @property
    def name(self) -> str:
        """Service name."""
        return 'account_grants'

    @property
    def vm_count(self) -> int:
        """VMs that share the accounts, this one included."""
        return self._rounds.vms.running_count

    @property
    def lately_running_count(self) -> int:
        """VMs that may be running, heard or not, this one included."""
        return self._rounds.vms.lately_running_count

    def known_vms(self) -> Mapping[str, VmRow]:
        """Returns the VMs that may be running, this one included."""
        return self._rounds.vms.lately_running()

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that extends, returns and marks."""
        tasks.start_soon(self._keep)

    async def drain(self) -> None:
        """Gives back all that is not spent."""
        self._is_closing = True
        self._wake.set()
        await self._ended.wait()

    def follow_accounts(self, prepaid_tokens: Mapping[str, int]) -> None:
        """Takes the accounts of the configuration in force."""
        for account, tokens in prepaid_tokens.items():
            self._held(account).prepaid_tokens = tokens
        self._wake.set()

    async def reserve(
        self,
        *,
        account: str,
        most_tokens: int,
    ) -> AccountReservation | Refusal:
        """Sets ``most_tokens`` aside, waiting for a grant if that can help."""
        held = self._held(account)
        held.demand.note_request(most_tokens)
        if held.waiting or not self._waiting.can_pay(held, most_tokens):
            refusal = await self._wait_for_grant(held, most_tokens)
            if refusal is not None:
                held.demand.note_refused(most_tokens)
                return refusal
        else:
            held.reserved_tokens += most_tokens
        held.demand.note_paid(most_tokens)
        return AccountReservation(account=account, most_tokens=most_tokens)

    def settle(
        self,
        reservation: AccountReservation,
        *,
        used_tokens: int,
    ) -> None:
        """Counts what a request used; the rest can be spent again."""
        held = self._accounts[reservation.account]
        used = min(used_tokens, reservation.most_tokens)
        held.reserved_tokens -= reservation.most_tokens
        held.spent_tokens += used
        held.demand.add(used - reservation.most_tokens)
        self._waiting.serve(held)

    def _held(self, account: str) -> HeldAccount:
        held = self._accounts.get(account)
        if held is None:
            held = HeldAccount(
                account=account,
                demand=AccountDemand(clock=self._clock),
            )
            self._accounts[account] = held
        return held

    async def _wait_for_grant(
        self,
        held: HeldAccount,
        most_tokens: int,
    ) -> Refusal | None:
        waiter = GrantWaiter(
            most_tokens=most_tokens,
            since_ms=self._clock.monotonic_ms(),
        )
        held.waiting.append(waiter)
        self._wake.set()
        wait_ms = _WAIT_MS
        if self._is_store_lost:
            wait_ms = LOAN_WAIT_MS
        try:
            with anyio.move_on_after(wait_ms / _MS_PER_SECOND):
                await self._borrow_until_answered(held, waiter)
        except BaseException:
            self._waiting.withdraw(held, waiter)
            raise
        if waiter.answered.is_set():
            return waiter.refusal
        held.waiting.remove(waiter)
        code = RefusalCode.BUDGET_UNAVAILABLE
        if not self._is_store_lost:
            code = self._waiting.reason(held, waiter)
        return self._waiting.refuse(held, waiter, code)

    async def _borrow_until_answered(
        self,
        held: HeldAccount,
        waiter: GrantWaiter,
    ) -> None:
        """Asks other VMs, again and again, once the store is too slow."""
        if not self._is_store_lost:
            with anyio.move_on_after(_ASK_MS / _MS_PER_SECOND):
                await waiter.answered.wait()
        while not waiter.answered.is_set():
            if waiter is held.waiting[0]:
                self.loans.ask(held, self._addresses())
            with anyio.move_on_after(_ASK_MS / _MS_PER_SECOND):
                await waiter.answered.wait()

    def _addresses(self) -> tuple[str, ...]:
        return tuple(row.address for row in self.known_vms().values())

    async def _keep(self) -> None:
        while not self._is_closing:
            with anyio.move_on_after(_MARK_MS / _MS_PER_SECOND):
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._round()
        try:
            await self._rounds.change(gives_all_back=True)
        except PlatformError as error:
            self._log.changed('grants_not_returned', reason=error.reason)
        self._ended.set()

    async def _round(self) -> None:
        try:
            await self._read_if_due()
            await self._rounds.change()
        except PlatformError as error:
            self._lost(error)
            await self._clock.sleep_ms(_RETRY_MS)
            self._wake.set()
        else:
            self._regained()
        for held in self._accounts.values():
            self._waiting.serve(held)
            if not self._is_store_lost:
                self._waiting.refuse_exhausted(held)
        if any(account.waiting for account in self._accounts.values()):
            now_ms = self._clock.monotonic_ms()
            soon_ms = now_ms + _WAITING_READ_MS
            self._next_read_ms = min(self._next_read_ms, soon_ms)
            await self._clock.sleep_ms(_AGAIN_MS)
            self._wake.set()

    async def _read_if_due(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if self._rounds.is_read and now_ms < self._next_read_ms:
            return
        await self._rounds.read()
        self._next_read_ms = now_ms + _READ_MS

    def _lost(self, error: PlatformError) -> None:
        self._metrics.increment('grants_not_extended', error.reason)
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log.changed('grants_store_lost', reason=error.reason)

    def _regained(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.changed('grants_store_regained')
            # The mark that was just written is as old as the outage.
            self._wake.set()
