"""Reservation from local grants, with extension and recall on shortage."""

import attrs

from teaseldale.budgets._grant_book import GrantBook, LocalGrant
from teaseldale.budgets._recall import GrantRecall
from teaseldale.budgets._spending import Reservation
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.requests import HolderDependencies

_RESERVE_WAIT_MS = 1000
_RECALL_INTERVAL_MS = 200
_QUEUE_LIMIT = 100_000
_RETRY_AFTER_MS = 1000


class GrantReserver:
    """Reserves immediately if the grants cover the request.

    Otherwise the grant is extended, idle tokens are recalled from other VMs,
    and settlements of running requests are awaited for a limited time.
    """

    def __init__(self, *, parts: HolderDependencies, book: GrantBook) -> None:
        """Reserves in the grants of ``book``."""
        self._parts = parts
        self._book = book
        self._recall = GrantRecall(
            book=book,
            peers=parts.peers,
            clock=parts.clock,
            metrics=parts.metrics,
        )

    async def reserve(self, reservation: Reservation) -> Reservation | Refusal:
        """Reserves in all budgets or in none."""
        started_ms = self._parts.clock.monotonic_ms()
        outcome = await self._reserve_within(
            started_ms + _RESERVE_WAIT_MS,
            reservation,
        )
        waited_ms = self._parts.clock.monotonic_ms() - started_ms
        self._parts.metrics.record_ms('reserve', waited_ms)
        return outcome

    async def _reserve_within(
        self,
        until_ms: int,
        reservation: Reservation,
    ) -> Reservation | Refusal:
        while True:
            if not self._parts.holder.valid or self._is_queue_full:
                return _unavailable('This VM holds no valid grant now')
            budgets, tokens = reservation.budgets, reservation.tokens
            short = self._book.short_grants(budgets, tokens)
            if not short:
                self._book.reserve(budgets, tokens)
                return attrs.evolve(reservation, holder=self._parts.holder.key)
            refusal = await self._acquire_tokens(short[0], tokens, until_ms)
            if refusal is not None:
                return refusal

    async def _acquire_tokens(
        self,
        grant: LocalGrant,
        tokens: int,
        until_ms: int,
    ) -> Refusal | None:
        """Acquires tokens; returns a refusal if there are none in time."""
        await self._extend(grant, tokens, until_ms)
        if grant.available_tokens >= tokens:
            return None
        if not self._parts.table.available:
            return await self._wait_for_settlements(
                grant,
                until_ms,
                _unavailable('The table service does not answer'),
            )
        short = tokens - grant.available_tokens
        answer = await self._recall.recall(grant.budget, short)
        if answer.released_tokens:
            return self._retry_unless_late(grant, until_ms)
        if not (answer.reserved_tokens or grant.reserved_tokens):
            return await self._extend_again(grant, tokens, until_ms)
        return await self._wait_for_settlements(
            grant,
            until_ms,
            _exhausted(grant.budget),
        )

    async def _extend_again(
        self,
        grant: LocalGrant,
        tokens: int,
        until_ms: int,
    ) -> Refusal | None:
        await self._extend(grant, tokens, until_ms)
        if grant.available_tokens >= tokens:
            return None
        return _exhausted(grant.budget)

    async def _extend(
        self,
        grant: LocalGrant,
        tokens: int,
        until_ms: int,
    ) -> None:
        waiter = self._book.wait_for_extension(grant, tokens)
        try:
            while not waiter.answered and grant.available_tokens < tokens:
                left_ms = until_ms - self._parts.clock.monotonic_ms()
                if left_ms <= 0 or not self._parts.table.available:
                    return
                await self._book.wait_for_change(left_ms)
        finally:
            grant.waiting.remove(waiter)

    async def _wait_for_settlements(
        self,
        grant: LocalGrant,
        until_ms: int,
        refusal: Refusal,
    ) -> Refusal | None:
        left_ms = until_ms - self._parts.clock.monotonic_ms()
        is_futile = (
            not self._parts.table.available and not grant.reserved_tokens
        )
        if left_ms <= 0 or is_futile:
            return refusal
        await self._book.wait_for_change(min(left_ms, _RECALL_INTERVAL_MS))
        return None

    def _retry_unless_late(
        self, grant: LocalGrant, until_ms: int
    ) -> Refusal | None:
        if self._parts.clock.monotonic_ms() < until_ms:
            return None
        return _exhausted(grant.budget)

    @property
    def _is_queue_full(self) -> bool:
        return len(self._book.queue) >= _QUEUE_LIMIT


def _exhausted(budget: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_EXHAUSTED,
        message=f'Budget {budget!r} cannot cover the request; top it up.',
        not_run=True,
        step=Step.RESERVE,
    )


def _unavailable(reason: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_UNAVAILABLE,
        message=f'{reason}; ask again later.',
        not_run=True,
        step=Step.RESERVE,
        retry_after_ms=_RETRY_AFTER_MS,
    )
