"""Spending of one account on this VM, with its waiting requests and rounds."""

from collections.abc import Callable

import anyio

from teaseldale.budgets._account_book import GrantWaiter, HeldAccount
from teaseldale.budgets._account_demand import AccountDemand
from teaseldale.budgets._account_reports import AccountReports
from teaseldale.budgets._account_rounds import (
    AccountRounds,
    StoreAccess,
    VmIncarnation,
)
from teaseldale.budgets._waiting_requests import (
    LOAN_TIMEOUT_MS,
    WaitingRequests,
)
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode

_MS_PER_SECOND = 1000
# Interval between checks for pending grant changes and marks.
_ROUND_INTERVAL_MS = 500
# Interval between reads of the other keepers' rows. In between, changes show
# up through transaction conflicts.
_READ_INTERVAL_MS = 5000
# Timeout of a request that waits for a grant. The store answers within a few
# milliseconds; beyond this time the caller should retry at another VM.
_GRANT_TIMEOUT_MS = 600
# Backoff after a failed transaction, so that an unavailable store is not
# flooded with retries of all keepers.
_RETRY_DELAY_MS = 150
# Delay before the first loan request and between loan requests. A healthy store
# answers within this time.
_LOAN_REQUEST_INTERVAL_MS = 30
# Delay until the next round while requests wait, as its mark may allow them.
_RECHECK_DELAY_MS = 5
# Read interval while requests wait for tokens held by other VMs.
_WAITING_READ_INTERVAL_MS = 100


