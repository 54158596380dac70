"""Requests that wait for the runners of one service, and their prospects."""

from collections.abc import Callable

import attrs

from teaseldale.routing._overload_credit import StartCredit
from teaseldale.routing._overload_excess import RecentLoads
from teaseldale.routing._overload_kinds import KindShares
from teaseldale.routing._overload_load import PoolLoad
from teaseldale.routing._overload_queue import (
    STARTS_PER_LOWER_RANK,
    OverloadQueue,
)
from teaseldale.routing._overload_request import OverloadRequest, WaitingTurn
from teaseldale.routing._overload_returns import ReturnSchedule
from teaseldale.routing._runner_backlog import RunnerBacklog

_QUEUE_LIMIT_COUNT = 256  # per service and VM
# A refusal is due within an eighth of the goal, less the time to send it.
_REFUSAL_GOAL_SHARE = 0.1
# Reports that are older than this many mean times of a request at a runner do
# not justify a refusal.
_REPORT_WORK_FACTOR = 2
# Debt up to which a start may be taken ahead to get a new report.
_LEAST_PROBE_CREDIT = -1
_LEAST_RARE_CREDIT = -2  # if refusals are rare, as after a burst
# Probes of accounts in excess leave the credit for a start of another one.
_LEAST_EXCESS_CREDIT = 1
# Prompts that wait at a runner, in time and as a part of the shortest goal, up
# to which the most urgent requests start.
_PROMPT_QUEUE_SHARE = 0.45
_MIN_QUEUE_PART = 0.25  # of that, for requests with the least precedence
# Part of the slots that requests without precedence leave free.
_RESERVED_SLOT_SHARE = 0.2
# After the last refusal, runners count as short for this time.
_SHORT_MS = 3000

_MAX_NOTED = 100  # kinds and accounts that are counted for a log line

Views = Callable[[], tuple[RunnerBacklog, ...]]


