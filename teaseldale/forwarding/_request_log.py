"""Log lines and counters of requests."""

from teaseldale.clock import BaseClock
from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._caller_answer import CallerAnswer, CutReason
from teaseldale.forwarding._request_run import RequestRun
from teaseldale.forwarding._wire import ClientRequest
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.upstreams import BodyFraming

_FIRST_FAILURE_STATUS = 400


class RequestLog:
    """Logs and counts the outcome of each request."""

    def __init__(self, *, clock: BaseClock, metrics: Metrics) -> None:
        """Increments counters and histograms in ``metrics``."""
        self._clock = clock
        self._metrics = metrics
        self._log = StateLog(channel='requests')

    def log_outcome(
        self,
        admitted: AdmittedRequest,
        run: RequestRun,
        answer: CallerAnswer,
    ) -> None:
        """Logs the outcome of an admitted request."""
        now_ms = self._clock.monotonic_ms()
        duration_ms = now_ms - admitted.arrival_ms
        self._metrics.record_ms('request', duration_ms)
        self._metrics.increment('answers', str(answer.status))
        record = run.record
        if record.first_event_ms is not None:
            self._metrics.record_ms('first_event', record.first_event_ms)
        refusal = answer.refusal
        if refusal is not None:
            self._metrics.increment('refusals', refusal.code)
        # Nothing but an examination tells an answer that ends with its
        # connection from a truncated one, so its line is kept.
        is_unmarked = record.answer_framing == BodyFraming.CONNECTION
        is_routine = _is_served(answer) and not is_unmarked
        write = self._log.routine if is_routine else self._log.changed
        write(
            'request_ended',
            request=admitted.request.request_id,
            route=admitted.route.name,
            service=admitted.service,
            account='' if admitted.account is None else admitted.account.name,
            configuration=admitted.configuration_version,
            status=answer.status,
            refusal='' if refusal is None else refusal.code,
            cut=answer.cut_reason,
            runners=record.runners,
            dispatched_ms=record.dispatched_ms,
            reasons=record.reasons,
            fingerprint=record.fingerprint,
            answer_framing=record.answer_framing,
            answer_end=record.answer_end,
            is_relayed=record.is_relayed,
            partial_event_bytes=record.partial_event_bytes,
            may_have_run=record.may_have_run,
            reserved_tokens=record.reserved_tokens,
            used_tokens=record.used_tokens,
            first_event_ms=record.first_event_ms,
            longest_gap_ms=record.longest_gap_ms,
            turn_wait_ms=run.turn.waited_ms,
            duration_ms=duration_ms,
            left_ms=int(admitted.deadline_at_ms - now_ms),
        )

    def log_refusal(
        self,
        request: ClientRequest | None,
        refusal: Refusal,
    ) -> None:
        """Logs a request that was not admitted."""
        self._metrics.increment('refusals', refusal.code)
        self._log.changed(
            'request_refused',
            request='' if request is None else request.request_id,
            host='' if request is None else request.host,
            path='' if request is None else request.path,
            refusal=refusal.code,
            text=refusal.message,
        )

    def log_failure(self, admitted: AdmittedRequest, error: Exception) -> None:
        """Logs an internal error that ended a request."""
        self._metrics.increment('runs_failed', type(error).__name__)
        self._log.changed(
            'run_failed',
            request=admitted.request.request_id,
            reason=type(error).__name__,
            text=str(error),
        )


def _is_served(answer: CallerAnswer) -> bool:
    is_success = 0 < answer.status < _FIRST_FAILURE_STATUS
    return is_success and answer.cut_reason is CutReason.NONE
