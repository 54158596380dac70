"""Execution of completions: reserve, place, dispatch, stream, settle."""

import functools
import weakref

import anyio
import attrs

from teaseldale.answers import AnswerLog, AnswerReservation, StoredAnswer
from teaseldale.budgets import Reservation
from teaseldale.entry._attempts import (
    AttemptOutcome,
    AttemptPlacer,
    Attempts,
)
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._engine_stream import (
    EngineStream,
    StreamBounds,
    StreamEnd,
)
from teaseldale.entry._evidence import RunEvidence
from teaseldale.entry._lifecycle import (
    RequestLifecycle,
    WorkOutcome,
    charged_budgets,
)
from teaseldale.entry._upstream_refusals import memory_full, upstream_failed
from teaseldale.notes import ClientAccount, Route
from teaseldale.outcomes import Refusal
from teaseldale.requests import OpenedRequest
from teaseldale.routing import Placement, RoutingRequest
from teaseldale.upstreams import (
    EngineCall,
    EngineFinished,
    FailureKind,
    UpstreamError,
    fingerprint_of,
)

_PROGRESS_TIMEOUT_MS = 4000
_STATUS_OK = 200
_TRIAL_PROOF_MS = 500  # streaming time after which a trial counts as passed


@attrs.frozen(kw_only=True)
class CompletionJob:
    """A completion that this VM has to run."""

    opened: OpenedRequest
    account: ClientAccount
    route: Route
    engine_body: bytes
    prompt: str  # used for prefix affinity
    prompt_bound_tokens: int  # upper bound of the prompt's length
    output_limit_tokens: int
    priority: int
    deadline_ms: int  # monotonic clock


@attrs.frozen(kw_only=True)
class _Run:
    """A job and the state that its attempts share."""

    job: CompletionJob
    reservation: Reservation
    version: str
    attempts: Attempts
    answer_reservation: AnswerReservation

    @property
    def answer(self) -> AnswerLog:
        """Answer log that the run writes to."""
        return self.job.opened.answer


