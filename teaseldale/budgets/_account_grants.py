"""Spends prepaid accounts from grants held by a few keeper VMs.

A keeper of an account spends from its own grant without a store access. The
grant covers several seconds of demand, so that spending continues during a
store outage, and surplus tokens are returned. Other VMs draw tokens from a
keeper for their waiting requests, and ahead of demand.
"""

from collections.abc import Callable, Mapping

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_answers import DrawAnswers
from teaseldale.budgets._draw_messages import (
    DRAW,
    DRAW_ANSWER,
    RETURN,
    RETURN_RECEIPT,
)
from teaseldale.budgets._token_draws import TokenDraws
from teaseldale.budgets._token_loans import LOAN, LOAN_REQUEST, TokenLoans
from teaseldale.budgets._token_returns import TokenReturns
from teaseldale.kernel import BaseService
from teaseldale.members import AccountKeepers
from teaseldale.outcomes import Refusal

# Retention of unused drawn tokens for the next request of the same account.
# Long enough for a caller that sends requests one after another.
_DRAWN_RETENTION_MS = 300
_RETURN_ROUND_MS = 100


@attrs.frozen(kw_only=True)
class AccountReservation:
    """Tokens reserved for one request."""

    account: str
    most_tokens: int


class AccountGrants(BaseService):
    """Grants of all accounts that this VM can spend from."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        keepers: AccountKeepers,
        store: StoreAccess,
    ) -> None:
        """Creates the service without any account."""
        self._start = start
        self._keepers = keepers
        self._store = store
        self._clock = store.clock
        self._shards: dict[str, AccountShard] = {}
        self._tasks: TaskGroup | None = None
        self._is_closing = False
        self._loans = TokenLoans(
            start=start,
            keepers=keepers,
            find_shard=self._shards.get,
            metrics=store.metrics,
        )
        self._draws = TokenDraws(start=start, keepers=keepers, store=store)
        self._answers = DrawAnswers(
            start=start,
            find_shard=self._shards.get,
            metrics=store.metrics,
        )
        self._returns = TokenReturns(
            start=start,
            find_shard=self._shards.get,
            store=store,
        )
        self.handlers: Mapping[bytes, Callable[[bytes], None]] = {
            LOAN_REQUEST: self._loans.handle_loan_request,
            LOAN: self._loans.handle_loan,
            DRAW: self._answers.handle_draw,
            DRAW_ANSWER: self._draws.exchanges.handle_answer,
            RETURN: self._returns.handle_return,
            RETURN_RECEIPT: self._returns.handle_receipt,
        }
        keepers.members.add_change_listener(self._trigger_rounds)
        store.eras.add_change_listener(self._trigger_rounds)

    @property
    def name(self) -> str:
        """Service name."""
        return 'account_grants'

    @property
    def is_known(self) -> bool:
        """Whether the member list that assigns keepers has been received."""
        return self._keepers.members.revision > 0

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._loans.set_datagram_sender(send)
        self._draws.exchanges.set_datagram_sender(send)
        self._answers.set_datagram_sender(send)
        self._returns.set_datagram_sender(send)

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the loop of each account and the handling of draws."""
        self._tasks = tasks
        self._answers.use_task_group(tasks)
        self._draws.use_task_group(tasks)
        for shard in self._shards.values():
            tasks.start_soon(shard.run)
        tasks.start_soon(self._return_unused)

    def retire(self) -> None:
        """Starts to return tokens, as this VM accepts no more requests.

        The store may not answer any more once the last request has ended.
        """
        for shard in self._shards.values():
            shard.retire()

    async def drain(self) -> None:
        """Returns all unused tokens to keepers and to the store."""
        self._is_closing = True
        self._return_all(retention_ms=0)
        async with anyio.create_task_group() as closing:
            for shard in self._shards.values():
                closing.start_soon(shard.close)

    def update_prepaid_accounts(
        self, prepaid_tokens: Mapping[str, int]
    ) -> None:
        """Applies the prepaid amounts of the configuration in force."""
        for account, tokens in prepaid_tokens.items():
            self._shard(account).update_prepaid(tokens)

    async def reserve(
        self,
        *,
        account: str,
        most_tokens: int,
    ) -> AccountReservation | Refusal:
        """Reserves ``most_tokens``, waiting for a draw or grant if needed."""
        shard = self._shard(account)
        if shard.is_keeper:
            refusal = await shard.reserve(most_tokens)
        else:
            refusal = await self._draws.reserve(shard, most_tokens)
        if refusal is not None:
            return refusal
        return AccountReservation(account=account, most_tokens=most_tokens)

    def settle(
        self,
        reservation: AccountReservation,
        *,
        used_tokens: int,
    ) -> None:
        """Records the use of a request and releases the remainder."""
        shard = self._shards[reservation.account]
        shard.settle(reservation.most_tokens, used_tokens)
        self._draws.serve(reservation.account)

    def _shard(self, account: str) -> AccountShard:
        shard = self._shards.get(account)
        if shard is None:
            shard = AccountShard(
                account=account,
                start=self._start,
                store=self._store,
                keepers=self._keepers,
            )
            shard.set_loan_requester(self._loans.request_loan)
            self._shards[account] = shard
            if self._tasks is not None:
                self._tasks.start_soon(shard.run)
        return shard

    def _trigger_rounds(self) -> None:
        for shard in self._shards.values():
            shard.trigger_round()

    async def _return_unused(self) -> None:
        while not self._is_closing:
            await self._draws.exchanges.has_drawn_tokens.wait()
            await self._clock.sleep_ms(_RETURN_ROUND_MS)
            self._return_all(retention_ms=_DRAWN_RETENTION_MS)
            self._returns.resend_due()
            self._draws.exchanges.resolve_due()
            is_drawn = any(
                shard.may_hold_drawn_tokens for shard in self._shards.values()
            )
            is_done = (
                self._returns.is_done and self._draws.exchanges.is_resolved
            )
            if is_done and not is_drawn:
                self._draws.exchanges.has_drawn_tokens = anyio.Event()

    def _return_all(self, *, retention_ms: int) -> None:
        oldest_ms = self._clock.monotonic_ms() - retention_ms
        for shard in self._shards.values():
            if not shard.is_keeper and shard.held.settled_ms <= oldest_ms:
                self._returns.return_unused(shard)
