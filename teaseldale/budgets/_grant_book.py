"""Local state of a holder: grants, reservations and settlements."""

from collections import deque

import anyio
import attrs

from teaseldale.budgets._grant_rows import GrantRow
from teaseldale.budgets._grant_size import DemandMeter
from teaseldale.budgets._ledger import ReadLedgerRow
from teaseldale.clock import BaseClock
from teaseldale.requests import Settlement, SpendingHolder

_MS_PER_SECOND = 1000


@attrs.define(kw_only=True, eq=False)
class GrantWaiter:
    """A request that waits for its grant to be extended."""

    tokens: int
    answered: bool = False  # evaluated by a round


@attrs.define(kw_only=True, eq=False)
class LocalGrant:
    """Local state of this VM's grant of one budget."""

    budget: str
    demand: DemandMeter
    row: GrantRow = GrantRow()  # as last committed
    revision: int = 0  # of the row, 0 if absent
    ledger: ReadLedgerRow | None = None  # as last read
    reserved_tokens: int = 0  # by requests in progress
    queued_tokens: int = 0  # settled but not yet committed
    returning_tokens: int = 0  # returned by the next round
    refilled_ms: int | None = None  # time of the last refill ahead of demand
    # Move billed tokens to the ledger in the next round.
    ledger_update_due: bool = False
    waiting: list[GrantWaiter] = attrs.field(factory=list)

    @property
    def available_tokens(self) -> int:
        """Tokens that can be reserved."""
        return (
            self.row.open_tokens
            - self.reserved_tokens
            - self.queued_tokens
            - self.returning_tokens
        )

    @property
    def idle(self) -> bool:
        """Whether the grant is neither used nor waited for."""
        busy = self.reserved_tokens or self.queued_tokens or self.waiting
        return not (busy or self.returning_tokens)

    @property
    def unanswered(self) -> list[GrantWaiter]:
        """Waiters that no round has evaluated yet."""
        return [waiter for waiter in self.waiting if not waiter.answered]

    @property
    def urgent(self) -> bool:
        """Whether the next round has to process the grant."""
        return bool(
            self.returning_tokens or self.ledger_update_due or self.unanswered
        )


class GrantBook:
    """All grants of a holder and its queued settlements."""

    def __init__(self, *, clock: BaseClock, holder: SpendingHolder) -> None:
        """Creates a book without grants."""
        self.grants: dict[str, LocalGrant] = {}
        self.queue: deque[Settlement] = deque()
        self._pending: dict[str, LocalGrant] = {}
        self._clock = clock
        self._holder = holder
        self._changed = anyio.Event()
        self._work = anyio.Event()

    @property
    def urgent(self) -> bool:
        """Whether any grant has to be processed by the next round."""
        return bool(self.urgent_grants())

    def urgent_grants(self) -> list[LocalGrant]:
        """Returns the grants to be processed by the next round."""
        self._pending = {
            budget: grant
            for budget, grant in self._pending.items()
            if grant.urgent
        }
        return list(self._pending.values())

    def wait_for_extension(self, grant: LocalGrant, tokens: int) -> GrantWaiter:
        """Adds a waiter, which the caller has to remove from the grant."""
        waiter = GrantWaiter(tokens=tokens)
        grant.waiting.append(waiter)
        self._pending[grant.budget] = grant
        self.notify_writer()
        return waiter

    def return_tokens(self, grant: LocalGrant, tokens: int) -> None:
        """Schedules a return of tokens to the budget in the next round."""
        grant.returning_tokens += tokens
        grant.ledger_update_due = True
        self._pending[grant.budget] = grant
        self.notify_writer()

    def grant(self, budget: str) -> LocalGrant:
        """Returns the grant of a budget, creating an empty one if needed."""
        grant = self.grants.get(budget)
        if grant is None:
            demand = DemandMeter(clock=self._clock)
            grant = LocalGrant(budget=budget, demand=demand)
            self.grants[budget] = grant
        return grant

    def short_grants(
        self,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> list[LocalGrant]:
        """Returns the grants that cannot cover ``tokens``."""
        grants = [self.grant(budget) for budget in budgets]
        return [grant for grant in grants if grant.available_tokens < tokens]

    def reserve(self, budgets: tuple[str, ...], tokens: int) -> None:
        """Reserves tokens; the caller has checked that they are available."""
        for budget in budgets:
            self.grant(budget).reserved_tokens += tokens

    def release(self, budgets: tuple[str, ...], tokens: int) -> None:
        """Releases a reservation without billing it."""
        for budget in budgets:
            self.grant(budget).reserved_tokens -= tokens
        self.notify_waiters()

    def settle(
        self,
        budgets: tuple[str, ...],
        *,
        reserved_tokens: int,
        used_tokens: int,
        request: str,
    ) -> Settlement:
        """Queues a settlement and releases the rest of the reservation."""
        settlement = Settlement(
            holder=self._holder.key,
            sequence=self._holder.next_sequence(),
            budgets=budgets,
            used_tokens=used_tokens,
            request=request,
        )
        self.queue.append(settlement)
        for budget in budgets:
            grant = self.grant(budget)
            grant.reserved_tokens -= reserved_tokens
            grant.queued_tokens += used_tokens
            grant.demand.add(used_tokens)
        self.notify_waiters()
        self.notify_writer()
        return settlement

    def clear(self) -> None:
        """Discards the state of a holder that was replaced."""
        self.grants.clear()
        self._pending.clear()
        self.queue.clear()
        self.notify_waiters()

    def notify_writer(self) -> None:
        """Wakes the writer task, but not the waiting requests."""
        work = self._work
        self._work = anyio.Event()
        work.set()

    async def wait_for_work(self, timeout_ms: float) -> None:
        """Waits until a round is needed or the time is up."""
        with anyio.move_on_after(timeout_ms / _MS_PER_SECOND):
            await self._work.wait()

    def notify_waiters(self) -> None:
        """Wakes requests that wait for tokens."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait_for_change(self, timeout_ms: float) -> None:
        """Waits for the next change or until the time is up."""
        with anyio.move_on_after(timeout_ms / _MS_PER_SECOND):
            await self._changed.wait()
