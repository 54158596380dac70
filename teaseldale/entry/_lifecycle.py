"""Lifecycle of a request: reserve, run, settle, record the outcome."""

import dataclasses
from collections.abc import Awaitable, Callable

import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.budgets import Reservation
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._refusals import run_failed
from teaseldale.notes import ClientAccount, Route
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode
from teaseldale.requests import OpenedRequest, ReservedFunds, Settlement

_RETRY_AFTER_MS = 1000


@attrs.frozen(kw_only=True)
class WorkOutcome:
    """Answer or refusal of the upstreams, and the tokens to bill."""

    answer: StoredAnswer | Refusal
    used_tokens: int = 0  # may be above 0 for a refusal after a run


Work = Callable[[Reservation], Awaitable[WorkOutcome]]


class RequestLifecycle:
    """Guarantees exactly one bill and one outcome for a request."""

    def __init__(self, *, parts: RequestDependencies) -> None:
        """Creates a lifecycle that uses the services in ``parts``."""
        self._parts = parts

    async def run(
        self,
        opened: OpenedRequest,
        *,
        budgets: tuple[str, ...],
        tokens: int,
        work: Work,
    ) -> None:
        """Runs ``work`` if ``tokens`` can be reserved, then settles."""
        reservation = await self._parts.spending.reserve(
            request=opened.request,
            budgets=budgets,
            tokens=tokens,
        )
        if isinstance(reservation, Refusal):
            await self._abandon(opened, reservation, None)
            return
        funds = ReservedFunds(
            holder=reservation.holder,
            budgets=budgets,
            tokens=tokens,
        )
        self._parts.registry.record_funds(opened, funds)
        outcome = await self._run_work(opened, reservation, work)
        settlement = await self._settle(reservation, outcome)
        if isinstance(settlement, Refusal):
            await self._abandon(opened, _mark_as_run(settlement), None)
        elif isinstance(outcome.answer, Refusal):
            billed = settlement if outcome.used_tokens else None
            await self._abandon(opened, outcome.answer, billed)
        else:
            await self._finish(opened, outcome.answer, settlement)

    async def _run_work(
        self,
        opened: OpenedRequest,
        reservation: Reservation,
        work: Work,
    ) -> WorkOutcome:
        try:
            return await work(reservation)
        except Exception:
            refusal = run_failed()
            await self._settle(reservation, WorkOutcome(answer=refusal))
            await self._abandon(opened, refusal, None)
            raise

    async def _settle(
        self,
        reservation: Reservation,
        outcome: WorkOutcome,
    ) -> Settlement | Refusal:
        try:
            return await self._parts.spending.settle(
                reservation,
                used_tokens=outcome.used_tokens,
            )
        except PlatformError as error:
            self._parts.metrics.increment('settlements_failed', error.step)
            return _settlement_failed(error)

    async def _finish(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
        settlement: Settlement,
    ) -> None:
        try:
            refused = await self._parts.registry.finish(
                opened,
                stored,
                settlement,
            )
        except PlatformError as error:
            self._parts.metrics.increment('outcomes_not_stored', error.step)
            refused = None
        if refused is None:
            opened.answer.finish(stored)
        else:
            opened.answer.fail(refused)

    async def _abandon(
        self,
        opened: OpenedRequest,
        refusal: Refusal,
        settlement: Settlement | None,
    ) -> None:
        opened.answer.fail(refusal)
        try:
            await self._parts.registry.abandon(
                opened,
                not_run=refusal.not_run,
                settlement=settlement,
            )
        except PlatformError as error:
            self._parts.metrics.increment('outcomes_not_stored', error.step)


def charged_budgets(account: ClientAccount, route: Route) -> tuple[str, ...]:
    """Returns the budgets to charge, without duplicates."""
    return tuple(dict.fromkeys((*account.budgets, *route.budgets)))


def _mark_as_run(refusal: Refusal) -> Refusal:
    return dataclasses.replace(refusal, not_run=False)


def _settlement_failed(error: PlatformError) -> Refusal:
    return Refusal(
        code=RefusalCode.BUDGET_UNAVAILABLE,
        message='The bill could not be settled; ask again with the key.',
        not_run=False,
        step=error.step,
        peer=error.peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )
