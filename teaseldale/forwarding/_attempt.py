"""One attempt to run a request on one runner."""

import functools
from collections.abc import Callable

import attrs

from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.forwarding._node import Address
from teaseldale.forwarding._pace_sample import PaceSample
from teaseldale.forwarding._runner_selection import SelectedRunner
from teaseldale.forwarding._wire import (
    ClientRequest,
    Dispatch,
    RunnerReply,
)
from teaseldale.routing import PlacedWork, PlannedWork
from teaseldale.upstreams import (
    FailureKind,
    RunnerAnswer,
    RunnerMessage,
    UpstreamError,
    WireHeaders,
)

_FIRST_FAILURE_STATUS = 500


@attrs.frozen(kw_only=True)
class NotRun:
    """The runner definitely did not run the request."""

    reason: str
    has_arrived: bool  # whether a runner received the request
    is_misdirected: bool = False  # whether another runner has the address


@attrs.frozen(kw_only=True)
class BrokeOff:
    """The runner may have run the request but did not answer fully."""

    reason: str
    is_connection_lost: bool  # False if the runner was silent


@attrs.frozen(kw_only=True)
class Replied:
    """The runner's answer head was received; its body may follow."""

    answer: RunnerAnswer
    reply: RunnerReply


class WithheldError(Exception):
    """A request may no longer be sent to the runner selected for it."""

    def __init__(self, reason: str) -> None:
        """Stores the reason, which is also the label of a counter."""
        super().__init__(reason)
        self.reason = reason


class Attempt:
    """Sends a request to a runner and accounts for it in the backlog."""

    def __init__(
        self,
        *,
        parts: ForwardingDependencies,
        selected: SelectedRunner,
        work: PlannedWork,
        route: str,
    ) -> None:
        """Adds the request to the runner's backlog immediately."""
        runner = selected.runner
        self._parts = parts
        self._sent_ms = parts.clock.monotonic_ms()
        self._evidence = parts.moves.begin_attempt(runner, route=route)
        self.runner = runner
        self._permit = selected.permit
        backlog = parts.choice.backlog(runner.runner_id, runner.slot_count)
        self._placed: PlacedWork = parts.choice.place(work, backlog)
        self._pace_sample = PaceSample(
            runner=runner,
            choice=parts.choice,
            reports=parts.pace_reports,
            metrics=parts.metrics,
        )
        self._pace_sample.note_placed(
            work,
            self._placed,
            backlog,
            self._sent_ms,
        )
        parts.part_directory.note_placed(work, runner.runner_id)
        self._has_read = False
        self._answer_began_ms: int | None = None  # monotonic
        self._has_ended = False

    async def send(
        self,
        request: ClientRequest,
        body: bytes,
        *,
        dispatch: Callable[[], Dispatch],
        timeout_ms: float,
    ) -> NotRun | BrokeOff | Replied:
        """Sends the request and waits for the answer's head.

        ``dispatch`` is called right before the request is written.
        """
        connections = self._parts.connections.pool_for(self.runner)
        try:
            answer = await connections.send(
                functools.partial(self._prepare, request, body, dispatch),
                belongs=functools.partial(self._belongs, request),
                timeout_ms=timeout_ms,
            )
        except WithheldError as error:
            self._parts.metrics.increment('requests_withheld', error.reason)
            return NotRun(reason=error.reason, has_arrived=False)
        except UpstreamError as error:
            return self._outcome_of_error(error)
        if answer.is_kept and not self._parts.wire.names_request(
            answer.headers,
        ):
            # It may be an earlier answer once more.
            answer.discard()
            self._parts.metrics.increment('answers_without_id')
            self._note_outcome(has_failed=True)
            return BrokeOff(
                reason=f'status {answer.status} for an unnamed request',
                is_connection_lost=False,
            )
        reply = self._parts.wire.read_reply(answer.status, answer.headers)
        if reply.is_misdirected:
            self._parts.choice.mark_unreachable(self.runner.runner_id)
        else:
            self._note_load(reply)
            self._note_announcement(reply)
            now_ms = self._parts.clock.monotonic_ms()
            self._pace_sample.note_reply(reply, now_ms)
        if reply.is_not_run:
            if not reply.is_misdirected:
                self._parts.announcements.note_rejection(self.runner)
                self._parts.overload.note_rejection(self.runner.service)
            answer.release()
            return NotRun(
                reason=f'status {reply.status}',
                has_arrived=True,
                is_misdirected=reply.is_misdirected,
            )
        # A runner that asks for a pause has not failed.
        has_paused = reply.announcement.pause_ms is not None
        is_failure = reply.status >= _FIRST_FAILURE_STATUS
        self._note_outcome(has_failed=is_failure and not has_paused)
        return Replied(answer=answer, reply=reply)

    @property
    def running_ms(self) -> int:
        """Returns the time since the attempt started."""
        return self._parts.clock.monotonic_ms() - self._sent_ms

    @property
    def answering_ms(self) -> int | None:
        """Returns the time since the first output, or None without any."""
        if self._answer_began_ms is None:
            return None
        return self._parts.clock.monotonic_ms() - self._answer_began_ms

    @property
    def has_output(self) -> bool:
        """Returns whether the runner has sent an event of its stream."""
        return self._has_read

    @property
    def fetch_from(self) -> Address | None:
        """Returns the address of a runner with more of the prompt cached."""
        source_id = self._placed.fetch_from
        if source_id is None:
            return None
        source = self._parts.directory.find(source_id)
        if source is None or self._parts.announcements.find_objection(source):
            return None
        if self._parts.limits.is_limited(source.incarnation_name):
            return None
        return source.address

    def note_first_output(self) -> None:
        """Records that the runner has read the prompt; idempotent."""
        if not self._has_read:
            self._has_read = True
            self._parts.choice.mark_prefilled(self._placed)

    def note_head(self) -> None:
        """Records the head of an answer that is not an event stream."""
        self._note_answer()
        self._pace_sample.note_plain_answer(self._parts.clock.monotonic_ms())
        if self._evidence is not None:
            self._evidence.note_output(0)

    def note_events(self, event_count: int) -> None:
        """Records events of a stream."""
        self.note_first_output()
        self._note_answer()
        self._pace_sample.note_first_event(self._parts.clock.monotonic_ms())
        if self._evidence is not None:
            self._evidence.note_output(event_count)

    def note_complete(self) -> None:
        """Records that the caller has the complete answer."""
        if self._evidence is not None:
            self._evidence.complete()

    def end(self) -> None:
        """Removes the request from the runner's backlog; idempotent."""
        if not self._has_ended:
            self._has_ended = True
            if self._evidence is not None:
                self._evidence.abandon()
            self.note_first_output()
            self._parts.choice.mark_completed(self._placed)
            self._parts.permits.release(self._permit)
            if self._answer_began_ms is not None:
                self._parts.overload.note_end(
                    self.runner.service,
                    self.running_ms,
                )

    def note_broken_answer(self) -> None:
        """Records that the answer ended before it was complete."""
        self._note_outcome(has_failed=True)

    def _prepare(
        self,
        request: ClientRequest,
        body: bytes,
        dispatch: Callable[[], Dispatch],
    ) -> RunnerMessage:
        """Returns the message to the runner.

        Raises ``WithheldError`` if it may no longer be sent: the request may
        have waited for a permit, a connection or the event loop since its
        runner was selected.
        """
        dispatched = dispatch()
        if dispatched.left_ms <= 0:
            raise WithheldError('time_over')
        objection = self._parts.announcements.find_objection(self.runner)
        if objection is not None:
            raise WithheldError(objection)
        name = self.runner.incarnation_name
        if self._parts.limits.cold.is_cold(name) and not (
            self._permit.is_scheduled
        ):
            # The runner was warm when it was selected.
            raise WithheldError('runner_cold')
        self._pace_sample.note_sent(
            self._parts.clock.monotonic_ms(),
            is_resumed=dispatched.last_event_id is not None,
        )
        return RunnerMessage(
            method=request.method,
            target=request.target,
            headers=self._parts.wire.runner_headers(request, dispatched),
            body=body,
            request_id=request.request_id,
        )

    def _belongs(
        self,
        request: ClientRequest,
        status: int,
        headers: WireHeaders,
    ) -> bool:
        """Returns whether an answer is the request's.

        An answer to another request still says what its runner announces.
        """
        is_own = self._parts.wire.answers(request, status, headers)
        if not is_own:
            reply = self._parts.wire.read_reply(status, headers)
            if not reply.is_misdirected:
                self._note_announcement(reply)
        return is_own

    def _note_announcement(self, reply: RunnerReply) -> None:
        self._parts.announcements.note_answer(
            self.runner,
            reply.announcement,
        )

    def _note_answer(self) -> None:
        if self._answer_began_ms is None:
            self._answer_began_ms = self._parts.clock.monotonic_ms()

    def _note_outcome(self, *, has_failed: bool) -> None:
        self._parts.choice.note_outcome(
            self.runner.runner_id,
            has_failed=has_failed,
        )
        if has_failed and self._evidence is not None:
            self._evidence.fail()

    def _outcome_of_error(self, error: UpstreamError) -> NotRun | BrokeOff:
        if error.may_have_run:
            self._note_outcome(has_failed=True)
            return BrokeOff(
                reason=f'{error.kind}: {error.reason}',
                is_connection_lost=error.kind is FailureKind.BROKEN,
            )
        self._parts.choice.mark_unreachable(self.runner.runner_id)
        return NotRun(reason=error.reason, has_arrived=False)

    def _note_load(self, reply: RunnerReply) -> None:
        if reply.load is not None:
            self._parts.choice.note_report(
                self._placed.runner,
                request_count=(
                    reply.load.running_count + reply.load.waiting_count
                ),
                slot_count=reply.load.slot_count,
            )
            self._parts.rooms.note_load(
                self.runner.incarnation_name,
                running_count=reply.load.running_count,
                waiting_count=reply.load.waiting_count,
                slot_count=reply.load.slot_count,
            )
