"""Load of the runners of one service, as a VM sees it."""

import statistics

import attrs

from teaseldale.routing._overload_estimate import BaseStartEstimate
from teaseldale.routing._overload_prompts import PromptQueue, PromptRoom
from teaseldale.routing._runner_backlog import PlannedWork, RunnerBacklog

_PACE_TOKENS = 1000  # prompt for which the pace of a runner is estimated


@attrs.frozen(kw_only=True)
class PoolLoad:
    """Reachable runners with their slots and requests."""

    runners: tuple[RunnerBacklog, ...]
    counts: tuple[int, ...]  # requests at each runner
    slot_count: int
    free_count: int  # slots that are not taken

    @property
    def share(self) -> float:
        """Returns the requests per slot; above 1 if some wait at runners."""
        return sum(self.counts) / max(1, self.slot_count)

    def only(self, names: frozenset[str]) -> 'PoolLoad':
        """Returns the load of those runners, or of all if there is none."""
        kept = [
            (backlog, count)
            for backlog, count in zip(self.runners, self.counts, strict=True)
            if backlog.runner in names
        ]
        if not kept or len(kept) == len(self.runners):
            return self
        runners, counts = zip(*kept, strict=True)
        return _load(runners, counts)

    def prompt_room(self, estimate: BaseStartEstimate) -> PromptRoom | None:
        """Returns the prompts that wait at the runners with a free slot.

        Runners of which nothing is known are taken for typical. Returns None
        if there is no free slot or if nothing is known about any runner.
        """
        paces = [
            estimate.first_event_ms(backlog.runner, 0, _PACE_TOKENS, count)
            for backlog, count in zip(self.runners, self.counts, strict=True)
        ]
        known = [pace for pace in paces if pace is not None]
        if not known or not self.free_count:
            return None
        typical = statistics.median(known)
        durations = [typical if pace is None else pace for pace in paces]
        return PromptRoom(
            free_count=self.free_count,
            taken_count=sum(self.counts),
            slot_count=self.slot_count,
            queues=tuple(
                PromptQueue(
                    tokens=backlog.unread_tokens + backlog.remote_unread_tokens,
                    token_ms=duration / _PACE_TOKENS,
                )
                for backlog, count, duration in zip(
                    self.runners, self.counts, durations, strict=True
                )
                if count < backlog.slot_count
            ),
        )

    def idle_event_ms(
        self,
        estimate: BaseStartEstimate,
        work: PlannedWork,
    ) -> float | None:
        """Returns the shortest time to the first event at an idle runner.

        Returns None if nothing is known about one of the runners.
        """
        return _shortest(
            [
                estimate.first_event_ms(
                    backlog.runner,
                    0,
                    backlog.unread_tokens_of(work),
                    0,
                )
                for backlog in self.runners
            ],
        )

    def misses(
        self,
        estimate: BaseStartEstimate,
        work: PlannedWork,
        left_ms: float,
    ) -> bool:
        """Returns whether even an idle runner would need more than a time."""
        first_ms = self.idle_event_ms(estimate, work)
        return bool(self.runners) and (first_ms or 0) > left_ms


def _load(
    runners: tuple[RunnerBacklog, ...], counts: tuple[int, ...]
) -> PoolLoad:
    return PoolLoad(
        runners=runners,
        counts=counts,
        slot_count=sum(backlog.slot_count for backlog in runners),
        free_count=sum(
            max(0, backlog.slot_count - count)
            for backlog, count in zip(runners, counts, strict=True)
        ),
    )


def load_of(runners: tuple[RunnerBacklog, ...], now_ms: int) -> PoolLoad:
    """Returns the load of those runners that are reachable."""
    reachable = tuple(
        backlog for backlog in runners if backlog.unreachable_until_ms <= now_ms
    )
    counts = tuple(backlog.load_count(now_ms) for backlog in reachable)
    return _load(reachable, counts)


def _shortest(times_ms: list[float | None]) -> float | None:
    known = [time_ms for time_ms in times_ms if time_ms is not None]
    return min(known) if known and len(known) == len(times_ms) else None
