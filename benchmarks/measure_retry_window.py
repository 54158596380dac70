"""Retries of a fleet whose runners fail for a while, in virtual time."""

import abc
import random
from collections import deque

import attrs

from benchmarks.rows import BenchmarkRow, BoundKind
from teaseldale.clock import BaseClock
from teaseldale.routing import RetryWindow

_SEED = 3
_VMS = 8
_SERVICE = 'service'
_REQUESTS_PER_SECOND = 150
_SECONDS = 60
_FAILING_S = (15, 35)  # runners fail most requests meanwhile
_FAILING_SHARE = 0.7
_USUAL_SHARE = 0.02
# Bounds of the fleet as its platform states them.
_SHARE = 0.2
_EXTRA = 56
_WINDOW_MS = 10_000
_MS_PER_SECOND = 1000
# A budget that is left unused costs requests that could have been served.
_LEAST_USED = 0.75


@attrs.define(kw_only=True)
class _SetClock(BaseClock):
    now_ms: int = 0

    def monotonic_ms(self) -> int:
        """Time that the run has set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """The same time; nothing here reads it."""
        return self.now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Is not waited for."""


@attrs.define(kw_only=True)
class RetryRun:
    """Times of requests, of failures and of allowed retries."""

    requests_ms: list[int] = attrs.field(factory=list)
    retries_ms: list[int] = attrs.field(factory=list)
    failure_count: int = 0

    @property
    def worst_ratio(self) -> float:
        """Most retries of a window, over what the bounds allow there."""
        ratios = [
            self._count(self.retries_ms, end_ms) / self._allowed(end_ms)
            for end_ms in self.retries_ms
        ]
        return max(ratios, default=0)

    @property
    def served_share(self) -> float:
        """Failed requests that were tried again."""
        return len(self.retries_ms) / self.failure_count

    def _allowed(self, end_ms: int) -> float:
        return _SHARE * self._count(self.requests_ms, end_ms) + _EXTRA

    def _count(self, times_ms: list[int], end_ms: int) -> int:
        first_ms = end_ms - _WINDOW_MS
        return sum(first_ms < time_ms <= end_ms for time_ms in times_ms)


def play(policy: 'BaseRetries') -> RetryRun:
    """Runs the workload; ``policy`` decides which failures are tried again."""
    drawn = random.Random(_SEED)
    clock = _SetClock()
    run = RetryRun()
    for number in range(_SECONDS * _REQUESTS_PER_SECOND):
        clock.now_ms = number * _MS_PER_SECOND // _REQUESTS_PER_SECOND
        run.requests_ms.append(clock.now_ms)
        second = clock.now_ms / _MS_PER_SECOND
        failing = _FAILING_S[0] <= second < _FAILING_S[1]
        share = _FAILING_SHARE if failing else _USUAL_SHARE
        vm_number = drawn.randrange(_VMS)
        has_failed = drawn.random() < share
        run.failure_count += has_failed
        policy.note_request(clock, vm_number)
        if has_failed and policy.may_retry(clock, vm_number):
            run.retries_ms.append(clock.now_ms)
    return run


class BaseRetries(abc.ABC):
    """Decides which failed requests are tried again."""

    def note_request(  # noqa: B027
        self,
        clock: BaseClock,
        vm_number: int,
    ) -> None:
        """Counts a request of a caller at a VM."""

    @abc.abstractmethod
    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Whether a VM may try a request again now."""


class SharedWindows(BaseRetries):
    """One window for each VM, as the product has them."""

    def __init__(self) -> None:
        """Opens no window yet."""
        self._windows: dict[int, RetryWindow] = {}

    def note_request(self, clock: BaseClock, vm_number: int) -> None:
        """Counts in the VM's window."""
        window = self._windows.get(vm_number)
        if window is None:
            window = RetryWindow(
                clock=clock,
                share=_SHARE,
                extra_count=_EXTRA,
                window_ms=_WINDOW_MS,
                vm_count=lambda: _VMS,
            )
            self._windows[vm_number] = window
        window.note_request(_SERVICE)

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Takes a retry of the VM's window."""
        return self._windows[vm_number].take_retry(_SERVICE)


class AlwaysRetries(BaseRetries):
    """Naive: every failure is tried again once."""

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Allows all."""
        return True


class WholeBudgetEach(BaseRetries):
    """Naive: each VM keeps the whole fleet's extra retries to itself."""

    def __init__(self) -> None:
        """Opens no window yet."""
        self._taken_ms: dict[int, deque[int]] = {}

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Allows the extra retries of a window at each VM."""
        now_ms = clock.monotonic_ms()
        taken = self._taken_ms.setdefault(vm_number, deque())
        while taken and taken[0] <= now_ms - _WINDOW_MS:
            taken.popleft()
        if len(taken) >= _EXTRA:
            return False
        taken.append(now_ms)
        return True


def deterministic_rows(quick: bool) -> list[BenchmarkRow]:
    """Plays the workload with the product's windows and two naive ones."""
    ours = play(SharedWindows())
    return [
        *(
            BenchmarkRow(
                name=f'retry_window.worst_window_{name}',
                unit='of the allowed retries',
                ours=ours.worst_ratio,
                naive=play(naive).worst_ratio,
                naive_name=name.replace('_', ' '),
                bound=1,
                deterministic=True,
                seed=_SEED,
            )
            for name, naive in (
                ('always', AlwaysRetries()),
                ('whole_budget_each', WholeBudgetEach()),
            )
        ),
        BenchmarkRow(
            name='retry_window.used',
            unit='of the allowed retries, worst window',
            ours=ours.worst_ratio,
            naive=None,
            bound=_LEAST_USED,
            bound_kind=BoundKind.AT_LEAST,
            deterministic=True,
            seed=_SEED,
        ),
    ]


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the same rows."""
    return deterministic_rows(quick)
