"""Running of one completion: reserve, place, dispatch, stream, settle."""

import functools

import attrs

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.budgets import Reservation
from teaseldale.entry._lifecycle import (
    RequestLifecycle,
    WorkOutcome,
    charged_budgets,
)
from teaseldale.entry._parts import RequestParts
from teaseldale.moves import EvidenceSample
from teaseldale.notes import ClientAccount, Route
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.requests import OpenedRequest
from teaseldale.routing import Placement, RoutingRequest
from teaseldale.upstreams import (
    EngineCall,
    EngineFinished,
    UpstreamError,
    UpstreamRejectedError,
)

_ATTEMPTS = 3
_PROGRESS_TIMEOUT_MS = 10_000
_STATUS_OK = 200
_RETRY_AFTER_MS = 500


@attrs.frozen(kw_only=True)
class CompletionJob:
    """A completion that this VM has been told to run."""

    opened: OpenedRequest
    account: ClientAccount
    route: Route
    engine_body: bytes
    prompt: str  # for prefix affinity
    prompt_bound_tokens: int  # upper bound of the prompt's length
    output_limit_tokens: int
    priority: int
    deadline_ms: int  # monotonic


class CompletionRunner:
    """Runs completions; each answer is written to its request's log."""

    def __init__(self, *, parts: RequestParts) -> None:
        """Uses the given parts."""
        self._parts = parts
        self._lifecycle = RequestLifecycle(parts=parts)

    async def run(self, job: CompletionJob) -> None:
        """Runs a job to its end; the outcome is in the answer log."""
        await self._lifecycle.run(
            job.opened,
            budgets=charged_budgets(job.account, job.route),
            tokens=job.prompt_bound_tokens + job.output_limit_tokens,
            work=functools.partial(self._try_upstreams, job),
        )

    async def _try_upstreams(
        self,
        job: CompletionJob,
        reserved: Reservation,
    ) -> WorkOutcome:
        excluded: frozenset[str] = frozenset()
        version = self._parts.versions.version_for(
            job.route,
            job.opened.request,
        )
        last: Refusal | None = None
        for _ in range(_ATTEMPTS):
            placed = await self._parts.router.place(
                _routing_request(job, version, excluded),
            )
            if isinstance(placed, Refusal):
                return WorkOutcome(answer=_keep_run(last, placed))
            outcome = await self._run_at(job, reserved, placed)
            if not isinstance(outcome, Refusal):
                return _whole(job, outcome)
            last = _keep_run(last, outcome)
            if outcome.code is RefusalCode.BAD_REQUEST:
                break
            excluded |= {placed.upstream.name}
            self._parts.metrics.increment('retries', outcome.code)
        return WorkOutcome(answer=last or _no_attempt())

    async def _run_at(
        self,
        job: CompletionJob,
        reserved: Reservation,
        placed: Placement,
    ) -> EngineFinished | Refusal:
        refused = await self._parts.registry.record_dispatch(
            job.opened,
            upstream=placed.upstream.name,
            reserved_tokens=reserved.tokens,
        )
        if refused is not None:
            self._parts.router.release(placed, failed=False)
            return refused
        started_ms = self._parts.clock.monotonic_ms()
        outcome: EngineFinished | Refusal
        try:
            outcome = await self._stream(job, placed)
        except UpstreamError as error:
            outcome = _upstream_failed(error)
        failed = isinstance(outcome, Refusal)
        self._parts.router.release(placed, failed=failed)
        self._parts.versions.record(
            EvidenceSample(
                route=job.route.name,
                version=placed.upstream.version,
                failed=failed,
                first_token_ms=self._parts.clock.monotonic_ms() - started_ms,
                largest_gap_ms=None,
            ),
        )
        return outcome

    async def _stream(
        self,
        job: CompletionJob,
        placed: Placement,
    ) -> EngineFinished:
        answer = job.opened.answer
        call = EngineCall(
            request_id=job.opened.request.text,
            body=job.engine_body,
            offset=answer.output_tokens,
            progress_timeout_ms=_PROGRESS_TIMEOUT_MS,
        )
        async with self._parts.engines.stream(placed.upstream, call) as events:
            async for event in events:
                if isinstance(event, EngineFinished):
                    return event
                total = event.offset + event.token_count
                if total > job.output_limit_tokens:
                    return _cut(job, answer)
                answer.append(event)
        raise UpstreamError(
            step=Step.STREAM,
            peer=placed.upstream.name,
            reason='the stream ended without usage',
            may_have_run=True,
        )


def _whole(job: CompletionJob, finished: EngineFinished) -> WorkOutcome:
    text = ''.join(part.text for part in job.opened.answer.parts)
    stored = StoredAnswer(
        status=_STATUS_OK,
        body=text.encode(),
        content_type='text/plain',
        prompt_tokens=finished.prompt_tokens,
        output_tokens=finished.output_tokens,
        finish_reason=finished.finish_reason,
    )
    return WorkOutcome(answer=stored, used_tokens=stored.used_tokens)


def _routing_request(
    job: CompletionJob,
    version: str,
    excluded: frozenset[str],
) -> RoutingRequest:
    return RoutingRequest(
        route=job.route.name,
        version=version,
        prompt=job.prompt,
        priority=job.priority,
        deadline_ms=job.deadline_ms,
        excluded=excluded,
    )


def _keep_run(earlier: Refusal | None, later: Refusal) -> Refusal:
    if earlier is not None and not earlier.not_run:
        return earlier
    return later


def _cut(job: CompletionJob, answer: AnswerLog) -> EngineFinished:
    return EngineFinished(
        prompt_tokens=job.prompt_bound_tokens,
        output_tokens=answer.output_tokens,
        finish_reason='length',
    )


def _upstream_failed(error: UpstreamError) -> Refusal:
    if isinstance(error, UpstreamRejectedError):
        return Refusal(
            code=RefusalCode.BAD_REQUEST,
            message='The engine cannot run this prompt; shorten or mend it.',
            not_run=True,
            step=error.step,
            peer=error.peer,
        )
    return Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message='The upstream failed; send the request again with its key.',
        not_run=not error.may_have_run,
        step=error.step,
        peer=error.peer,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _no_attempt() -> Refusal:
    return Refusal(
        code=RefusalCode.NO_UPSTREAM,
        message='No upstream was tried; ask again later.',
        not_run=True,
        step=Step.CHOOSE_UPSTREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )
