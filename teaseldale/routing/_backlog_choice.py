"""Upstream choice by the work at each runner and the runner's pace.

Runners prefill prompts in order, and each prefill delays the tokens of all
other streams at the runner. The choice therefore estimates the prompt tokens
that a runner has yet to prefill, excluding parts that its cache holds already,
and scales them by the time that the runner takes for each.
"""

import random
from collections.abc import Callable, Mapping

import attrs

from teaseldale.clock import BaseClock
from teaseldale.routing._cell_candidates import OtherCells
from teaseldale.routing._prompt_sizes import PromptSizes
from teaseldale.routing._runner_backlog import (
    PlacedWork,
    PlannedWork,
    RunnerBacklog,
)
from teaseldale.routing._runner_pace import RunnerPaces

# Cost of one more concurrent stream, in prompt tokens: a decoding step takes
# as long as prefilling some hundred prompt tokens, and all streams share it.
_STREAM_TOKENS = 40
# Every running stream stalls while a prompt is prefilled, so each stream adds
# this share of the prompt's own length to the cost.
_STALL_SHARE = 0.04
# Stall share of the longest prompts: one such prefill alone exceeds the pause
# that a stream may have, so the streams that it stalls miss their objective.
_LONG_PROMPT_STALL_SHARE = 0.2
# Cost of each output token that a request may generate, in prompt tokens, at
# the runner that is reserved for the longest prompts.
_RESERVED_RUNNER_TOKENS = 40
# Cost of a request without a known prompt, in prompt tokens.
_UNKNOWN_PROMPT_TOKENS = 1000
# Penalty of a runner without a free slot: a request placed there waits until
# another stream ends.
_FULL_PENALTY_TOKENS = 200_000
# Penalty of a runner that fails every request; scaled by its failure rate.
_FAILURE_PENALTY_TOKENS = 20_000
_FAILURE_WEIGHT = 0.1  # of the newest outcome in the moving average
# How long an unreachable runner is chosen only as a last resort. The entry of
# a runner that has shut down is removed within a few seconds.
_UNREACHABLE_MS = 1500
_UNREACHABLE_PENALTY_TOKENS = 10_000_000
# Minimum number of shared tokens for which fetching them from another runner
# is faster than prefilling them.
_MIN_FETCH_TOKENS = 300
# Below this size, one reserved runner would be too large a part of the pool.
_MIN_RUNNERS = 3
# Runners whose scores are within this share of the best count as tied. A
# random choice among them keeps VMs with the same view from all choosing the
# same runner.
_TIE_SHARE = 0.05
_TIE_TOKENS = 100


@attrs.frozen(kw_only=True)
class _ScoreView:
    now_ms: int  # monotonic
    stall_share: float = _STALL_SHARE
    reserved_runner: str | None = None  # runner reserved for longer prompts
    # How many times longer than typical work takes at each runner.
    durations: Mapping[str, float] = attrs.field(factory=dict)
    shortest_duration: float = 1
    knees: Mapping[str, float] = attrs.field(factory=dict)
    other_cells: OtherCells = attrs.field(factory=OtherCells)


