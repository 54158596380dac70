"""Admission of requests while the runners of a service are short.

With a free slot a request starts at once. Otherwise it waits in the VM, from
where it can go to whichever runner is free first, or is refused early.
"""

import random
from collections.abc import Callable, Iterable

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing._overload_credit import StartCredit
from teaseldale.routing._overload_estimate import (
    BaseStartEstimate,
    UnknownStart,
)
from teaseldale.routing._overload_load import PoolLoad, load_of
from teaseldale.routing._overload_pool import (
    OverloadPool,
    Views,
    refusal_time_ms,
    refuse_at_ms,
)
from teaseldale.routing._overload_request import (
    OverloadAction,
    OverloadDecision,
    OverloadReason,
    OverloadRequest,
    WaitingTurn,
)
from teaseldale.routing._overload_returns import ReturnSchedule
from teaseldale.routing._overload_rooms import CellRooms

# A request stays longer only if it is expected to start in this part of the
# time that its goal leaves, as estimates of the start rate vary.
_SURE_SHARE = 0.5
# Below this share of taken slots runners are not short, whatever is estimated.
_SHORT_SHARE = 0.5
# First events of prompts that take longer than the goal by themselves may take
# this many times as long as on an idle runner.
_LONG_PROMPT_FACTOR = 1.5
_MIN_CHECK_MS = 2.0
_LOG_INTERVAL_MS = 1000


def _one_vm() -> int:
    return 1


def _all_runners(runners: Iterable[str]) -> frozenset[str]:
    return frozenset(runners)


