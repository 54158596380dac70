"""Execution of calls to plain services."""

import functools

import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.budgets import Reservation
from teaseldale.entry._attempts import AttemptPlacer, Attempts
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._lifecycle import (
    RequestLifecycle,
    WorkOutcome,
    charged_budgets,
)
from teaseldale.entry._upstream_refusals import upstream_failed
from teaseldale.notes import ClientAccount, Route
from teaseldale.outcomes import Refusal
from teaseldale.requests import OpenedRequest
from teaseldale.routing import Placement, RoutingRequest
from teaseldale.upstreams import (
    ServiceAnswer,
    ServiceCall,
    UpstreamError,
    fingerprint_of,
)

_FIRST_FAILURE_STATUS = 500


@attrs.frozen(kw_only=True)
class ServiceJob:
    """A service call that this VM has to run."""

    opened: OpenedRequest
    account: ClientAccount
    route: Route
    call: ServiceCall
    priority: int
    deadline_ms: int  # monotonic clock


class ServiceRunner:
    """Runs calls to plain services and writes the answer logs."""

    def __init__(self, *, parts: RequestDependencies) -> None:
        """Creates a runner that uses the services in ``parts``."""
        self._parts = parts
        self._lifecycle = RequestLifecycle(parts=parts)
        self._placer = AttemptPlacer(parts=parts)

    async def run(self, job: ServiceJob) -> None:
        """Runs a job until its answer log is complete or has failed."""
        await self._lifecycle.run(
            job.opened,
            budgets=charged_budgets(job.account, job.route),
            tokens=job.route.tokens_per_call,
            work=functools.partial(self._try_upstreams, job),
        )

    async def _try_upstreams(
        self,
        job: ServiceJob,
        reservation: Reservation,
    ) -> WorkOutcome:
        attempts = Attempts(
            route=job.route,
            fingerprint=_fingerprint(job),
        )
        while True:
            placement = await self._placer.place(
                _routing_request(job), attempts
            )
            if isinstance(placement, Refusal):
                return _make_outcome(placement, reservation.tokens)
            outcome = await self._run_at(job, reservation, placement, attempts)
            await self._placer.end_trial(attempts)
            if not isinstance(outcome, Refusal):
                if outcome.status < _FIRST_FAILURE_STATUS:
                    await self._placer.note_success(attempts)
                return _make_outcome(outcome, reservation.tokens)
            attempts.note_failure(outcome, placement.upstream.name)
            if not self._may_retry(job, attempts, outcome):
                return _make_outcome(
                    attempts.last_refusal or outcome, reservation.tokens
                )

    def _may_retry(
        self,
        job: ServiceJob,
        attempts: Attempts,
        refusal: Refusal,
    ) -> bool:
        if not refusal.not_run and not job.opened.repeatable:
            return False
        return self._placer.may_retry(attempts, refusal)

    async def _run_at(
        self,
        job: ServiceJob,
        reservation: Reservation,
        placement: Placement,
        attempts: Attempts,
    ) -> StoredAnswer | Refusal:
        with self._placer.releasing(placement) as outcome:
            refused = await self._parts.registry.record_dispatch(
                job.opened,
                upstream=placement.upstream.name,
                reserved_tokens=reservation.tokens,
            )
            if refused is not None:
                return refused
            call = attrs.evolve(
                job.call,
                fresh_connection=attempts.fresh_connection,
            )
            try:
                answer = await self._parts.services.call(
                    placement.upstream, call
                )
            except UpstreamError as error:
                failure = error
                outcome.blame(error)
            else:
                return _make_stored_answer(answer, job.route.tokens_per_call)
        await self._placer.note_error(failure, placement, attempts)
        return upstream_failed(failure, repeatable=job.opened.repeatable)


def _fingerprint(job: ServiceJob) -> str:
    call = job.call
    content = b'\0'.join((call.method.encode(), call.path.encode(), call.body))
    return fingerprint_of(job.route.name, content)


def _make_outcome(outcome: StoredAnswer | Refusal, tokens: int) -> WorkOutcome:
    not_run = isinstance(outcome, Refusal) and outcome.not_run
    return WorkOutcome(answer=outcome, used_tokens=0 if not_run else tokens)


def _routing_request(job: ServiceJob) -> RoutingRequest:
    return RoutingRequest(
        route=job.route.name,
        version=job.route.version,
        prompt='',
        priority=job.priority,
        deadline_ms=job.deadline_ms,
        client_account=job.account.name,
    )


def _make_stored_answer(
    answer: ServiceAnswer, used_tokens: int
) -> StoredAnswer:
    return StoredAnswer(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        prompt_tokens=0,
        output_tokens=used_tokens,
    )
