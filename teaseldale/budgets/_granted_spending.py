"""Spending from grants held by this VM."""

import anyio
from anyio.abc import TaskGroup

from teaseldale.budgets._duplicate_credits import DuplicateCredits
from teaseldale.budgets._grant_book import GrantBook, LocalGrant
from teaseldale.budgets._grant_rounds import GrantRounds, HolderClosedError
from teaseldale.budgets._holder_registration import HolderRegistration
from teaseldale.budgets._late_settlements import LateSettlements
from teaseldale.budgets._recovery import HolderRecovery
from teaseldale.budgets._reserving import GrantReserver
from teaseldale.budgets._spending import BaseSpending, Reservation
from teaseldale.kernel import BaseService
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.requests import HolderDependencies, RequestIdentity, Settlement

_SETTLE_INTERVAL_MS = 1000
_REGISTER_INTERVAL_MS = 1000
_RENEWALS_PER_VALIDITY = 10
_IDLE_MS = 600_000
_DRAIN_WAIT_MS = 10_000
_DRAIN_POLL_MS = 50


class GrantedSpending(BaseSpending, BaseService):
    """Reserves and settles locally; batches changes into table rounds.

    ``billed + open grants <= topped up`` holds in the table at all times, and
    a VM spends only granted tokens, and only while the grant is valid.
    """

    def __init__(self, *, parts: HolderDependencies) -> None:
        """Creates a spender that refuses requests until its registration."""
        self._parts = parts
        self.book = GrantBook(clock=parts.clock, holder=parts.holder)
        self._reserver = GrantReserver(parts=parts, book=self.book)
        self._rounds = GrantRounds(
            book=self.book,
            table=parts.table,
            holder=parts.holder,
            clock=parts.clock,
            metrics=parts.metrics,
            holder_count=self._holder_count,
        )
        self._registration = HolderRegistration(parts=parts)
        self._late = LateSettlements(parts=parts, book=self.book)
        self._recovery = HolderRecovery(parts=parts)
        self._credits = DuplicateCredits(parts=parts)
        self._last_round_ms = 0
        self._closing = False
        self._ended = anyio.Event()

    @property
    def name(self) -> str:
        """Service name."""
        return 'budgets'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the writer, late settlement, recovery and credit tasks."""
        tasks.start_soon(self._run_writer)
        tasks.start_soon(self._late.run, self)
        tasks.start_soon(self._recovery.run)
        tasks.start_soon(self._credits.run)

    async def drain(self) -> None:
        """Commits all settlements and returns all grants."""
        self._closing = True
        self.book.notify_writer()
        await self._ended.wait()

    async def reserve(
        self,
        *,
        request: RequestIdentity,
        budgets: tuple[str, ...],
        tokens: int,
    ) -> Reservation | Refusal:
        """Reserves from local grants, which are extended if necessary."""
        reservation = Reservation(
            request=request,
            budgets=budgets,
            tokens=tokens,
        )
        return await self._reserver.reserve(reservation)

    async def settle(
        self,
        reservation: Reservation,
        *,
        used_tokens: int,
    ) -> Settlement | Refusal:
        """Queues the settlement, which is committed within a second."""
        used = min(used_tokens, reservation.tokens)
        if not used:
            return self._release(reservation)
        if reservation.holder != self._parts.holder.key:
            moved = await self._move_reservation(reservation, used)
            if isinstance(moved, Refusal):
                return moved
            reservation = moved
        return self.book.settle(
            reservation.budgets,
            reserved_tokens=reservation.tokens,
            used_tokens=used,
            request=reservation.request.text,
        )

    def _release(self, reservation: Reservation) -> Settlement:
        if reservation.holder == self._parts.holder.key:
            self.book.release(reservation.budgets, reservation.tokens)
        return Settlement(
            holder='',
            sequence=0,
            budgets=reservation.budgets,
            used_tokens=0,
        )

    async def _move_reservation(
        self,
        reservation: Reservation,
        used_tokens: int,
    ) -> Reservation | Refusal:
        self._parts.metrics.increment('reservations_moved')
        return await self.reserve(
            request=reservation.request,
            budgets=reservation.budgets,
            tokens=used_tokens,
        )

    def _holder_count(self) -> int:
        return 1 + len(self._parts.peers.known_peers())

    async def _run_writer(self) -> None:
        while not self._closing:
            try:
                await self._registration.register(self._rounds)
                await self._run_rounds()
            except HolderClosedError:
                self._replace_holder()
            except PlatformError:
                await self._parts.clock.sleep_ms(_REGISTER_INTERVAL_MS)
        self._ended.set()

    async def _run_rounds(self) -> None:
        while not self._closing:
            await self._wait_for_work()
            if self._parts.holder.fenced_by_peer:
                raise HolderClosedError
            self._return_idle_grants()
            await self._round()
        await self._return_all_grants()

    async def _round(self) -> None:
        self._last_round_ms = self._parts.clock.monotonic_ms()
        await self._rounds.run_once()
        self._update_gauges()

    async def _wait_for_work(self) -> None:
        clock = self._parts.clock
        renewal_ms = self._parts.holder.validity_ms // _RENEWALS_PER_VALIDITY
        while not (self._closing or self._parts.holder.fenced_by_peer):
            interval_ms = renewal_ms
            if self.book.queue or not self._parts.table.available:
                interval_ms = _SETTLE_INTERVAL_MS
            left_ms = self._last_round_ms + interval_ms - clock.monotonic_ms()
            if left_ms <= 0 or self.book.urgent:
                return
            await self.book.wait_for_work(left_ms)

    def _return_idle_grants(self) -> None:
        now_ms = self._parts.clock.monotonic_ms()
        for grant in tuple(self.book.grants.values()):
            unused_ms = now_ms - grant.demand.last_use_ms
            if grant.idle and unused_ms > _IDLE_MS:
                self._return_or_drop(grant)

    def _return_or_drop(self, grant: LocalGrant) -> None:
        if grant.revision:
            self.book.return_tokens(grant, max(0, grant.available_tokens))
        else:
            self.book.grants.pop(grant.budget)

    async def _return_all_grants(self) -> None:
        if not await self._settle_all():
            self._parts.metrics.increment('drains_unsettled')
            return
        for grant in tuple(self.book.grants.values()):
            if grant.revision:
                self.book.return_tokens(grant, max(0, grant.available_tokens))
        while self.book.urgent:
            await self._round()
        await self._registration.withdraw(self._rounds)

    async def _settle_all(self) -> bool:
        """Returns False if a settlement was not witnessed in time.

        Its holder then stays open and is recovered by other VMs.
        """
        until_ms = self._parts.clock.monotonic_ms() + _DRAIN_WAIT_MS
        while self.book.queue:
            await self._round()
            if self._parts.clock.monotonic_ms() > until_ms:
                return not self.book.queue
            if self.book.queue:
                await self._parts.clock.sleep_ms(_DRAIN_POLL_MS)
        return True

    def _replace_holder(self) -> None:
        """Continues as a new holder; recovery handles open settlements."""
        self._parts.metrics.increment('holders_replaced')
        for settlement in self.book.queue:
            key = (settlement.holder, settlement.sequence)
            self._parts.holder.late_settlements[key] = settlement
        self._parts.holder.start_next_epoch()
        self.book.clear()

    def _update_gauges(self) -> None:
        self._parts.metrics.set_gauge(
            'settlements_queued',
            len(self.book.queue),
        )
        self._parts.metrics.set_gauge('grants_held', len(self.book.grants))
