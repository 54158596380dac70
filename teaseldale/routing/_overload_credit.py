"""How many requests a VM may start while it sees no free slot.

The reports of runners are old compared with short work, and a VM sees only a
part of the load. It therefore replaces its own requests as they end, fewer the
longer the queues of the runners are, and always may use a part of its even
share of the runners. The latter cannot overload them, and shows when the
shortage is over.
"""

import math

import attrs

_MAX_CREDIT = 2.0
# Part of a VM's even share of the runners that it may use without free slots.
_FLOOR_SHARE = 0.6
_WORK_WEIGHT = 0.1  # of the newest sample in the moving average
_RATE_MS = 500  # time constant of the start rate
# Queue at runners, in relation to their slots, that keeps slots of short work
# occupied between two requests.
_MAX_QUEUE_SHARE = 0.5
_QUEUE_GOAL_SHARE = 0.125  # of the goal that may be spent in that queue


@attrs.define(kw_only=True)
class DecayingCount:
    """A count that decays with the time constant of rates."""

    _count: float = 0
    _noted_ms: float = 0

    def add(self, now_ms: float) -> None:
        """Adds one."""
        self._count = self.at(now_ms) + 1
        self._noted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Returns the count at a time."""
        return self._count * math.exp((self._noted_ms - now_ms) / _RATE_MS)


@attrs.define(kw_only=True)
class StartCredit:
    """Credit of a VM for starts at the runners of one service."""

    work_ms: float  # mean time of a request at a runner; the goal at first
    goal_ms: float
    credit: float = _MAX_CREDIT
    _has_work: bool = attrs.field(default=False, init=False)
    _refilled_ms: float | None = attrs.field(default=None, init=False)
    _starts: dict[int, DecayingCount] = attrs.field(factory=dict, init=False)

    def refill(self, now_ms: float, slot_count: int, vm_count: int) -> None:
        """Adds the credit of the time since the last call."""
        if self._refilled_ms is not None:
            elapsed_ms = now_ms - self._refilled_ms
            self._add(elapsed_ms * self.floor_per_ms(slot_count, vm_count))
        self._refilled_ms = now_ms

    def floor_per_ms(self, slot_count: int, vm_count: int) -> float:
        """Returns the starts per ms that are always allowed."""
        share = _FLOOR_SHARE * slot_count / max(1, vm_count)
        return share / max(1, self.work_ms)

    def note_work(self, held_ms: float) -> None:
        """Updates the mean time of a request at a runner."""
        if self._has_work:
            self.work_ms += _WORK_WEIGHT * (held_ms - self.work_ms)
        else:
            self.work_ms = held_ms
            self._has_work = True

    def note_end(self, load_share: float) -> None:
        """Adds credit for a request that ended; ``load_share`` is per slot."""
        self._add(min(1, self.target_share / max(load_share, 1)))

    def note_rejection(self) -> None:
        """Removes all credit: the queue of a runner is full."""
        self.credit = min(self.credit, 0)

    def take(self, reserve: float = 0) -> bool:
        """Takes credit for one start; returns whether there was enough.

        ``reserve`` (0 to 1) is the credit that must be left afterwards.
        """
        if self.credit < 1 + reserve:
            return False
        self.credit -= 1
        return True

    def take_ahead(self) -> None:
        """Takes credit for one start that cannot wait any longer."""
        self.credit = max(self.credit - 1, -_MAX_CREDIT)

    def note_start(self, now_ms: float, rank: int) -> None:
        """Counts a start."""
        self._starts.setdefault(rank, DecayingCount()).add(now_ms)

    def start_rate_per_ms(self, now_ms: float, rank: int) -> float:
        """Returns the recent starts per ms of a rank and less urgent ones."""
        starts = sum(
            count.at(now_ms)
            for other, count in self._starts.items()
            if other >= rank
        )
        return starts / _RATE_MS

    @property
    def target_share(self) -> float:
        """Returns the requests per slot that keep the slots occupied."""
        queue_ms = self.goal_ms * _QUEUE_GOAL_SHARE
        return 1 + min(_MAX_QUEUE_SHARE, queue_ms / max(1, self.work_ms))

    def _add(self, amount: float) -> None:
        self.credit = min(_MAX_CREDIT, self.credit + amount)
