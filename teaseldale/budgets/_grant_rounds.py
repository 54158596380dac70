"""Rounds of table transactions that maintain a holder's grants."""

from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from teaseldale.budgets._grant_book import GrantBook, GrantWaiter, LocalGrant
from teaseldale.budgets._grant_rows import (
    GrantRow,
    HolderRow,
    ReadGrant,
    ReadHolder,
)
from teaseldale.budgets._grant_size import (
    extension_tokens,
    refill_tokens,
    target_tokens,
)
from teaseldale.budgets._ledger import (
    LEDGER_TABLE,
    LedgerRow,
    ReadLedgerRow,
    TableLedger,
    decode_ledger_row,
)
from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.requests import Settlement, SpendingHolder
from teaseldale.tables import (
    Committed,
    Conflicted,
    RetryingTableService,
    Row,
    Transaction,
    make_transaction,
)

_BUDGETS_PER_ROUND = 64
_RESEND_INTERVAL_MS = 500
_REFILL_INTERVAL_MS = 10_000


class HolderClosedError(Exception):
    """Raised when other VMs have closed this holder to recover its grants."""


@attrs.define(kw_only=True)
class _Change:
    """Change of one grant within a round."""

    grant: LocalGrant
    used_tokens: int = 0
    extension_tokens: int = 0
    returned_tokens: int = 0
    updates_ledger: bool = False
    refills: bool = False  # extended ahead of demand

    @property
    def row(self) -> GrantRow:
        old = self.grant.row
        billed = old.billed_tokens + self.used_tokens
        return GrantRow(
            open_tokens=old.open_tokens
            + self.extension_tokens
            - self.used_tokens
            - self.returned_tokens,
            billed_tokens=0 if self.updates_ledger else billed,
        )

    @property
    def ledger_row(self) -> LedgerRow:
        old = _ledger_of(self.grant).row
        billed = self.grant.row.billed_tokens + self.used_tokens
        return attrs.evolve(
            old,
            billed_tokens=old.billed_tokens + billed,
            open_tokens=old.open_tokens
            + self.extension_tokens
            - self.returned_tokens
            - billed,
        )


@attrs.frozen(kw_only=True)
class _Plan:
    changes: tuple[_Change, ...]
    settlements: tuple[Settlement, ...]
    waiters: tuple[GrantWaiter, ...]


