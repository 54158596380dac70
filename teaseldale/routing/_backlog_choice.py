"""Choice of a runner by the work that waits there.

Runners read prompts in order, and every prompt that is read delays the tokens
of all streams beside it. The choice therefore counts prompt tokens that a
runner has still to read, without parts that it holds already.
"""

import random
from collections.abc import Callable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.routing._prompt_sizes import PromptSizes
from teaseldale.routing._runner_backlog import (
    PlacedWork,
    PlannedWork,
    RunnerBacklog,
)

# Prompt tokens whose reading costs about as much as one more stream beside
# the others: a token step of engines lasts as long as some hundred prompt
# tokens, and is shared by all streams.
_STREAM_TOKENS = 40
# Each stream beside a prompt is stalled while the prompt is read, so that a
# long prompt counts streams by this share of its own length.
_STALL_SHARE = 0.04
# The same for the longest prompts, which alone take longer to read than the
# pauses that streams may have: what they stall is late for good.
_LONGEST_STALL_SHARE = 0.2
# Each token that a stream may generate counts as so many prompt tokens at the
# runner that is kept clear for the longest prompts.
_CLEAR_TOKENS = 40
# Work of a request without a prompt, in the same unit.
_PLAIN_TOKENS = 1000
# A runner without a free slot makes requests wait for a whole stream.
_FULL_TOKENS = 200_000
# Work that a runner which fails every request is worth avoiding for.
_FAILURE_TOKENS = 20_000
_FAILURE_WEIGHT = 0.1  # of the newest request in the share of failures
# How long a runner that could not be reached is chosen last. An entry of one
# that has gone is removed within some seconds.
_AVOIDED_MS = 1500
_AVOIDED_TOKENS = 10_000_000
# Shared tokens from which fetching them from another runner is faster than
# reading them.
_FETCH_TOKENS = 300
# With fewer runners the clear one would be too large a part of the service.
_LEAST_RUNNERS = 3
# Share of the best estimate within which runners count as equal. A random
# choice among equals keeps VMs with the same view from choosing the same.
_EQUAL_SHARE = 0.05
_EQUAL_TOKENS = 100


@attrs.frozen(kw_only=True)
class _ScoreView:
    now_ms: int  # monotonic
    stall_share: float = _STALL_SHARE
    clear: str | None = None  # runner that the work should leave clear