@attrs.define(kw_only=True)
class OverloadPool:
    """State of one service; ``views`` returns the backlogs of its runners."""

    name: str
    views: Views
    credit: StartCredit
    returns: ReturnSchedule
    queue: OverloadQueue = attrs.field(
        factory=lambda: OverloadQueue(limit_count=_QUEUE_LIMIT_COUNT),
    )
    kinds: KindShares = attrs.field(factory=KindShares)
    recent: RecentLoads = attrs.field(factory=RecentLoads)
    starting_count: int = 0  # started, but not yet placed at a runner
    starting_tokens: int = 0  # of the prompts of those, cached parts included
    # Since the last log line, while runners were short:
    behind_kinds: set[tuple[int, str]] = attrs.field(factory=set)
    excess_accounts: set[str] = attrs.field(factory=set)
    held_count: int = 0  # requests that waited for the prompts at the runners
    refused_count: int = 0  # since the last log line
    refused_ms: float = 0  # monotonic time of the last refusal
    longest_wait_ms: float = 0
    logged_ms: float = 0

    def note_offered(self, request: OverloadRequest, now_ms: float) -> None:
        """Counts a request that arrives."""
        self.kinds.note_offered(request, now_ms)
        self.recent.note(request.account, now_ms, request.cost_tokens)

    def note_special(
        self, request: OverloadRequest, now_ms: float
    ) -> list[str]:
        """Returns which rules change the precedence of a new request."""
        if not self.was_short(now_ms):
            return []
        labels = []
        if self.kinds.is_behind(request, now_ms):
            labels.append('kind_behind')
            if len(self.behind_kinds) < _MAX_NOTED:
                self.behind_kinds.add((request.rank, request.route))
        if self._is_in_excess(request, now_ms):
            labels.append('account_in_excess')
            if len(self.excess_accounts) < _MAX_NOTED:
                self.excess_accounts.add(request.account)
        return labels

    def note_started(self, request: OverloadRequest, now_ms: float) -> None:
        """Counts a request that starts, until it is placed."""
        self.starting_count += 1
        self.starting_tokens += request.work.prompt_tokens
        self.credit.note_start(now_ms, request.rank)
        self.kinds.note_started(request, now_ms)

    def note_placed(self, request: OverloadRequest) -> None:
        """Ends the start of a request that was placed or given up."""
        self.starting_count -= 1
        self.starting_tokens -= request.work.prompt_tokens

    def note_held(self, turn: WaitingTurn) -> bool:
        """Counts a turn that prompts hold back; returns whether it is new."""
        is_new = not turn.is_held
        turn.is_held = True
        self.held_count += is_new
        return is_new

    def end_log_interval(self, now_ms: float) -> None:
        """Starts the counts of the next log line."""
        self.logged_ms = now_ms
        self.refused_count = 0
        self.held_count = 0
        self.longest_wait_ms = 0
        self.behind_kinds.clear()
        self.excess_accounts.clear()

    def precedence(self, request: OverloadRequest, now_ms: float) -> float:
        """Returns the part of the runners' room that a request may use.

        It is 1 for the most urgent kind and for kinds that are served far less
        than others, and 0 for accounts that send more than usual.
        """
        if self._is_in_excess(request, now_ms):
            return 0
        if self.kinds.is_behind(request, now_ms):
            return 1
        return self.kinds.urgency(request.rank)

    def prompt_limit_ms(
        self,
        request: OverloadRequest,
        now_ms: float,
    ) -> float:
        """Returns up to which wait at a runner a prompt may be sent there."""
        part = self.precedence(request, now_ms)
        part = _MIN_QUEUE_PART + (1 - _MIN_QUEUE_PART) * part
        goal_ms = self.kinds.shortest_goal_ms(request)
        return _PROMPT_QUEUE_SHARE * goal_ms * part

    def was_short(self, now_ms: float) -> bool:
        """Returns whether a request was refused recently."""
        return bool(self.refused_ms) and now_ms - self.refused_ms < _SHORT_MS

    def reserved_count(
        self,
        request: OverloadRequest,
        load: PoolLoad,
        now_ms: float,
    ) -> float:
        """Returns how many free slots a request leaves to others."""
        if not self.was_short(now_ms):
            return 0
        reserve = 1 - self.precedence(request, now_ms)
        return reserve * _RESERVED_SLOT_SHARE * load.slot_count

    def heads(self, now_ms: float) -> list[WaitingTurn]:
        """Returns the next request of each flow, in the order of their turns.

        Kinds that are served far less than others come first, accounts that
        send more than usual last.
        """
        return sorted(
            self.queue.heads(),
            key=lambda turn: (
                self._is_in_excess(turn.request, now_ms),
                not self.kinds.is_behind(turn.request, now_ms),
            ),
        )

    def _is_in_excess(self, request: OverloadRequest, now_ms: float) -> bool:
        return self.recent.is_in_excess(
            request.account,
            now_ms,
            self.queue.usual.share(request.account),
        )

    def may_probe(
        self,
        turn: WaitingTurn,
        load: PoolLoad,
        now_ms: float,
    ) -> bool:
        """Returns whether to start a request in order to get a new report.

        The shortage may have ended since the reports were made. Credit is taken
        ahead, so that there are no more starts than without probes.
        """
        least = _LEAST_PROBE_CREDIT
        if now_ms - self.refused_ms > 2 * refusal_time_ms(turn.request):
            least = _LEAST_RARE_CREDIT
        if self._is_in_excess(turn.request, now_ms):
            least = _LEAST_EXCESS_CREDIT
        return (
            self._is_old(load, now_ms)
            and self.queue.first() is turn
            and self.credit.credit > least
        )

    def may_use_floor(self, load: PoolLoad, now_ms: float) -> bool:
        """Returns whether the queues at the runners are short or not known."""
        is_short = load.share <= self.credit.target_share
        return is_short or self._is_old(load, now_ms)

    def interval_ms(
        self,
        load: PoolLoad,
        rank: int,
        now_ms: float,
        vm_count: int,
    ) -> float:
        """Returns the expected time between two starts of a rank.

        Starts of more urgent ranks are taken to go on.
        """
        floor = self.credit.floor_per_ms(load.slot_count, vm_count)
        if self.queue.has_more_urgent(rank):
            floor /= STARTS_PER_LOWER_RANK
        rate = max(self.credit.start_rate_per_ms(now_ms, rank), floor)
        return 1 / rate if rate else 0

    def _is_old(self, load: PoolLoad, now_ms: float) -> bool:
        """Returns whether the load of some runner may have ended by now."""
        valid_ms = _REPORT_WORK_FACTOR * self.credit.work_ms
        oldest_ms = min(
            (backlog.reported_ms for backlog in load.runners),
            default=0,
        )
        return now_ms - oldest_ms > valid_ms


def refusal_time_ms(request: OverloadRequest) -> float:
    """Returns the time within which a refusal is decided."""
    time_ms = request.goal_at_ms - request.arrival_ms
    return time_ms * _REFUSAL_GOAL_SHARE


def refuse_at_ms(request: OverloadRequest) -> float:
    """Returns the monotonic time at which a refusal is decided."""
    return request.arrival_ms + refusal_time_ms(request)