class AccountShard:
    """Spends from one account, whether or not this VM is its keeper."""

    def __init__(
        self,
        *,
        account: str,
        start: VmIncarnation,
        store: StoreAccess,
        keepers: AccountKeepers,
    ) -> None:
        """Creates a shard without a grant."""
        self._clock = store.clock
        self._metrics = store.metrics
        self.held = HeldAccount(
            account=account,
            demand=AccountDemand(clock=store.clock),
        )
        self.rounds = AccountRounds(
            start=start,
            store=store,
            held=self.held,
            keepers=keepers,
        )
        self.waiting = WaitingRequests(
            held=self.held,
            rounds=self.rounds,
            clock=store.clock,
            metrics=store.metrics,
        )
        self._reports = AccountReports(rounds=self.rounds, clock=store.clock)
        self._request_loan: Callable[[AccountShard], None] | None = None
        self._wake = anyio.Event()
        self._next_read_ms = 0
        self.is_store_lost = False  # whether the latest call failed
        self._is_closing = False
        self._ended = anyio.Event()
        self._log = StateLog(channel='grants')

    @property
    def is_keeper(self) -> bool:
        """Whether this VM is a keeper of the account."""
        is_staying = not (self.held.is_retiring or self._is_closing)
        return self.rounds.is_assigned and is_staying

    @property
    def spare_tokens(self) -> int:
        """Tokens that can be lent without affecting the expected demand."""
        held = self.held
        unused = held.available_tokens - held.demand.retained_tokens()
        return min(unused, self.waiting.payable_tokens)

    @property
    def may_hold_drawn_tokens(self) -> bool:
        """Whether drawn tokens may have to be returned."""
        held = self.held
        is_left = held.reserved_tokens > 0 or held.drawn_tokens > 0
        return is_left and not self.is_keeper and bool(held.lender)

    def set_loan_requester(
        self, request_loan: Callable[['AccountShard'], None]
    ) -> None:
        """Sets the function that requests loans from other keepers."""
        self._request_loan = request_loan
        self.waiting.can_borrow = True

    def update_prepaid(self, prepaid_tokens: int) -> None:
        """Applies the prepaid amount of the configuration in force."""
        self.held.prepaid_tokens = prepaid_tokens
        self.trigger_round()

    def trigger_round(self) -> None:
        """Triggers the next round immediately."""
        self._wake.set()

    async def reserve(
        self,
        most_tokens: int,
        *,
        request_tokens: int | None = None,
    ) -> Refusal | None:
        """Reserves tokens, waiting for a grant if necessary.

        ``request_tokens`` is the size of one request if ``most_tokens`` are
        for several, so that the typical size remains that of a request.
        """
        held = self.held
        held.demand.record_request(most_tokens)
        if held.waiting or not self.waiting.can_pay(most_tokens):
            refusal = await self._wait_for_grant(most_tokens)
            if refusal is not None:
                held.demand.record_refusal(most_tokens)
                return refusal
        else:
            held.reserved_tokens += most_tokens
        held.demand.record_payment(request_tokens or most_tokens)
        return None

    def settle(self, most_tokens: int, used_tokens: int) -> None:
        """Records the use of a request and releases the remainder."""
        held = self.held
        used = min(used_tokens, most_tokens)
        held.reserved_tokens -= most_tokens
        held.spent_tokens += used
        held.demand.add(used - most_tokens)
        held.settled_ms = self._clock.monotonic_ms()
        self.waiting.serve()

    async def run(self) -> None:
        """Extends, returns and marks the grant until ``close``."""
        while not self._is_closing:
            await self._wait_for_round()
            if self.rounds.needs_rounds:
                await self._round()
        await self._end()

    def retire(self) -> None:
        """Returns unspent tokens as requests end; none are reserved anew."""
        self.held.is_retiring = True
        self.trigger_round()

    async def close(self) -> None:
        """Returns all unspent tokens to the store."""
        self._is_closing = True
        self._wake.set()
        await self._ended.wait()

    async def _wait_for_round(self) -> None:
        """Waits for the next round; without rounds to run, until woken."""
        wait_seconds = float('inf')
        if self.rounds.needs_rounds:
            wait_seconds = _ROUND_INTERVAL_MS / _MS_PER_SECOND
        with anyio.move_on_after(wait_seconds):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _end(self) -> None:
        try:
            if self.rounds.is_read:
                await self.rounds.change(return_all=True)
        except PlatformError as error:
            self._log.changed(
                'grants_not_returned',
                account=self.held.account,
                reason=error.reason,
            )
        self._ended.set()

    async def _wait_for_grant(self, most_tokens: int) -> Refusal | None:
        held = self.held
        waiter = GrantWaiter(
            most_tokens=most_tokens,
            since_ms=self._clock.monotonic_ms(),
        )
        held.waiting.append(waiter)
        self._wake.set()
        wait_ms = _GRANT_TIMEOUT_MS
        if self.is_store_lost and not self.waiting.can_pay_all_within(wait_ms):
            wait_ms = LOAN_TIMEOUT_MS
        try:
            with anyio.move_on_after(wait_ms / _MS_PER_SECOND):
                await self._borrow_until_answered(waiter)
        except BaseException:
            self.waiting.cancel(waiter)
            raise
        if waiter.answered.is_set():
            return waiter.refusal
        held.waiting.remove(waiter)
        code = RefusalCode.BUDGET_UNAVAILABLE
        if not self.is_store_lost:
            code = self.waiting.refusal_code(waiter)
        return self.waiting.refuse(waiter, code)

    async def _borrow_until_answered(self, waiter: GrantWaiter) -> None:
        """Requests loans repeatedly if the store does not answer in time."""
        if not self.is_store_lost:
            with anyio.move_on_after(
                _LOAN_REQUEST_INTERVAL_MS / _MS_PER_SECOND
            ):
                await waiter.answered.wait()
        while not waiter.answered.is_set():
            # The limit of a mark grows while a call to the store is pending.
            self.waiting.serve()
            is_first = waiter in self.held.waiting[:1]
            if is_first and self._request_loan:
                self._request_loan(self)
            with anyio.move_on_after(
                _LOAN_REQUEST_INTERVAL_MS / _MS_PER_SECOND
            ):
                await waiter.answered.wait()

    async def _round(self) -> None:
        try:
            await self._read_if_due()
            await self.rounds.change()
        except PlatformError as error:
            self._record_store_loss(error)
            await self._clock.sleep_ms(_RETRY_DELAY_MS)
            self._wake.set()
        else:
            self._record_store_recovery()
        if not self.rounds.is_read:
            self._wake.set()
        self._reports.log_if_changed()
        self.waiting.serve()
        if not self.is_store_lost:
            self.waiting.refuse_exhausted()
        if self.held.waiting:
            soon_ms = self._clock.monotonic_ms() + _WAITING_READ_INTERVAL_MS
            self._next_read_ms = min(self._next_read_ms, soon_ms)
            await self._clock.sleep_ms(_RECHECK_DELAY_MS)
            self._wake.set()

    async def _read_if_due(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if self.rounds.is_read and now_ms < self._next_read_ms:
            return
        await self.rounds.read()
        self._next_read_ms = now_ms + _READ_INTERVAL_MS

    def _record_store_loss(self, error: PlatformError) -> None:
        self._metrics.increment('grants_not_extended', error.reason)
        if not self.is_store_lost:
            self.is_store_lost = True
            self._log.changed(
                'grants_store_lost',
                account=self.held.account,
                reason=error.reason,
            )

    def _record_store_recovery(self) -> None:
        if self.is_store_lost:
            self.is_store_lost = False
            self._log.changed(
                'grants_store_regained',
                account=self.held.account,
            )
            # The mark that was just committed is as old as the outage.
            self._wake.set()