class BacklogChoice:
    """Picks the runner that would begin a request first."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        random_source: random.Random,
    ) -> None:
        """Draws among equals from ``random_source``."""
        self._clock = clock
        self._random = random_source
        self._backlogs: dict[str, RunnerBacklog] = {}
        self._new_parts: dict[tuple[str, str], None] = {}
        self._sizes = PromptSizes()
        self._notice: Callable[[], None] | None = None

    def call_on_change(self, notice: Callable[[], None]) -> None:
        """Calls ``notice`` after each change of this VM's own work."""
        self._notice = notice

    def backlog(self, runner: str, slot_count: int) -> RunnerBacklog:
        """Returns what is known of a runner, which may be nothing."""
        backlog = self._backlogs.get(runner)
        if backlog is None:
            backlog = RunnerBacklog(runner=runner, slot_count=slot_count)
            self._backlogs[runner] = backlog
        return backlog

    def known(self, runner: str) -> RunnerBacklog | None:
        """Returns what is known of a runner, if anything is."""
        return self._backlogs.get(runner)

    def backlogs(self) -> tuple[RunnerBacklog, ...]:
        """Returns what is known of all runners."""
        return tuple(self._backlogs.values())

    def take_new_parts(self, count: int) -> tuple[tuple[str, str], ...]:
        """Returns runners and parts of the newest placements, each once."""
        newest = tuple(self._new_parts)[-count:]
        self._new_parts.clear()
        return newest

    def note_remote_part(self, runner: str, part_id: str) -> None:
        """Remembers a part that another VM gave to a runner."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            backlog.note_part(part_id)

    def keep_only(self, runners: frozenset[str]) -> None:
        """Forgets all other runners that have no request of this VM."""
        for name in tuple(self._backlogs):
            if name not in runners and not self._backlogs[name].running_count:
                self._backlogs.pop(name)

    def choose(
        self,
        work: PlannedWork,
        candidates: tuple[RunnerBacklog, ...],
    ) -> RunnerBacklog | None:
        """Returns the runner with the least work before ``work``."""
        if not candidates:
            return None
        view = self._view_of(work, candidates)
        scored = [
            (_score(work, backlog, view), backlog) for backlog in candidates
        ]
        best = min(score for score, _ in scored)
        limit = best * (1 + _EQUAL_SHARE) + _EQUAL_TOKENS
        equals = [backlog for score, backlog in scored if score <= limit]
        return self._random.choice(equals)

    def within(
        self,
        cell: frozenset[str],
        candidates: tuple[RunnerBacklog, ...],
    ) -> tuple[RunnerBacklog, ...]:
        """Returns the candidates of a cell, or all if those have no room.

        The work at runners of the cell is known; of others, only what they
        report and what this VM has sent there.
        """
        now_ms = self._clock.monotonic_ms()
        own = tuple(backlog for backlog in candidates if backlog.runner in cell)
        has_room = any(
            now_ms >= backlog.avoided_until_ms
            and backlog.load_count(now_ms) < backlog.slot_count
            for backlog in own
        )
        return own if has_room else candidates

    def place(self, work: PlannedWork, backlog: RunnerBacklog) -> PlacedWork:
        """Counts ``work`` at its runner until it is read and has ended."""
        unread = backlog.unread_of(work)
        source = self._fetch_source(work, backlog)
        if source is not None:
            unread = source.unread_of(work)
        self._sizes.add(unread)
        backlog.running_count += 1
        backlog.unread_tokens += unread
        backlog.note_parts(work)
        # The last part is the request's own; the others are shared.
        for part in work.parts[:-1]:
            self._new_parts[backlog.runner, part.part_id] = None
        self._changed()
        return PlacedWork(
            runner=backlog.runner,
            unread_tokens=unread,
            fetch_from=None if source is None else source.runner,
        )

    def has_read(self, placed: PlacedWork) -> None:
        """Notes that the runner has begun to answer."""
        backlog = self._backlogs.get(placed.runner)
        if backlog is not None:
            backlog.unread_tokens -= placed.unread_tokens
            self._changed()

    def has_ended(self, placed: PlacedWork) -> None:
        """Notes that the runner has nothing more to do for the request."""
        backlog = self._backlogs.get(placed.runner)
        if backlog is not None:
            backlog.running_count -= 1
            self._changed()

    def note_outcome(self, runner: str, *, has_failed: bool) -> None:
        """Counts a request that a runner has answered or failed."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            step = (has_failed - backlog.failure_share) * _FAILURE_WEIGHT
            backlog.failure_share += step

    def note_unreached(self, runner: str) -> None:
        """Notes that a runner is not at its address now."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            now_ms = self._clock.monotonic_ms()
            backlog.avoided_until_ms = now_ms + _AVOIDED_MS

    def note_report(
        self,
        runner: str,
        *,
        request_count: int,
        slot_count: int,
    ) -> None:
        """Takes a runner's own report of its load."""
        backlog = self._backlogs.get(runner)
        if backlog is not None:
            backlog.reported_count = request_count
            backlog.reported_running_count = backlog.running_count
            backlog.reported_ms = self._clock.monotonic_ms()
            backlog.slot_count = slot_count

    def _changed(self) -> None:
        if self._notice is not None:
            self._notice()

    def _least_unread(self, work: PlannedWork) -> int:
        return min(
            (backlog.unread_of(work) for backlog in self._backlogs.values()),
            default=work.prompt_tokens,
        )

    def _view_of(
        self,
        work: PlannedWork,
        candidates: tuple[RunnerBacklog, ...],
    ) -> _ScoreView:
        """Returns what a score needs beside the work and the runner.

        The longest prompts may go to any runner. Other work leaves one clear
        for them; all VMs find the same one.
        """
        view = _ScoreView(now_ms=self._clock.monotonic_ms())
        if len(candidates) < _LEAST_RUNNERS or not work.prompt_tokens:
            return view
        longest = self._sizes.longest_tokens(1 / len(candidates))
        if longest is None:
            return view
        if self._least_unread(work) >= longest:
            return attrs.evolve(view, stall_share=_LONGEST_STALL_SHARE)
        clear = min(candidates, key=_name_of)
        return attrs.evolve(view, clear=clear.runner)

    def _fetch_source(
        self,
        work: PlannedWork,
        chosen: RunnerBacklog,
    ) -> RunnerBacklog | None:
        """Returns a runner that holds clearly more of the shared parts."""
        if not work.parts:
            return None
        best = min(
            self._backlogs.values(),
            key=lambda backlog: backlog.unread_of(work),
        )
        saved = chosen.unread_of(work) - best.unread_of(work)
        return best if saved >= _FETCH_TOKENS else None


def _score(
    work: PlannedWork,
    backlog: RunnerBacklog,
    view: _ScoreView,
) -> float:
    load = backlog.load_count(view.now_ms)
    excess = max(0, load + 1 - backlog.slot_count)
    waiting = backlog.unread_tokens + backlog.remote_unread_tokens
    own = backlog.unread_of(work)
    beside = float(_PLAIN_TOKENS)
    if work.prompt_tokens:
        beside = _STREAM_TOKENS + own * view.stall_share
    score = float(waiting + own + load * beside + excess * _FULL_TOKENS)
    score += backlog.failure_share * _FAILURE_TOKENS
    if backlog.runner == view.clear:
        score += work.output_limit_tokens * _CLEAR_TOKENS
    if view.now_ms < backlog.avoided_until_ms:
        score += _AVOIDED_TOKENS
    return score


def _name_of(backlog: RunnerBacklog) -> str:
    return backlog.runner
