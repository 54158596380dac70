"""Selects the runner of each attempt at a request."""

import attrs

from teaseldale.forwarding._admission import AdmittedRequest
from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.routing import (
    CellChoice,
    Permit,
    PlannedWork,
    RunnerBacklog,
    StartNeed,
    need_of,
)

# Limited runners that are asked for a permit before a request is refused.
_MAX_PERMIT_REQUESTS = 2
# The same for brittle runners. Counts of other VMs may be 250 ms old, so that
# the first ones asked often have no room: with three, 8 VMs served 0.86 of what
# 9 runners can run.
_MAX_ROOM_REQUESTS = 5


@attrs.frozen(kw_only=True)
class SelectedRunner:
    """A runner and the permit to send it one request."""

    runner: ForwardingRunner
    permit: Permit  # must be released


class RunnerSelection:
    """Selects among the runners that a request has not reached yet."""

    def __init__(
        self,
        *,
        parts: ForwardingDependencies,
        admitted: AdmittedRequest,
        work: PlannedWork,
    ) -> None:
        """Selects runners of the request's service."""
        self._parts = parts
        self._admitted = admitted
        self._work = work
        self._cell_choice = CellChoice(
            choice=parts.choice,
            clock=parts.clock,
            random_source=parts.random_source,
        )
        self._tried_ids: set[str] = set()
        # Runners of an unproven version if the first attempt goes to it.
        self._unproven: tuple[ForwardingRunner, ...] = ()
        # Time until a limited or paused runner takes a request, after a failed
        # selection.
        self.limited_for_ms: float | None = None

    def begin(self) -> None:
        """Decides whether the first attempt goes to an unproven version."""
        self._unproven = self._parts.moves.select_unproven(
            self._admitted.service,
        )

    async def locate_prefix(self) -> None:
        """Asks the fleet which runner caches the prompt's shared parts.

        A runner of another cell can be the source of a fetch.
        """
        choice = self._parts.choice
        if any(
            backlog.caches_prefix(self._work) for backlog in choice.backlogs()
        ):
            return
        runner_id = await self._parts.part_directory.find(self._work)
        runner = runner_id and self._parts.directory.find(runner_id)
        if not runner:
            return
        choice.backlog(runner.runner_id, runner.slot_count)
        for part in self._work.parts[:-1]:
            choice.note_remote_part(runner.runner_id, part.part_id)

    async def select(self) -> SelectedRunner | None:
        """Returns the runner of the next attempt, or None if there is none.

        Runners that ask this VM for a pause are left out.

        Waits for a start at a limited runner if no other one has room, but not
        beyond the request's latency objective.
        """
        unproven = self._unproven
        self._unproven = ()
        self.limited_for_ms = None
        selected = None
        if unproven and not self._tried_ids:
            selected = await self._select_among(unproven)
        if selected is None:
            service = self._admitted.service
            selected = await self._select_among(
                self._parts.directory.usable(service),
            )
        if selected is not None:
            self._tried_ids.add(selected.runner.runner_id)
            self.limited_for_ms = None
        return selected

    async def _select_among(
        self,
        runners: tuple[ForwardingRunner, ...],
    ) -> SelectedRunner | None:
        permits = self._parts.permits
        untried = [
            runner
            for runner in self._without_paused(runners)
            if runner.runner_id not in self._tried_ids
        ]
        startable = [
            runner
            for runner in untried
            if permits.may_start(runner.incarnation_name)
        ]
        candidates = self._backlogs(runners, startable)
        if len(startable) < len(untried) and not self._has_room(candidates):
            limited = self._backlogs(
                runners,
                [runner for runner in untried if runner not in startable],
            )
            selected = await self._wait_for_permit(limited)
            if selected is not None:
                return selected
        chosen = self._cell_choice.choose(
            self._work,
            self._cell(runners),
            self._all_backlogs(startable),
        )
        runner = self._runner_of(chosen)
        if runner is None:
            return None
        permit = await permits.take_now(
            runner.incarnation_name,
            need=self._need,
        )
        return SelectedRunner(runner=runner, permit=permit)

    def _runner_of(
        self,
        backlog: RunnerBacklog | None,
    ) -> ForwardingRunner | None:
        if backlog is None:
            return None
        return self._parts.directory.find(backlog.runner)

    def _without_paused(
        self,
        runners: tuple[ForwardingRunner, ...],
    ) -> list[ForwardingRunner]:
        """Returns the runners that ask for no pause; notes its earliest end."""
        accepting = []
        for runner in runners:
            paused_for_ms = self._parts.announcements.paused_for_ms(runner)
            if paused_for_ms:
                self._note_limited(paused_for_ms)
            else:
                accepting.append(runner)
        return accepting

    def _note_limited(self, wait_ms: float) -> None:
        if self.limited_for_ms is None or wait_ms < self.limited_for_ms:
            self.limited_for_ms = wait_ms

    def _backlogs(
        self,
        runners: tuple[ForwardingRunner, ...],
        selected: list[ForwardingRunner],
    ) -> tuple[RunnerBacklog, ...]:
        """Returns the backlogs of ``selected``, preferring this VM's cell."""
        return self._parts.choice.prefer_cell(
            self._cell(runners),
            self._all_backlogs(selected),
        )

    def _cell(self, runners: tuple[ForwardingRunner, ...]) -> frozenset[str]:
        return self._parts.cells.runners(runner.runner_id for runner in runners)

    def _all_backlogs(
        self,
        selected: list[ForwardingRunner],
    ) -> tuple[RunnerBacklog, ...]:
        return tuple(
            self._parts.choice.backlog(runner.runner_id, runner.slot_count)
            for runner in selected
        )

    def _has_room(self, candidates: tuple[RunnerBacklog, ...]) -> bool:
        now_ms = self._parts.clock.monotonic_ms()
        return any(backlog.has_room(now_ms) for backlog in candidates)

    async def _wait_for_permit(
        self,
        limited: tuple[RunnerBacklog, ...],
    ) -> SelectedRunner | None:
        """Asks limited runners for a permit, then waits where it is shortest.

        Waits at a rate limit are known exactly, those for room are not.
        """
        shortest: ForwardingRunner | None = None
        for backlog in self._preferred(limited):
            runner = self._runner_of(backlog)
            if runner is None:
                continue
            earlier_ms = self.limited_for_ms
            selected = await self._ask_permit(runner, waits_for_room=False)
            if selected is not None:
                return selected
            if self.limited_for_ms != earlier_ms:
                shortest = runner
        if shortest is None or not self._is_wait_useful(shortest):
            return None
        return await self._ask_permit(shortest, waits_for_room=True)

    def _is_wait_useful(self, runner: ForwardingRunner) -> bool:
        """Returns whether room at a runner may come within the objective."""
        if not self._parts.permits.needs_room(runner.incarnation_name):
            return False
        return (self.limited_for_ms or 0) <= self._left_in_objective_ms

    def _preferred(
        self,
        limited: tuple[RunnerBacklog, ...],
    ) -> list[RunnerBacklog]:
        """Returns the runners to ask, first the best of those with room."""
        now_ms = self._parts.clock.monotonic_ms()
        likely = [item for item in limited if self._is_likely(item)]
        candidates = likely or list(limited)
        # VMs with the same view would otherwise all ask the same runners.
        self._parts.random_source.shuffle(candidates)
        by_load = sorted(
            candidates,
            key=lambda backlog: backlog.load_count(now_ms),
        )
        roomy = tuple(item for item in by_load if item.has_room(now_ms))
        best = self._parts.choice.choose(self._work, roomy)
        if best is not None:
            by_load.remove(best)
            by_load.insert(0, best)
        needs_room = any(map(self._needs_room, candidates))
        count = _MAX_ROOM_REQUESTS if needs_room else _MAX_PERMIT_REQUESTS
        return by_load[:count]

    def _needs_room(self, backlog: RunnerBacklog) -> bool:
        runner = self._runner_of(backlog)
        return runner is not None and self._parts.permits.needs_room(
            runner.incarnation_name,
        )

    def _is_likely(self, backlog: RunnerBacklog) -> bool:
        runner = self._runner_of(backlog)
        return runner is not None and not self._parts.permits.is_unlikely(
            runner.incarnation_name,
        )

    async def _ask_permit(
        self,
        runner: ForwardingRunner,
        *,
        waits_for_room: bool,
    ) -> SelectedRunner | None:
        """Waits for the start of a request; None if it would be too late."""
        permits = self._parts.permits
        name = runner.incarnation_name
        is_tried_only = permits.needs_room(name) and not waits_for_room
        permit = await permits.take(
            name,
            max_wait_ms=0 if is_tried_only else self._left_in_objective_ms,
            need=self._need,
        )
        if not permit.is_granted:
            self._note_limited(permit.wait_ms)
            return None
        try:
            await self._parts.clock.sleep_ms(permit.wait_ms)
        except BaseException:
            permits.release(permit)
            raise
        return SelectedRunner(runner=runner, permit=permit)

    @property
    def _need(self) -> StartNeed:
        """Returns what the request needs at a runner of its service."""
        configuration = self._parts.configuration.current
        service = None
        if configuration is not None:
            service = configuration.services.get(self._admitted.service)
        engine = None if service is None else service.engine
        return need_of(
            self._work,
            0 if engine is None else engine.memory_tokens,
        )

    @property
    def _left_in_objective_ms(self) -> float:
        admitted = self._admitted
        waited_ms = self._parts.clock.monotonic_ms() - admitted.arrival_ms
        return max(0, admitted.route.objective_ms - waited_ms)
