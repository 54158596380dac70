"""Runners outside the cell that a VM considers for a prompt.

Callers are assigned to VMs by a hash, so that one cell may have several times
the work of the others. Its VMs then use runners of other cells as well, by what
these runners report of their load.
"""

import random
from collections.abc import Iterable

import attrs

from teaseldale.routing._runner_backlog import RunnerBacklog

# Busy share of the slots of the cell's least loaded runner from which on other
# runners are considered.
_BUSY_SHARE = 0.1
# Share of the requests at the cell's runners that a VM has placed from which on
# it considers other runners. A VM with fewer has too few reports of those, and
# needs the counts of its cell.
_OWN_SHARE = 0.25
# Part of the prompts of a busy cell that may go to a runner without a recent
# report, to get one.
_EXPLORED_SHARE = 0.1


@attrs.frozen(kw_only=True)
class OtherCells:
    """Candidates of other cells, with an estimate of their unread tokens."""

    runners: frozenset[str] = frozenset()
    # Mean of a request that VMs of the own cell have announced.
    tokens_per_request: float = 0

    def unannounced_tokens(self, backlog: RunnerBacklog, now_ms: int) -> int:
        """Estimates the tokens of requests that only a report mentions.

        Returns 0 for runners of the own cell, whose requests are announced.
        """
        if backlog.runner not in self.runners:
            return 0
        count = backlog.unannounced_count(now_ms)
        return round(count * self.tokens_per_request)


@attrs.frozen(kw_only=True)
class CellCandidates:
    """Candidates for one request."""

    backlogs: tuple[RunnerBacklog, ...]
    other_cells: OtherCells | None = None


def extend_cell(
    inside: tuple[RunnerBacklog, ...],
    outside: Iterable[RunnerBacklog],
    *,
    random_source: random.Random,
    now_ms: int,
) -> CellCandidates:
    """Adds runners of other cells if this VM keeps those of its cell busy.

    Only runners with a recent report are added. Some requests go to a runner
    without one instead.
    """
    if not _is_busy(inside, now_ms):
        return CellCandidates(backlogs=inside)
    with_room = [backlog for backlog in outside if backlog.has_room(now_ms)]
    reported = tuple(
        backlog for backlog in with_room if backlog.has_recent_report(now_ms)
    )
    unreported = [backlog for backlog in with_room if backlog not in reported]
    if unreported and random_source.random() < _EXPLORED_SHARE:
        return CellCandidates(backlogs=(random_source.choice(unreported),))
    return CellCandidates(
        backlogs=inside + reported,
        other_cells=OtherCells(
            runners=frozenset(backlog.runner for backlog in reported),
            tokens_per_request=_unread_tokens_per_request(inside),
        ),
    )


def _is_busy(inside: tuple[RunnerBacklog, ...], now_ms: int) -> bool:
    """Returns whether all runners are busy, mainly with this VM's requests."""
    least_busy_share = min(
        backlog.load_count(now_ms) / max(1, backlog.slot_count)
        for backlog in inside
    )
    own_count = sum(backlog.running_count for backlog in inside)
    all_count = sum(backlog.load_count(now_ms) for backlog in inside)
    return least_busy_share >= _BUSY_SHARE and (
        own_count >= all_count * _OWN_SHARE
    )


def _unread_tokens_per_request(backlogs: Iterable[RunnerBacklog]) -> float:
    """Returns the mean unread tokens of a request that VMs have announced."""
    request_count = 0
    unread_tokens = 0
    for backlog in backlogs:
        request_count += backlog.running_count + backlog.remote_count
        unread_tokens += backlog.unread_tokens + backlog.remote_unread_tokens
    return unread_tokens / max(1, request_count)
