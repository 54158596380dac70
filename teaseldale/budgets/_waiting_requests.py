"""Queue of requests that wait until their account can pay."""

import attrs

from teaseldale.budgets._account_book import GrantWaiter, HeldAccount
from teaseldale.budgets._account_rounds import AccountRounds
from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal, RefusalCode, Step

# Loan timeout, within which ten or more VMs are asked.
LOAN_TIMEOUT_MS = 200
_RETRY_AFTER_MS = 500  # for callers whose tokens are held by other VMs


@attrs.define(kw_only=True)
class WaitingRequests:
    """Serves or refuses the requests waiting for an account."""

    held: HeldAccount
    rounds: AccountRounds
    clock: BaseClock
    metrics: Metrics
    can_borrow: bool = False  # whether other VMs can be asked for loans
    _log: StateLog = attrs.field(factory=lambda: StateLog(channel='grants'))

    @property
    def payable_tokens(self) -> int:
        """Tokens that this VM may spend now."""
        return self.limit_tokens() - self.held.used_tokens

    def can_pay(self, tokens: int) -> bool:
        """Whether the VM may now spend another ``tokens`` of the account."""
        return self.held.used_tokens + tokens <= self.limit_tokens()

    def limit_tokens(self) -> int:
        """Returns the maximum use of the account that is allowed now."""
        now_ms = self.clock.monotonic_ms()
        return self.rounds.limits.limit_tokens(self.held, now_ms)

    def can_pay_all_within(self, duration_ms: int) -> bool:
        """Whether the mark will allow all waiting requests by then."""
        then_ms = self.clock.monotonic_ms() + duration_ms
        limit = self.rounds.limits.limit_tokens(self.held, then_ms)
        return self.held.used_tokens + self.held.waiting_tokens <= limit

    def cancel(self, waiter: GrantWaiter) -> None:
        """Reverts a cancelled wait, including one that was just served."""
        held = self.held
        if waiter in held.waiting:
            held.waiting.remove(waiter)
        elif waiter.refusal is None:
            held.reserved_tokens -= waiter.most_tokens

    def serve(self) -> None:
        """Serves waiting requests in order while they can be paid."""
        held = self.held
        while held.waiting:
            first = held.waiting[0]
            if not self.can_pay(first.most_tokens):
                return
            held.reserved_tokens += first.most_tokens
            held.waiting.pop(0)
            first.answered.set()

    def refuse_exhausted(self) -> None:
        """Refuses requests that own and free tokens together cannot pay."""
        held = self.held
        payable = held.available_tokens + held.free_tokens
        for waiter in tuple(held.waiting):
            if waiter.most_tokens <= payable:
                continue
            code = self.refusal_code(waiter)
            if code is RefusalCode.BUDGET_HELD and self._may_borrow(waiter):
                continue
            held.waiting.remove(waiter)
            waiter.refusal = self.refuse(waiter, code)
            waiter.answered.set()

    def _may_borrow(self, waiter: GrantWaiter) -> bool:
        waited_ms = self.clock.monotonic_ms() - waiter.since_ms
        return self.can_borrow and waited_ms < LOAN_TIMEOUT_MS

    def refusal_code(self, waiter: GrantWaiter) -> RefusalCode:
        """Distinguishes an exhausted account from tokens held by other VMs."""
        held = self.held
        spent = self.rounds.spent_by_all
        left = held.prepaid_tokens - spent - held.reserved_tokens
        if waiter.most_tokens <= left:
            return RefusalCode.BUDGET_HELD
        return RefusalCode.BUDGET_EXHAUSTED

    def refuse(self, waiter: GrantWaiter, code: RefusalCode) -> Refusal:
        """Logs a refusal and returns it."""
        held = self.held
        self._log.changed(
            'reservation_refused',
            account=held.account,
            code=code,
            most_tokens=waiter.most_tokens,
            granted_tokens=held.granted_tokens,
            limit_tokens=self.limit_tokens(),
            used_tokens=held.used_tokens,
            free_tokens=held.free_tokens,
            prepaid_tokens=held.prepaid_tokens,
            vm_count=self.rounds.keeper_count,
        )
        return account_refusal(held.account, code)


def account_refusal(account: str, code: RefusalCode) -> Refusal:
    """Builds the refusal that explains why an account cannot pay."""
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