class CompletionRunner:
    """Runs completions and writes their output to the answer logs."""

    def __init__(self, *, parts: RequestDependencies) -> None:
        """Creates a runner that uses the services in ``parts``."""
        self._parts = parts
        self._lifecycle = RequestLifecycle(parts=parts)
        self._placer = AttemptPlacer(parts=parts)

    async def run(self, job: CompletionJob) -> None:
        """Runs a job until its answer log is complete or has failed."""
        await self._lifecycle.run(
            job.opened,
            budgets=charged_budgets(job.account, job.route),
            tokens=job.prompt_bound_tokens + job.output_limit_tokens,
            work=functools.partial(self._try_upstreams, job),
        )

    async def _try_upstreams(
        self,
        job: CompletionJob,
        reservation: Reservation,
    ) -> WorkOutcome:
        answer_reservation = self._reserve_memory(job)
        if answer_reservation is None:
            return WorkOutcome(answer=memory_full())
        version = self._parts.versions.version_for(
            job.route,
            job.opened.request,
        )
        run = _Run(
            job=job,
            reservation=reservation,
            version=version,
            attempts=Attempts(
                route=job.route,
                fingerprint=fingerprint_of(job.route.name, job.engine_body),
            ),
            answer_reservation=answer_reservation,
        )
        while True:
            run = self._with_allowed_version(run)
            outcome = await self._attempt(run)
            if isinstance(outcome, WorkOutcome):
                return outcome

    def _reserve_memory(self, job: CompletionJob) -> AnswerReservation | None:
        memory = self._parts.answer_memory
        answer_reservation = memory.reserve(job.output_limit_tokens)
        if answer_reservation is not None:
            # Readers and stores keep the answer after the run has ended.
            weakref.finalize(
                job.opened.answer, memory.release, answer_reservation
            )
        return answer_reservation

    def _with_allowed_version(self, run: _Run) -> _Run:
        """Switches to the route's version if the run's was rolled back."""
        route = run.job.route
        if run.answer.output_tokens or run.version == route.version:
            return run
        if self._parts.versions.allows(route.name, run.version):
            return run
        self._parts.metrics.increment('versions_changed', 'taken_back')
        return attrs.evolve(run, version=route.version)

    async def _attempt(self, run: _Run) -> WorkOutcome | None:
        placement = await self._placer.place(
            _routing_request(run), run.attempts
        )
        if isinstance(placement, Refusal):
            return _refused_outcome(run, placement)
        if self._with_allowed_version(run) is not run:
            self._parts.router.release(placement, failed=False)
            await self._placer.end_trial(run.attempts)
            return None
        outcome = await self._run_at(run, placement)
        await self._placer.end_trial(run.attempts)
        if isinstance(outcome, EngineFinished):
            await self._placer.note_success(run.attempts)
            return _completed_outcome(run, outcome)
        if isinstance(outcome, Refusal):
            return self._after_failure(run, placement, outcome)
        self._parts.metrics.increment('streams_resumed', 'reader_slow')
        await run.answer.wait_for_room()
        return None

    def _after_failure(
        self,
        run: _Run,
        placement: Placement,
        refusal: Refusal,
    ) -> WorkOutcome | None:
        run.attempts.note_failure(refusal, placement.upstream.name)
        if self._placer.may_retry(run.attempts, refusal):
            return None
        return _refused_outcome(run, run.attempts.last_refusal or refusal)

    async def _run_at(
        self,
        run: _Run,
        placement: Placement,
    ) -> EngineFinished | StreamEnd | Refusal:
        with self._placer.releasing(placement) as outcome:
            refused = await self._parts.registry.record_dispatch(
                run.job.opened,
                upstream=placement.upstream.name,
                reserved_tokens=run.reservation.tokens,
            )
            if refused is not None:
                return refused
            try:
                return await self._stream(run, placement, outcome)
            except UpstreamError as error:
                failure = error
        await self._placer.note_error(failure, placement, run.attempts)
        if failure.kind is FailureKind.SILENT:
            await self._parts.engines.cancel(
                placement.upstream,
                run.job.opened.request.text,
            )
        return upstream_failed(failure, repeatable=True)

    async def _stream(
        self,
        run: _Run,
        placement: Placement,
        outcome: AttemptOutcome,
    ) -> EngineFinished | StreamEnd:
        evidence = RunEvidence(
            versions=self._parts.versions,
            clock=self._parts.clock,
            route=run.job.route.name,
            version=placement.upstream.version,
        )
        stream = EngineStream(
            parts=self._parts,
            answer=run.answer,
            bounds=StreamBounds(
                output_limit_tokens=run.job.output_limit_tokens,
                answer_reservation=run.answer_reservation,
            ),
            evidence=evidence,
        )
        result: EngineFinished | StreamEnd | UpstreamError
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(evidence.watch)
            tasks.start_soon(self._end_trial_early, run, evidence)
            try:
                result = await stream.read(placement.upstream, _call(run))
            except UpstreamError as error:
                result = error
            tasks.cancel_scope.cancel()
        failed = isinstance(result, UpstreamError)
        evidence.end(failed=failed)
        if isinstance(result, UpstreamError):
            outcome.blame(result)
            raise result
        return result

    async def _end_trial_early(self, run: _Run, evidence: RunEvidence) -> None:
        if run.attempts.holds_trial:
            await evidence.first_token.wait()
            await self._parts.clock.sleep_ms(_TRIAL_PROOF_MS)
            await self._placer.end_trial(run.attempts)


def _call(run: _Run) -> EngineCall:
    return EngineCall(
        request_id=run.job.opened.request.text,
        body=run.job.engine_body,
        offset=run.answer.output_tokens,
        progress_timeout_ms=_PROGRESS_TIMEOUT_MS,
        fresh_connection=run.attempts.fresh_connection,
    )


def _completed_outcome(run: _Run, finished: EngineFinished) -> WorkOutcome:
    truncated = finished.prompt_tokens == 0
    stored = StoredAnswer(
        status=_STATUS_OK,
        body=run.answer.text(),
        content_type='text/plain',
        prompt_tokens=(
            run.job.prompt_bound_tokens if truncated else finished.prompt_tokens
        ),
        output_tokens=finished.output_tokens,
        finish_reason=finished.finish_reason,
    )
    return WorkOutcome(answer=stored, used_tokens=stored.used_tokens)


def _routing_request(run: _Run) -> RoutingRequest:
    return RoutingRequest(
        route=run.job.route.name,
        version=run.version,
        prompt=run.job.prompt,
        priority=run.job.priority,
        deadline_ms=run.job.deadline_ms,
        client_account=run.job.account.name,
        resumed=bool(run.answer.output_tokens),
    )


def _refused_outcome(run: _Run, refusal: Refusal) -> WorkOutcome:
    return WorkOutcome(answer=refusal)