class OverloadAdmission:
    """Decides whether requests start, wait or are refused."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        random_source: random.Random,
        estimate: BaseStartEstimate | None = None,
        vm_count: Callable[[], int] = _one_vm,
        cell: Callable[[Iterable[str]], frozenset[str]] = _all_runners,
    ) -> None:
        """Uses ``estimate`` for times to the first event.

        ``vm_count`` returns the number of VMs that use the same runners,
        ``cell`` those of some runners whose complete counts are known.
        """
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._estimate = estimate or UnknownStart()
        self._vm_count = vm_count
        self._rooms = CellRooms(estimate=self._estimate, cell=cell)
        self._pools: dict[str, OverloadPool] = {}
        self._log = StateLog(channel='overload')

    def decide(
        self,
        request: OverloadRequest,
        views: Views,
        on_settled: Callable[[], None],
    ) -> tuple[WaitingTurn, OverloadDecision]:
        """Returns the turn of a new request and what to do with it.

        ``views`` returns the backlogs of the runners of the request's pool; it
        is called again whenever a turn may have come. A turn that starts must
        be passed to ``end_start`` once its request is placed or given up. One
        that waits must be passed to ``check`` after the decision's wait and
        after ``on_settled`` was called, or to ``cancel``.
        """
        pool = self._pool(request, views)
        now_ms = self._now_ms
        turn = WaitingTurn(
            request=request,
            on_settled=on_settled,
            is_returning=pool.returns.take_return(
                (request.account, request.route),
                now_ms,
            ),
        )
        load = self._load(pool)
        if load.share >= _SHORT_SHARE and load.misses(
            self._estimate, request.work, request.deadline_at_ms - now_ms
        ):
            return turn, self._refuse(pool, turn, OverloadReason.DEADLINE)
        pool.note_offered(request, now_ms)
        for label in pool.note_special(request, now_ms):
            self._metrics.increment('overload_arrivals', label)
        has_room = load.free_count > pool.starting_count
        if not pool.queue and has_room:
            pool.queue.usual.note(request.account, now_ms, request.cost_tokens)
        removed = pool.queue.add(turn)
        if removed is turn:
            return turn, self._refuse(pool, turn, OverloadReason.QUEUE_FULL)
        if removed is not None:
            removed.settle()
        self._serve(pool, load)
        return turn, self._decide_on(pool, turn, load)

    def check(self, turn: WaitingTurn) -> OverloadDecision:
        """Returns what to do with a request that has waited."""
        pool = self._pools[turn.request.pool]
        load = self._load(pool)
        if not turn.is_settled:
            self._serve(pool, load)
        return self._decide_on(pool, turn, load)

    def _decide_on(
        self,
        pool: OverloadPool,
        turn: WaitingTurn,
        load: PoolLoad,
    ) -> OverloadDecision:
        if turn.is_started:
            return OverloadDecision(action=OverloadAction.START)
        if turn.is_settled:
            return self._refuse(pool, turn, OverloadReason.QUEUE_FULL)
        reason = self._find_objection(pool, turn, load)
        if turn.is_started:
            return OverloadDecision(action=OverloadAction.START)
        if (
            reason is not None
            and self._prompt_excess_ms(pool, turn.request, load) is None
            and pool.may_probe(turn, load, self._now_ms)
        ):
            pool.credit.take_ahead()
            self._start(pool, turn)
            return OverloadDecision(action=OverloadAction.START)
        if reason is not None:
            pool.queue.remove(turn)
            return self._refuse(pool, turn, reason)
        excess_ms = self._prompt_excess_ms(pool, turn.request, load) or 0
        if excess_ms > 0 and pool.note_held(turn):
            self._metrics.increment('overload_held', 'prompts')
        return OverloadDecision(
            action=OverloadAction.WAIT,
            wait_ms=self._next_check_ms(pool, turn, load),
        )

    def cancel(self, turn: WaitingTurn) -> None:
        """Gives up a turn that waits or has started."""
        pool = self._pools[turn.request.pool]
        if turn.is_started:
            self.end_start(turn)
        elif not turn.is_settled:
            turn.is_settled = True
            pool.queue.remove(turn)

    def end_start(self, turn: WaitingTurn) -> None:
        """Ends a start, as its request now counts at its runner; idempotent."""
        if turn.is_started:
            turn.is_started = False
            self._pools[turn.request.pool].note_placed(turn.request)

    def note_end(self, name: str, held_ms: float) -> None:
        """Records that a request of a pool has left its runner."""
        pool = self._pools.get(name)
        if pool is None:
            return
        pool.credit.note_work(held_ms)
        if not pool.queue:
            pool.credit.note_end(load_share=1)
            return
        load = self._load(pool)
        self._serve(pool, load)
        if load.free_count <= pool.starting_count:
            pool.credit.note_end(load.share)
            self._serve(pool, load)

    def note_rejection(self, name: str) -> None:
        """Records that a full runner of a pool has rejected a request."""
        pool = self._pools.get(name)
        if pool is not None:
            pool.credit.note_rejection()

    def _pool(self, request: OverloadRequest, views: Views) -> OverloadPool:
        pool = self._pools.get(request.pool)
        if pool is None:
            pool = OverloadPool(
                name=request.pool,
                views=views,
                credit=StartCredit(
                    work_ms=request.goal_ms,
                    goal_ms=request.goal_ms,
                ),
                returns=ReturnSchedule(random_source=self._random),
            )
            self._pools[request.pool] = pool
        pool.views = views
        return pool

    def _load(self, pool: OverloadPool) -> PoolLoad:
        return load_of(pool.views(), self._now_ms)

    def _serve(self, pool: OverloadPool, load: PoolLoad) -> None:
        """Starts waiting requests in order while there is room or credit."""
        if not pool.queue:
            return
        now_ms = self._now_ms
        pool.credit.refill(
            now_ms,
            load.slot_count if pool.may_use_floor(load, now_ms) else 0,
            self._vm_count(),
        )
        while True:
            turn = next(
                (
                    head
                    for head in pool.heads(now_ms)
                    if self._may_start(pool, head, load)
                ),
                None,
            )
            if turn is None:
                break
            self._start(pool, turn)
        self._metrics.set_gauge('overload_waiting', self._waiting_count)

    def _start(self, pool: OverloadPool, turn: WaitingTurn) -> None:
        now_ms = self._now_ms
        pool.queue.start(turn)
        pool.note_started(turn.request, now_ms)
        turn.is_started = True
        turn.settle()
        waited_ms = now_ms - turn.request.arrival_ms
        pool.longest_wait_ms = max(pool.longest_wait_ms, waited_ms)
        self._metrics.record_ms('overload_wait', int(waited_ms))

    @property
    def _now_ms(self) -> int:
        return self._clock.monotonic_ms()

    @property
    def _waiting_count(self) -> int:
        return sum(len(pool.queue) for pool in self._pools.values())

    def _may_start(
        self, pool: OverloadPool, turn: WaitingTurn, load: PoolLoad
    ) -> bool:
        if not load.runners:
            return True
        now_ms = self._now_ms
        request = turn.request
        excess_ms = self._prompt_excess_ms(pool, request, load)
        if excess_ms is not None:
            return excess_ms <= 0
        reserved = pool.reserved_count(request, load, now_ms)
        if load.free_count > pool.starting_count + reserved:
            return True
        return pool.credit.take(1 - pool.precedence(request, now_ms))

    def _prompt_excess_ms(
        self,
        pool: OverloadPool,
        request: OverloadRequest,
        load: PoolLoad,
    ) -> float | None:
        """Returns in which time a prompt may be sent to a runner.

        Returns None if slots decide, because no runner of the cell has one or
        their paces are unknown.
        """
        room = self._rooms.room(load) if request.work.prompt_tokens else None
        if room is None or room.free_count <= pool.starting_count:
            return None
        if room.share(pool.starting_count) < _SHORT_SHARE:
            return 0
        queue_ms = room.wait_ms(pool.starting_tokens)
        return queue_ms - pool.prompt_limit_ms(request, self._now_ms)

    def _find_objection(
        self,
        pool: OverloadPool,
        turn: WaitingTurn,
        load: PoolLoad,
    ) -> OverloadReason | None:
        """Returns why a request is not to wait any longer, or None.

        Starts a request that was to be kept and cannot wait any longer.
        """
        request = turn.request
        now_ms = self._now_ms
        # Time at a runner; an unknown one may take half of the goal.
        first_ms = load.idle_event_ms(self._estimate, request.work)
        if first_ms is None:
            first_ms = min(pool.credit.work_ms, request.goal_ms / 2)
        # Prompts that take longer than the goal by themselves are late anyway.
        latest_ms = max(
            request.goal_at_ms,
            request.arrival_ms + first_ms * _LONG_PROMPT_FACTOR,
        )
        spare_ms = min(latest_ms, request.deadline_at_ms) - first_ms - now_ms
        if turn.is_kept:
            if spare_ms <= refusal_time_ms(request):
                pool.credit.take_ahead()
                self._start(pool, turn)
            return None
        interval_ms = pool.interval_ms(
            load, request.rank, now_ms, self._vm_count()
        )
        wait_ms = (pool.queue.count_ahead(turn) + 0.5) * interval_ms
        excess_ms = self._prompt_excess_ms(pool, request, load)
        ready_ms = max(wait_ms, excess_ms or 0)
        if now_ms + ready_ms + first_ms > request.deadline_at_ms:
            return OverloadReason.DEADLINE
        if wait_ms > max(spare_ms, 0):
            return OverloadReason.GOAL
        if now_ms < refuse_at_ms(request):
            return None
        # The queues at runners vary too much to promise a start.
        if (
            excess_ms is not None
            or wait_ms + interval_ms > spare_ms * _SURE_SHARE
        ):
            return OverloadReason.WAITED
        turn.is_kept = True
        return None

    def _next_check_ms(
        self,
        pool: OverloadPool,
        turn: WaitingTurn,
        load: PoolLoad,
    ) -> float:
        now_ms = self._now_ms
        left_ms = refuse_at_ms(turn.request) - now_ms
        if left_ms <= 0:
            left_ms = refusal_time_ms(turn.request)
        # The first one starts as soon as there is credit.
        excess_ms = self._prompt_excess_ms(pool, turn.request, load)
        if excess_ms is not None:
            return max(_MIN_CHECK_MS, min(left_ms, excess_ms))
        floor = pool.credit.floor_per_ms(load.slot_count, self._vm_count())
        if floor and pool.queue.first() is turn:
            missing = max(0, 1 - pool.credit.credit)
            left_ms = min(left_ms, missing / floor)
        return max(_MIN_CHECK_MS, left_ms)

    def _refuse(
        self,
        pool: OverloadPool,
        turn: WaitingTurn,
        reason: OverloadReason,
    ) -> OverloadDecision:
        request = turn.request
        turn.is_settled = True
        now_ms = self._now_ms
        load = self._load(pool)
        self._metrics.increment('overload_refusals', reason)
        pool.refused_count += 1
        pool.refused_ms = now_ms
        self._log_state(pool, load, reason)
        return OverloadDecision(
            action=OverloadAction.REFUSE,
            wait_ms=pool.returns.assign_ms(
                (request.account, request.route),
                now_ms=now_ms,
                left_ms=request.deadline_at_ms - now_ms,
                useful_ms=(request.goal_at_ms - now_ms) * _SURE_SHARE,
                interval_ms=pool.interval_ms(
                    load, request.rank, now_ms, self._vm_count()
                ),
            ),
            reason=reason,
        )

    def _log_state(
        self,
        pool: OverloadPool,
        load: PoolLoad,
        reason: OverloadReason,
    ) -> None:
        now_ms = self._now_ms
        if now_ms - pool.logged_ms < _LOG_INTERVAL_MS and pool.logged_ms:
            return
        self._log.changed(
            'overload',
            service=pool.name,
            refused=pool.refused_count,
            reason=reason,
            waiting=len(pool.queue),
            longest_wait_ms=int(pool.longest_wait_ms),
            taken=sum(load.counts),
            slots=load.slot_count,
            work_ms=int(pool.credit.work_ms),
            kinds_behind=len(pool.behind_kinds),
            accounts_in_excess=len(pool.excess_accounts),
            held_by_prompts=pool.held_count,
        )
        pool.end_log_interval(now_ms)
