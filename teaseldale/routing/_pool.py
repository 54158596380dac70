"""Upstreams of one version of a route, indexed by free slots."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from teaseldale.notes import Upstream

FAILURES_TO_SUSPEND = 2


@attrs.define(kw_only=True, eq=False)
class Runner:
    """State of one upstream as seen by this VM."""

    upstream: Upstream
    limit: int = 0  # slots that this VM may use now
    in_flight: int = 0  # requests in this VM's own slots
    lent_out: int = 0  # slots of this VM on loan to other VMs
    borrowed: int = 0  # requests of this VM in other VMs' slots
    refused_slots: bool = False  # the last renewal granted too few
    demand: int = 0  # requests that found no free slot here
    reported_running: int = 0  # requests of all VMs, as last reported
    own_at_report: int = 0  # requests of this VM at the report's time
    suspended_until_ms: int = 0  # monotonic; set by failures, else 0
    failure_count: int = 0  # since the last success
    leaving: bool = False  # draining; receives no new requests

    @property
    def name(self) -> str:
        """Name of the upstream, which identifies the runner."""
        return self.upstream.name

    @property
    def load(self) -> float:
        """Estimated utilization: 1 means that all slots are in use.

        Corrects the last report by this VM's current requests.
        """
        others = max(self.reported_running - self.own_at_report, 0)
        return (others + self.own_requests) / self.upstream.slot_count

    @property
    def own_requests(self) -> int:
        """Number of requests of this VM at the runner."""
        return self.in_flight + self.borrowed

    @property
    def used_slots(self) -> int:
        """Number of this VM's slots in use, including lent ones."""
        return self.in_flight + self.lent_out

    @property
    def is_idle(self) -> bool:
        """Whether no request or loan of this VM uses the runner."""
        return not (self.in_flight or self.lent_out or self.borrowed)

    @property
    def has_free_slot(self) -> bool:
        """Whether this VM may start a request at the runner now."""
        return (
            self.used_slots < self._effective_limit and self._accepts_requests
        )

    @property
    def may_get_slots(self) -> bool:
        """Whether the next renewal may raise this VM's limit."""
        return (
            self._accepts_requests
            and not self.refused_slots
            and self.limit < self.upstream.slot_count
        )

    @property
    def lacks_slot(self) -> bool:
        """Whether the lack of a slot alone prevents a new request."""
        return (
            self.used_slots >= self.limit
            and self.limit < self.upstream.slot_count
            and self._accepts_requests
        )

    @property
    def _accepts_requests(self) -> bool:
        return not self.leaving and not self.suspended_until_ms

    @property
    def _effective_limit(self) -> int:
        if self.failure_count >= FAILURES_TO_SUSPEND:
            return min(self.limit, 1)
        return self.limit


class RunnerSet:
    """Set of runners with constant-time removal and indexed access."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self.members: list[Runner] = []
        self._positions: dict[str, int] = {}

    def __contains__(self, runner: Runner) -> bool:
        """Whether the runner is a member."""
        return runner.name in self._positions

    def __len__(self) -> int:
        """Number of members."""
        return len(self.members)

    def add(self, runner: Runner) -> None:
        """Adds a runner, which must not be a member yet."""
        self._positions[runner.name] = len(self.members)
        self.members.append(runner)

    def remove(self, runner: Runner) -> None:
        """Removes a member and moves the last one to its position."""
        position = self._positions.pop(runner.name)
        last = self.members.pop()
        if last is not runner:
            self.members[position] = last
            self._positions[last.name] = position


class UpstreamPool:
    """Runners of one version of one route."""

    def __init__(self, *, runners: Iterable[Runner]) -> None:
        """Creates a pool of ``runners`` and indexes them."""
        self.runners = {runner.name: runner for runner in runners}
        self.names: Sequence[str] = sorted(self.runners)
        self.free = RunnerSet()
        self._free_by_zone: dict[str, RunnerSet] = {}
        self.limit_slots = 0  # sum of the limits of non-leaving runners
        self.free_slots = 0  # unused slots of free runners
        self.mean_hold_ms: float = 0  # moving average of slot holding time
        self._indexed_slots: dict[str, tuple[int, int]] = {}
        for runner in self.runners.values():
            self.update(runner)

    def __iter__(self) -> Iterator[Runner]:
        """Iterates over all runners, free or not."""
        return iter(self.runners.values())

    def free_in(self, zone: str) -> RunnerSet:
        """Returns the free runners of an availability zone."""
        return self._free_by_zone.setdefault(zone, RunnerSet())

    def update(self, runner: Runner) -> None:
        """Updates the indexes after a change of the runner's state."""
        is_free = runner.has_free_slot
        if is_free != (runner in self.free):
            self._set_free(runner, is_free=is_free)
        free = runner.limit - runner.used_slots if is_free else 0
        limit = 0 if runner.leaving else runner.limit
        counted_limit, counted_free = self._indexed_slots.get(
            runner.name, (0, 0)
        )
        self.limit_slots += limit - counted_limit
        self.free_slots += free - counted_free
        self._indexed_slots[runner.name] = (limit, free)

    def _set_free(self, runner: Runner, *, is_free: bool) -> None:
        for members in (
            self.free,
            self.free_in(runner.upstream.availability_zone),
        ):
            if is_free:
                members.add(runner)
            else:
                members.remove(runner)