class GrantRounds:
    """Sole writer of a holder's rows, with one transaction at a time.

    A transaction whose outcome is unknown is resent under the same id until
    its outcome is known.
    """

    def __init__(
        self,
        *,
        book: GrantBook,
        table: RetryingTableService,
        holder: SpendingHolder,
        clock: BaseClock,
        metrics: Metrics,
        holder_count: Callable[[], int],
    ) -> None:
        """Creates a writer; call ``adopt`` before the first round."""
        self._book = book
        self._table = table
        self._ledger = TableLedger(table=table)
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._holder_count = holder_count
        self._row: ReadHolder | None = None

    @property
    def row(self) -> ReadHolder:
        """The holder's row as last committed."""
        if self._row is None:
            raise RuntimeError('Register the holder before its first round.')
        return self._row

    def adopt(self, row: ReadHolder) -> None:
        """Sets the holder's row after its insertion."""
        self._row = row

    async def run_once(self) -> None:
        """Commits settlements, extensions and returns; renews the validity.

        Raises ``HolderClosedError``.
        """
        await self._read_ledgers()
        while True:
            plan = self._plan()
            sent_ms = self._clock.monotonic_ms()
            outcome = await self._commit(self._transaction(plan))
            if isinstance(outcome, Committed):
                self._apply(plan, outcome.revision)
                self._holder.renew(sent_ms=sent_ms)
                return
            self._apply_conflicts(outcome)

    async def _read_ledgers(self) -> None:
        for grant in self._book.urgent_grants():
            if grant.ledger is None or self._would_refuse(grant):
                grant.ledger = await self._read_ledger(grant)

    def _would_refuse(self, grant: LocalGrant) -> bool:
        return bool(grant.unanswered) and not self._extension_of(grant)

    async def _read_ledger(self, grant: LocalGrant) -> ReadLedgerRow | None:
        try:
            read_row = await self._ledger.read(grant.budget)
        except PlatformError:
            return grant.ledger
        return read_row or ReadLedgerRow(
            name=grant.budget,
            row=LedgerRow(topped_up_tokens=0),
            revision=0,
        )

    def _plan(self) -> _Plan:
        settlements, used = self._next_settlements()
        waiters: list[GrantWaiter] = []
        changes: dict[str, _Change] = {
            budget: _Change(grant=self._book.grant(budget), used_tokens=tokens)
            for budget, tokens in used.items()
        }
        for grant in self._book.urgent_grants():
            if len(changes) >= _BUDGETS_PER_ROUND:
                break
            if grant.ledger is not None:
                self._plan_grant(grant, changes)
                waiters.extend(grant.unanswered)
        for change in changes.values():
            self._plan_refill(change)
        return _Plan(
            changes=tuple(changes.values()),
            settlements=tuple(settlements),
            waiters=tuple(waiters),
        )

    def _next_settlements(self) -> tuple[list[Settlement], Counter[str]]:
        settlements: list[Settlement] = []
        used: Counter[str] = Counter()
        for settlement in self._book.queue:
            full = len(used) >= _BUDGETS_PER_ROUND
            if full or not self._holder.may_commit(settlement):
                break
            settlements.append(settlement)
            for budget in settlement.budgets:
                used[budget] += settlement.used_tokens
        return settlements, used

    def _plan_grant(
        self,
        grant: LocalGrant,
        changes: dict[str, _Change],
    ) -> None:
        extension = self._extension_of(grant)
        if not (extension or grant.ledger_update_due):
            return
        change = changes.setdefault(grant.budget, _Change(grant=grant))
        change.extension_tokens = extension
        change.returned_tokens = grant.returning_tokens
        change.updates_ledger = True

    def _plan_refill(self, change: _Change) -> None:
        grant = change.grant
        if change.updates_ledger or not self._may_refill(grant):
            return
        ledger = _ledger_of(grant).row
        change.extension_tokens = refill_tokens(
            demand=grant.demand,
            available_tokens=grant.available_tokens,
            topped_up_tokens=ledger.topped_up_tokens,
            free_tokens=ledger.free_tokens,
            holder_count=self._holder_count(),
        )
        change.refills = change.extension_tokens > 0
        change.updates_ledger = change.refills

    def _may_refill(self, grant: LocalGrant) -> bool:
        if grant.ledger is None or not grant.revision:
            return False
        if grant.refilled_ms is None:
            return True
        since_ms = self._clock.monotonic_ms() - grant.refilled_ms
        return since_ms >= _REFILL_INTERVAL_MS

    def _extension_of(self, grant: LocalGrant) -> int:
        if grant.ledger is None:
            return 0
        available = grant.available_tokens
        waiting = [waiter.tokens for waiter in grant.waiting]
        short = sum(waiting) - available
        if short <= 0:
            return 0
        target = target_tokens(
            demand=grant.demand,
            request_tokens=max(waiting),
        )
        return extension_tokens(
            short_tokens=short,
            smallest_tokens=min(waiting) - available,
            target_tokens=target - available,
            free_tokens=grant.ledger.row.free_tokens,
            holder_count=self._holder_count(),
        )

    def _transaction(self, plan: _Plan) -> Transaction:
        holder = self.row
        checks = [holder.check()]
        writes = [holder.write(_renewed(holder.row, plan.settlements))]
        for change in plan.changes:
            read = _read_grant(self._holder.key, change.grant)
            checks.append(read.check())
            writes.append(read.write(change.row))
            if change.updates_ledger:
                ledger = _ledger_of(change.grant)
                checks.append(ledger.check())
                writes.append(ledger.write(change.ledger_row))
        return make_transaction(checks=checks, writes=writes)

    async def _commit(self, transaction: Transaction) -> Committed | Conflicted:
        self._metrics.increment('grant_rounds')
        while True:
            try:
                return await self._table.commit(transaction)
            except PlatformError:
                await self._clock.sleep_ms(_RESEND_INTERVAL_MS)

    def _apply(self, plan: _Plan, revision: int) -> None:
        holder = self.row
        self._row = attrs.evolve(
            holder,
            row=_renewed(holder.row, plan.settlements),
            revision=revision,
        )
        for _ in plan.settlements:
            self._book.queue.popleft()
        self._holder.settled_through = self._row.row.settled_through
        for change in plan.changes:
            _apply_change(change, revision)
            if change.refills:
                change.grant.refilled_ms = self._clock.monotonic_ms()
        for waiter in plan.waiters:
            waiter.answered = True
        self._book.notify_waiters()

    def _apply_conflicts(self, outcome: Conflicted) -> None:
        self._metrics.increment('grant_round_conflicts')
        for row in outcome.rows:
            if row.table != LEDGER_TABLE:
                raise HolderClosedError
            self._apply_ledger_row(row)

    def _apply_ledger_row(self, row: Row) -> None:
        self._book.grant(row.key).ledger = decode_ledger_row(row)


def _renewed(row: HolderRow, settlements: Iterable[Settlement]) -> HolderRow:
    through = row.settled_through
    for settlement in settlements:
        through = settlement.sequence
    return attrs.evolve(
        row,
        settled_through=through,
        write_count=row.write_count + 1,
    )


def _read_grant(holder: str, grant: LocalGrant) -> ReadGrant:
    return ReadGrant(
        holder=holder,
        budget=grant.budget,
        row=grant.row,
        revision=grant.revision,
    )


def _ledger_of(grant: LocalGrant) -> ReadLedgerRow:
    if grant.ledger is None:
        raise RuntimeError('Read the ledger row before planning a round.')
    return grant.ledger


def _apply_change(change: _Change, revision: int) -> None:
    grant = change.grant
    if change.updates_ledger:
        grant.ledger_update_due = (
            grant.returning_tokens > change.returned_tokens
        )
        grant.ledger = attrs.evolve(
            _ledger_of(grant),
            row=change.ledger_row,
            revision=revision,
        )
    grant.row = change.row
    empty = not (grant.row.open_tokens or grant.row.billed_tokens)
    grant.revision = 0 if empty else revision
    grant.queued_tokens -= change.used_tokens
    grant.returning_tokens -= change.returned_tokens
