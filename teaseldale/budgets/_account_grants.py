"""Spending of prepaid accounts from grants that a VM holds.

Requests draw on what the VM holds, without asking the store. The VM holds
enough for some seconds, so that it goes on while the store is away, and gives
back what it does not need.
"""

from collections.abc import Callable, Mapping

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.budgets._account_book import GrantWaiter, HeldAccount
from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_rounds import AccountRounds, StoreAccess
from teaseldale.budgets._account_rows import HolderKey, VmRow
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step

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
# Pause before a request that can be paid by the next mark is looked at again.
_AGAIN_MS = 5
# Pause before others are asked again to give tokens back.
_RECALL_MS = 100
# How long a VM holds less after another one was short. The waiting request
# is served or refused by then.
_RECALLED_MS = 1000
# How often rows are read while a request waits for tokens of others.
_WAITING_READ_MS = 20
_RETRY_AFTER_MS = 500  # for callers whose tokens are held by other VMs


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
        # Asks the other VMs to give back what they do not need.
        self.ask_others: Callable[[str], None] | None = None

    @property
    def name(self) -> str:
        """Service name."""
        return 'account_grants'

    @property
    def vm_count(self) -> int:
        """VMs that share the accounts, this one included."""
        return self._rounds.vm_count

    @property
    def lately_running_count(self) -> int:
        """VMs that may be running, heard or not, this one included."""
        return max(1, self._rounds.lately_running_count)

    def running_vms(self) -> Mapping[str, VmRow]:
        """Returns the VMs that the store has heard of in the last seconds."""
        return self._rounds.running_vms()

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the task that extends, returns and marks."""
        tasks.start_soon(self._keep)

    async def drain(self) -> None:
        """Gives back all that is not spent."""
        self._is_closing = True
        self._wake.set()
        await self._ended.wait()

    def set_accounts(self, prepaid_tokens: Mapping[str, int]) -> None:
        """Takes the accounts of the configuration in force."""
        for account, tokens in prepaid_tokens.items():
            self._held(account).prepaid_tokens = tokens
        self._wake.set()

    def give_back(self, account: str) -> None:
        """Gives back most of an account, since another VM is short of it."""
        held = self._accounts.get(account)
        if held is None:
            return
        held.recalled_until_ms = self._clock.monotonic_ms() + _RECALLED_MS
        self._metrics.increment('grants_recalled')
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
        if held.waiting or not self._can_pay(held, most_tokens):
            refusal = await self._wait_for_grant(held, most_tokens)
            if refusal is not None:
                return refusal
        else:
            held.reserved_tokens += most_tokens
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
        self._serve_waiting(held)

    def _held(self, account: str) -> HeldAccount:
        held = self._accounts.get(account)
        if held is None:
            held = HeldAccount(
                account=account,
                demand=AccountDemand(clock=self._clock),
            )
            self._accounts[account] = held
        return held

    def _can_pay(self, held: HeldAccount, tokens: int) -> bool:
        now_ms = self._clock.monotonic_ms()
        limit = self._rounds.limits.limit_tokens(held, now_ms)
        return held.used_tokens + tokens <= limit

    async def _wait_for_grant(
        self,
        held: HeldAccount,
        most_tokens: int,
    ) -> Refusal | None:
        waiter = GrantWaiter(most_tokens=most_tokens)
        if self._is_store_lost:
            return self._refuse(held, waiter, RefusalCode.BUDGET_UNAVAILABLE)
        held.waiting.append(waiter)
        self._wake.set()
        try:
            with anyio.move_on_after(_WAIT_MS / _MS_PER_SECOND):
                await waiter.answered.wait()
        except BaseException:
            self._withdraw(held, waiter)
            raise
        if waiter.answered.is_set():
            return waiter.refusal
        held.waiting.remove(waiter)
        code = RefusalCode.BUDGET_UNAVAILABLE
        if not self._is_store_lost:
            code = self._reason(held, waiter)
        return self._refuse(held, waiter, code)

    def _withdraw(self, held: HeldAccount, waiter: GrantWaiter) -> None:
        """Undoes a wait that was cancelled, also one just served."""
        if waiter in held.waiting:
            held.waiting.remove(waiter)
        elif waiter.refusal is None:
            held.reserved_tokens -= waiter.most_tokens

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
        else:
            self._regained()
        for held in self._accounts.values():
            self._serve_waiting(held)
            if not self._is_store_lost:
                self._refuse_exhausted(held)
        if any(held.waiting for held in self._accounts.values()):
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

    def _serve_waiting(self, held: HeldAccount) -> None:
        while held.waiting:
            first = held.waiting[0]
            if not self._can_pay(held, first.most_tokens):
                return
            held.reserved_tokens += first.most_tokens
            held.waiting.pop(0)
            first.answered.set()

    def _refuse_exhausted(self, held: HeldAccount) -> None:
        """Refuses what neither this VM's tokens nor free ones can pay."""
        payable = held.available_tokens + held.free_tokens
        for waiter in tuple(held.waiting):
            if waiter.most_tokens <= payable:
                continue
            code = self._reason(held, waiter)
            if code is RefusalCode.BUDGET_HELD and self._recall(held):
                continue
            held.waiting.remove(waiter)
            waiter.refusal = self._refuse(held, waiter, code)
            waiter.answered.set()

    def _recall(self, held: HeldAccount) -> bool:
        """Asks other VMs for tokens; False if there is nobody to ask."""
        if self.ask_others is None or self._rounds.vm_count == 1:
            return False
        now_ms = self._clock.monotonic_ms()
        self._next_read_ms = min(self._next_read_ms, now_ms + _WAITING_READ_MS)
        if now_ms >= held.next_recall_ms:
            held.next_recall_ms = now_ms + _RECALL_MS
            self.ask_others(held.account)
            self._metrics.increment('grant_recalls_asked')
        return True

    def _reason(self, held: HeldAccount, waiter: GrantWaiter) -> RefusalCode:
        """Tells an account that is used up from tokens held elsewhere."""
        spent = self._rounds.spent_by_all(held.account)
        left = held.prepaid_tokens - spent - held.reserved_tokens
        if waiter.most_tokens <= left:
            return RefusalCode.BUDGET_HELD
        return RefusalCode.BUDGET_EXHAUSTED

    def _refuse(
        self,
        held: HeldAccount,
        waiter: GrantWaiter,
        code: RefusalCode,
    ) -> Refusal:
        now_ms = self._clock.monotonic_ms()
        self._log.changed(
            'reservation_refused',
            account=held.account,
            code=code,
            most_tokens=waiter.most_tokens,
            granted_tokens=held.granted_tokens,
            limit_tokens=self._rounds.limits.limit_tokens(held, now_ms),
            used_tokens=held.used_tokens,
            free_tokens=held.free_tokens,
            prepaid_tokens=held.prepaid_tokens,
            vm_count=self._rounds.vm_count,
        )
        return _refusal(held.account, code)


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
