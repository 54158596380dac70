"""Load of the runners of one service, as a VM sees it."""

import attrs

from teaseldale.routing._overload_estimate import BaseStartEstimate
from teaseldale.routing._runner_backlog import PlannedWork, RunnerBacklog


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

    def first_event_ms(
        self,
        estimate: BaseStartEstimate,
        work: PlannedWork,
    ) -> float | None:
        """Returns the shortest time to the first event of ``work``.

        Returns None if nothing is known about one of the runners.
        """
        return _shortest(
            [
                estimate.first_event_ms(
                    backlog.runner,
                    backlog.unread_tokens + backlog.remote_unread_tokens,
                    backlog.unread_tokens_of(work),
                    count,
                )
                for backlog, count in zip(
                    self.runners, self.counts, strict=True
                )
            ],
        )

    def idle_event_ms(
        self,
        estimate: BaseStartEstimate,
        work: PlannedWork,
    ) -> float | None:
        """Returns the same for runners without other requests."""
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


def load_of(runners: tuple[RunnerBacklog, ...], now_ms: int) -> PoolLoad:
    """Returns the load of those runners that are reachable."""
    reachable = tuple(
        backlog for backlog in runners if backlog.unreachable_until_ms <= now_ms
    )
    counts = tuple(backlog.load_count(now_ms) for backlog in reachable)
    return PoolLoad(
        runners=reachable,
        counts=counts,
        slot_count=sum(backlog.slot_count for backlog in reachable),
        free_count=sum(
            max(0, backlog.slot_count - count)
            for backlog, count in zip(reachable, counts, strict=True)
        ),
    )


def _shortest(times_ms: list[float | None]) -> float | None:
    known = [time_ms for time_ms in times_ms if time_ms is not None]
    return min(known) if known and len(known) == len(times_ms) else None
