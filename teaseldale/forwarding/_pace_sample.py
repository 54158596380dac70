"""What one attempt tells about the pace of its runner."""

from teaseldale.forwarding._pace_reports import PaceReports
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.forwarding._wire import RunnerReply
from teaseldale.metrics import Metrics
from teaseldale.routing import (
    BacklogChoice,
    PlacedWork,
    PlannedWork,
    RunnerBacklog,
)

_MIN_ANSWER_STATUS = 200
_MAX_ANSWER_STATUS = 399


class PaceSample:
    """Measures an attempt from its send to the beginning of its answer."""

    def __init__(
        self,
        *,
        runner: ForwardingRunner,
        choice: BacklogChoice,
        reports: PaceReports,
        metrics: Metrics,
    ) -> None:
        """Adds what is measured to the paces of ``choice``."""
        self._runner = runner
        self._paces = choice.paces
        self._reports = reports
        self._metrics = metrics
        self._has_prompt = False
        self._unread_tokens = 0
        self._in_work = 1
        self._sent_ms: int | None = None  # None if nothing is measured

    def note_placed(
        self,
        work: PlannedWork,
        placed: PlacedWork,
        backlog: RunnerBacklog,
        now_ms: int,
    ) -> None:
        """Records the work at the runner, that of the attempt included."""
        self._has_prompt = bool(work.prompt_tokens)
        self._in_work = backlog.load_count(now_ms)
        if placed.fetch_from is None:
            self._unread_tokens = backlog.unread_tokens
            self._unread_tokens += backlog.remote_unread_tokens

    def note_sent(self, now_ms: int, *, is_resumed: bool) -> None:
        """Records the send; a resumed stream says nothing about the pace."""
        self._sent_ms = None if is_resumed else now_ms

    def note_reply(self, reply: RunnerReply, now_ms: int) -> None:
        """Records the head of an answer, with the runner's report."""
        name = self._runner.incarnation_name
        if reply.is_load_unreadable:
            self._reports.note_unreadable_load(name, self._metrics)
        has_run = _MIN_ANSWER_STATUS <= reply.status <= _MAX_ANSWER_STATUS
        if reply.is_not_run or not has_run:
            # Failures come faster than answers, and say nothing of those.
            self._sent_ms = None
        slowdown = None if reply.load is None else reply.load.slowdown
        if slowdown is not None and self._is_current():
            self._paces.note_slowdown(self._runner.runner_id, slowdown)
            self._metrics.increment('pace_samples', 'slowdown')
            self._log_pace(now_ms)

    def note_first_event(self, now_ms: int) -> None:
        """Records the first event of a stream; idempotent."""
        elapsed_ms = self._take_elapsed_ms(now_ms)
        if elapsed_ms is not None and self._unread_tokens:
            self._paces.note_first_event(
                self._runner.runner_id,
                self._unread_tokens,
                elapsed_ms,
                self._in_work,
            )
            self._metrics.increment('pace_samples', 'prefill')
            self._log_pace(now_ms)

    def note_plain_answer(self, now_ms: int) -> None:
        """Records the head of an answer that is no stream; idempotent."""
        elapsed_ms = self._take_elapsed_ms(now_ms)
        if elapsed_ms is not None and not self._has_prompt:
            self._paces.note_plain_answer(
                self._runner.runner_id,
                elapsed_ms,
                self._in_work,
            )
            self._metrics.increment('pace_samples', 'plain')
            self._log_pace(now_ms)

    def _take_elapsed_ms(self, now_ms: int) -> int | None:
        """Returns the time since the send, once and of a current runner."""
        sent_ms = self._sent_ms
        self._sent_ms = None
        if sent_ms is None or not self._is_current():
            return None
        # Shorter times than the clock's resolution count as one unit of it.
        return max(1, now_ms - sent_ms)

    def _is_current(self) -> bool:
        return self._paces.note_incarnation(
            self._runner.runner_id,
            self._runner.started_wall_ms,
        )

    def _log_pace(self, now_ms: int) -> None:
        self._reports.note_pace(
            self._runner.incarnation_name,
            self._paces.pace(self._runner.runner_id),
            now_ms=now_ms,
            metrics=self._metrics,
        )