class BacklogChoice:
    """Picks the runner that is expected to start a request first."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        random_source: random.Random,
        paces: RunnerPaces | None = None,
    ) -> None:
        """Breaks ties with ``random_source``; begins with unknown paces."""
        self._clock = clock
        self.paces = paces or RunnerPaces(clock=clock)
        self._random = random_source
        self._backlogs: dict[str, RunnerBacklog] = {}
        self._new_parts: dict[tuple[str, str], None] = {}
        self._sizes = PromptSizes()
        self._on_change: Callable[[], None] | None = None

    def add_change_listener(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of this VM's own work.

        A later call replaces the callback.
        """
        self._on_change = callback

    def backlog(self, runner: str, slot_count: int) -> RunnerBacklog:
        """Returns the backlog of a runner, creating an empty one if needed.

        ``slot_count`` only applies to a new backlog.
        """
        backlog = self._backlogs.get(runner)
        if backlog is None:
            backlog = RunnerBacklog(runner=runner, slot_count=slot_count)
            self._backlogs[runner] = backlog
        return backlog

    def find_backlog(self, runner: str) -> RunnerBacklog | None:
        """Returns the backlog of a runner, or None if there is none."""
        return self._backlogs.get(runner)

    def backlogs(self) -> tuple[RunnerBacklog, ...]:
        """Returns the backlogs of all known runners."""
        return tuple(self._backlogs.values())

    def take_new_parts(self, count: int) -> tuple[tuple[str, str], ...]:
        """Returns and clears the newly placed shared parts.

        Returns at most ``count`` distinct pairs of runner and part ID, the
        newest ones; older pairs are discarded.
        """
        newest = tuple(self._new_parts)[-count:]
        self._new_parts.clear()
        return newest

    def note_remote_part(self, runner: str, part_id: str) -> None:
        """Records a part that another VM has sent to a known runner."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            backlog.note_part(part_id)

    def keep_only(self, runners: frozenset[str]) -> None:
        """Drops the backlogs of other runners unless this VM uses them.

        The paces of other runners are dropped in any case.
        """
        self.paces.keep_only(runners)
        for name in tuple(self._backlogs):
            if name not in runners and not self._backlogs[name].running_count:
                self._backlogs.pop(name)

    def choose(
        self,
        work: PlannedWork,
        candidates: tuple[RunnerBacklog, ...],
        *,
        other_cells: OtherCells | None = None,
    ) -> RunnerBacklog | None:
        """Returns the runner with the lowest cost; breaks ties at random.

        Returns None if there are no candidates. ``other_cells`` estimates the
        work of candidates that are not in this VM's cell.
        """
        if not candidates:
            return None
        view = _with_paces(
            self._view_of(work, candidates, other_cells),
            self.paces,
            has_prompt=bool(work.prompt_tokens),
            names=tuple(backlog.runner for backlog in candidates),
        )
        scored = [
            (_score(work, backlog, view), backlog) for backlog in candidates
        ]
        best = min(score for score, _ in scored)
        limit = best * (1 + _TIE_SHARE) + _TIE_TOKENS
        ties = [backlog for score, backlog in scored if score <= limit]
        return self._random.choice(ties)

    def prefer_cell(
        self,
        cell: frozenset[str],
        candidates: tuple[RunnerBacklog, ...],
    ) -> tuple[RunnerBacklog, ...]:
        """Returns the candidates in a cell, or all if none of them has room.

        Complete counts are available only for runners in the cell; for others
        there are only their own reports and the requests of this VM.
        """
        now_ms = self._clock.monotonic_ms()
        cell_candidates = tuple(
            backlog for backlog in candidates if backlog.runner in cell
        )
        has_room = any(backlog.has_room(now_ms) for backlog in cell_candidates)
        return cell_candidates if has_room else candidates

    def place(self, work: PlannedWork, backlog: RunnerBacklog) -> PlacedWork:
        """Adds ``work`` to the backlog of its runner and returns the placement.

        The prompt counts until its first output, the request until it ends.
        """
        unread = backlog.unread_tokens_of(work)
        source = self._fetch_source(work, backlog)
        if source is not None:
            unread = source.unread_tokens_of(work)
        self._sizes.add(unread)
        backlog.running_count += 1
        backlog.unread_tokens += unread
        backlog.note_parts(work)
        # The last part is specific to the request; the others are shared.
        for part in work.parts[:-1]:
            self._new_parts[backlog.runner, part.part_id] = None
        self._notify_change()
        return PlacedWork(
            runner=backlog.runner,
            unread_tokens=unread,
            fetch_from=None if source is None else source.runner,
        )

    def mark_prefilled(self, placed: PlacedWork) -> None:
        """Removes the prompt from the backlog after the first output."""
        backlog = self._backlogs.get(placed.runner)
        if backlog is not None:
            backlog.unread_tokens -= placed.unread_tokens
            self._notify_change()

    def mark_completed(self, placed: PlacedWork) -> None:
        """Removes the request from the runner's running count."""
        backlog = self._backlogs.get(placed.runner)
        if backlog is not None:
            backlog.running_count -= 1
            self._notify_change()

    def note_outcome(self, runner: str, *, has_failed: bool) -> None:
        """Updates the moving average of a runner's failure rate."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            step = (has_failed - backlog.failure_share) * _FAILURE_WEIGHT
            backlog.failure_share += step

    def mark_unreachable(self, runner: str) -> None:
        """Makes an unreachable runner a last resort for a short time."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            now_ms = self._clock.monotonic_ms()
            backlog.unreachable_until_ms = now_ms + _UNREACHABLE_MS

    def note_report(
        self,
        runner: str,
        *,
        request_count: int,
        slot_count: int,
    ) -> None:
        """Records a runner's own report of its load and slot count."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            backlog.reported_count = request_count
            backlog.reported_running_count = backlog.running_count
            backlog.reported_ms = self._clock.monotonic_ms()
            backlog.slot_count = slot_count

    def _notify_change(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def _min_unread_tokens(self, work: PlannedWork) -> int:
        return min(
            (
                backlog.unread_tokens_of(work)
                for backlog in self._backlogs.values()
            ),
            default=work.prompt_tokens,
        )

    def _view_of(
        self,
        work: PlannedWork,
        candidates: tuple[RunnerBacklog, ...],
        other_cells: OtherCells | None,
    ) -> _ScoreView:
        """Returns the inputs of a score that do not depend on the runner.

        The longest prompts may go to any runner. Other work avoids the runner
        that is reserved for them, which is the same one at every VM.
        """
        view = _ScoreView(
            now_ms=self._clock.monotonic_ms(),
            other_cells=other_cells or OtherCells(),
        )
        if len(candidates) < _MIN_RUNNERS or not work.prompt_tokens:
            return view
        longest = self._sizes.longest_tokens(1 / len(candidates))
        if longest is None:
            return view
        if self._min_unread_tokens(work) >= longest:
            return attrs.evolve(view, stall_share=_LONG_PROMPT_STALL_SHARE)
        reserved_runner = min(candidates, key=_runner_name)
        return attrs.evolve(view, reserved_runner=reserved_runner.runner)

    def _fetch_source(
        self,
        work: PlannedWork,
        chosen: RunnerBacklog,
    ) -> RunnerBacklog | None:
        """Returns a runner that caches enough more of the prompt to fetch."""
        if not work.parts:
            return None
        best = min(
            self._backlogs.values(),
            key=lambda backlog: backlog.unread_tokens_of(work),
        )
        saved = chosen.unread_tokens_of(work) - best.unread_tokens_of(work)
        return best if saved >= _MIN_FETCH_TOKENS else None


def _with_paces(
    view: _ScoreView,
    paces: RunnerPaces,
    *,
    has_prompt: bool,
    names: tuple[str, ...],
) -> _ScoreView:
    durations = paces.relative_durations(names, has_prompt=has_prompt)
    return attrs.evolve(
        view,
        durations=durations,
        shortest_duration=min(durations.values()),
        knees=paces.knees(names, has_prompt=has_prompt),
    )


def _score(
    work: PlannedWork,
    backlog: RunnerBacklog,
    view: _ScoreView,
) -> float:
    load = backlog.load_count(view.now_ms)
    excess = max(0, load + 1 - backlog.slot_count)
    if work.prompt_tokens:
        score = _prompt_score(work, backlog, view, load)
    else:
        score = _plain_score(backlog, view, load)
    score += excess * _FULL_PENALTY_TOKENS
    score += backlog.failure_share * _FAILURE_PENALTY_TOKENS
    if backlog.runner == view.reserved_runner:
        score += work.output_limit_tokens * _RESERVED_RUNNER_TOKENS
    if view.now_ms < backlog.unreachable_until_ms:
        score += _UNREACHABLE_PENALTY_TOKENS
    return score


def _prompt_score(
    work: PlannedWork,
    backlog: RunnerBacklog,
    view: _ScoreView,
    load: int,
) -> float:
    """Returns the time to the first event, in tokens at the typical pace."""
    own_tokens = backlog.unread_tokens_of(work)
    tokens_per_request = _STREAM_TOKENS + own_tokens * view.stall_share
    queued_tokens = backlog.unread_tokens + backlog.remote_unread_tokens
    duration = view.durations[backlog.runner]
    duration *= max(1, (load + 1) / view.knees[backlog.runner])
    queued_tokens += view.other_cells.unannounced_tokens(backlog, view.now_ms)
    return duration * (queued_tokens + own_tokens + load * tokens_per_request)


def _plain_score(backlog: RunnerBacklog, view: _ScoreView, load: int) -> float:
    """Returns the load and the duration beyond that of the fastest runner.

    The whole duration of typical work costs as much as the requests that a
    runner handles up to its knee, so a fast runner is filled up to there before
    a slower one gets more than its share.
    """
    knee = view.knees[backlog.runner]
    duration = view.durations[backlog.runner] * max(1, (load + 1) / knee)
    excess_duration = duration - view.shortest_duration
    capacity = max(1, min(knee, backlog.slot_count))
    queued_tokens = backlog.unread_tokens + backlog.remote_unread_tokens
    cost = _UNKNOWN_PROMPT_TOKENS * (load + capacity * excess_duration)
    return queued_tokens + cost


def _runner_name(backlog: RunnerBacklog) -> str:
    return backlog.runner
