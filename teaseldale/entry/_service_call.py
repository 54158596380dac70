"""Running of one call to a plain service."""

import functools

import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.budgets import Reservation
from teaseldale.entry._lifecycle import (
    RequestLifecycle,
    WorkOutcome,
    charged_budgets,
)
from teaseldale.entry._parts import RequestParts
from teaseldale.notes import ClientAccount, Route, Upstream
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.requests import OpenedRequest
from teaseldale.routing import Placement, RoutingRequest
from teaseldale.upstreams import ServiceAnswer, ServiceCall, UpstreamError

_ATTEMPTS = 3
_RETRY_AFTER_MS = 500


@attrs.frozen(kw_only=True)
class ServiceJob:
    """A service call that this VM has been told to run."""

    opened: OpenedRequest
    account: ClientAccount
    route: Route
    call: ServiceCall
    priority: int
    deadline_ms: int  # monotonic


class ServiceRunner:
    """Runs calls of plain services; the answer goes to the answer log."""

    def __init__(self, *, parts: RequestParts) -> None:
        """Uses the given parts."""
        self._parts = parts
        self._lifecycle = RequestLifecycle(parts=parts)

    async def run(self, job: ServiceJob) -> None:
        """Runs a job to its end; the outcome is in the answer log."""
        await self._lifecycle.run(
            job.opened,
            budgets=charged_budgets(job.account, job.route),
            tokens=job.route.tokens_per_call,
            work=functools.partial(self._dispatch, job),
        )

    async def _dispatch(
        self,
        job: ServiceJob,
        reserved: Reservation,
    ) -> WorkOutcome:
        excluded: frozenset[str] = frozenset()
        outcome: StoredAnswer | Refusal = _no_attempt()
        for _ in range(_ATTEMPTS):
            placed = await self._parts.router.place(
                _routing_request(job, excluded),
            )
            if isinstance(placed, Refusal):
                return _priced(_worse(outcome, placed), reserved.tokens)
            outcome = await self._call_at(job, reserved, placed)
            if not _may_repeat(job, outcome):
                break
            excluded |= {placed.upstream.name}
        return _priced(outcome, reserved.tokens)

    async def _call_at(
        self,
        job: ServiceJob,
        reserved: Reservation,
        placed: Placement,
    ) -> StoredAnswer | Refusal:
        failed = True
        try:
            outcome = await self._recorded_call(job, reserved, placed.upstream)
            failed = isinstance(outcome, Refusal)
        finally:
            self._parts.router.release(placed, failed=failed)
        if isinstance(outcome, Refusal):
            self._parts.metrics.increment('retries', outcome.code)
        return outcome

    async def _recorded_call(
        self,
        job: ServiceJob,
        reserved: Reservation,
        upstream: Upstream,
    ) -> StoredAnswer | Refusal:
        refused = await self._parts.registry.record_dispatch(
            job.opened,
            upstream=upstream.name,
            reserved_tokens=reserved.tokens,
        )
        if refused is not None:
            return refused
        try:
            answer = await self._parts.services.call(upstream, job.call)
        except UpstreamError as error:
            return _failed(error, repeatable=job.opened.repeatable)
        return _stored(answer, job.route.tokens_per_call)


def _may_repeat(job: ServiceJob, outcome: StoredAnswer | Refusal) -> bool:
    if not isinstance(outcome, Refusal):
        return False
    if outcome.code is not RefusalCode.UPSTREAM_FAILED:
        return False
    return outcome.not_run or job.opened.repeatable


def _worse(
    earlier: StoredAnswer | Refusal,
    later: Refusal,
) -> StoredAnswer | Refusal:
    if isinstance(earlier, Refusal) and earlier.not_run:
        return later
    return earlier


def _no_attempt() -> Refusal:
    return Refusal(
        code=RefusalCode.NO_UPSTREAM,
        message='No upstream was tried; ask again later.',
        not_run=True,
        step=Step.CHOOSE_UPSTREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _priced(outcome: StoredAnswer | Refusal, tokens: int) -> WorkOutcome:
    not_run = isinstance(outcome, Refusal) and outcome.not_run
    return WorkOutcome(answer=outcome, used_tokens=0 if not_run else tokens)


def _routing_request(
    job: ServiceJob,
    excluded: frozenset[str],
) -> RoutingRequest:
    return RoutingRequest(
        route=job.route.name,
        version=job.route.version,
        prompt='',
        priority=job.priority,
        deadline_ms=job.deadline_ms,
        excluded=excluded,
    )


def _stored(answer: ServiceAnswer, used_tokens: int) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        prompt_tokens=0,
        output_tokens=used_tokens,
    )


def _failed(error: UpstreamError, *, repeatable: bool) -> Refusal:
    in_doubt = error.may_have_run and not repeatable
    return Refusal(
        code=RefusalCode.IN_DOUBT if in_doubt else RefusalCode.UPSTREAM_FAILED,
        message=f'The service did not answer: {error.reason}.',
        not_run=not error.may_have_run,
        step=error.step,
        peer=error.peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )
