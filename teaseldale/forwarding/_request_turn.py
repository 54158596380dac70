"""Turn of one request while the runners of its service are short."""

from collections.abc import Callable

import anyio

from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._caller_answer import CallerAnswer
from teaseldale.forwarding._capacity_refusals import (
    runners_full,
)
from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.outcomes import Refusal
from teaseldale.routing import (
    OverloadAction,
    OverloadDecision,
    OverloadReason,
    OverloadRequest,
    PlannedWork,
    RunnerBacklog,
    WaitingTurn,
)

_MS_PER_SECOND = 1000


class RequestTurn:
    """Waits until a request may be placed at a runner, or is refused."""

    def __init__(
        self,
        *,
        parts: ForwardingDependencies,
        admitted: AdmittedRequest,
        work: PlannedWork,
        answer: CallerAnswer,
    ) -> None:
        """Starts without a turn."""
        self._answer = answer
        self._parts = parts
        self._admitted = admitted
        self._work = work
        # Admission keeps it longer than the request, so it holds no request.
        self._views = _views_of(parts, admitted.service)
        self._turn: WaitingTurn | None = None
        self._settled = anyio.Event()
        self.waited_ms = 0  # for all turns
        self.refusal: Refusal | None = None

    async def take(self) -> Refusal | None:
        """Waits for a turn unless there is one; returns a refusal or None.

        The refusal is also kept as ``refusal``. Streams that have begun, routes
        without an objective and services without runners need no turn.
        """
        if self._turn is not None or self._needs_none:
            return None
        clock = self._parts.clock
        started_ms = clock.monotonic_ms()
        try:
            decision = await self._await_decision()
        except BaseException:
            self.end()
            raise
        finally:
            self.waited_ms += clock.monotonic_ms() - started_ms
        if decision.action is OverloadAction.START:
            return None
        self._turn = None
        reason = decision.reason or OverloadReason.WAITED
        self.refusal = runners_full(
            self._admitted.service,
            reason,
            decision.wait_ms,
        )
        return self.refusal

    def end(self) -> None:
        """Ends the turn: its request is placed or given up; idempotent."""
        turn = self._turn
        self._turn = None
        if turn is not None:
            self._parts.overload.cancel(turn)

    @property
    def _needs_none(self) -> bool:
        return (
            self._answer.has_started
            or self._admitted.request.last_event_id is not None
            or self._admitted.route.objective_ms <= 0
            or not self._has_varying_runners
        )

    @property
    def _has_varying_runners(self) -> bool:
        """Returns whether runners of the service say how long work takes.

        Services of other runners are served without turns, as their runners
        take what they have slots and queues for.
        """
        names = [backlog.runner for backlog in self._views()]
        return bool(names) and self._parts.choice.paces.applies_to(names)

    async def _await_decision(self) -> OverloadDecision:
        overload = self._parts.overload
        self._settled = anyio.Event()
        turn, decision = overload.decide(
            self._request(),
            self._views,
            self._settled.set,
        )
        self._turn = turn
        while decision.action is OverloadAction.WAIT:
            with anyio.move_on_after(decision.wait_ms / _MS_PER_SECOND):
                await self._settled.wait()
            decision = overload.check(turn)
        return decision

    def _request(self) -> OverloadRequest:
        admitted = self._admitted
        account = admitted.account
        return OverloadRequest(
            pool=admitted.service,
            route=admitted.route.name,
            account='' if account is None else account.name,
            rank=admitted.priority,
            work=self._work,
            goal_ms=admitted.route.objective_ms,
            arrival_ms=admitted.arrival_ms,
            deadline_at_ms=admitted.deadline_at_ms,
        )


def _views_of(
    parts: ForwardingDependencies,
    service: str,
) -> Callable[[], tuple[RunnerBacklog, ...]]:
    """Returns a function that returns the backlogs of a service's runners."""

    def views() -> tuple[RunnerBacklog, ...]:  # noqa: WPS430
        return tuple(
            parts.choice.backlog(runner.runner_id, runner.slot_count)
            for runner in parts.directory.usable(service)
            if not parts.announcements.paused_for_ms(runner)
        )

    return views
