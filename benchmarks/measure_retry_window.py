"""Retries of a fleet during a runner outage, in virtual time."""

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
_FAILING_S = (15, 35)  # interval in which runners fail most requests
_FAILING_SHARE = 0.7
_USUAL_SHARE = 0.02
# Retry limits of the fleet, as the platform states them.
_RETRY_SHARE = 0.2
_EXTRA_RETRIES = 56
_WINDOW_MS = 10_000
_MS_PER_SECOND = 1000
# Unused retry budget means failed requests that could have been served.
_LEAST_USED = 0.75


@attrs.define(kw_only=True)
class _ManualClock(BaseClock):
    now_ms: int = 0

    def monotonic_ms(self) -> int:
        """Returns the time that the run has set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """Returns the same time; the measurement does not use it."""
        return self.now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Returns immediately; the run sets the time."""


@attrs.define(kw_only=True)
class RetryRun:
    """Times of requests and allowed retries, and the number of failures."""

    requests_ms: list[int] = attrs.field(factory=list)
    retries_ms: list[int] = attrs.field(factory=list)
    failure_count: int = 0

    @property
    def worst_ratio(self) -> float:
        """Largest ratio of retries to allowed retries in any window."""
        ratios = [
            self._count(self.retries_ms, end_ms) / self._allowed(end_ms)
            for end_ms in self.retries_ms
        ]
        return max(ratios, default=0)

    @property
    def served_share(self) -> float:
        """Share of the failed requests that were retried."""
        return len(self.retries_ms) / self.failure_count

    def _allowed(self, end_ms: int) -> float:
        return (
            _RETRY_SHARE * self._count(self.requests_ms, end_ms)
            + _EXTRA_RETRIES
        )

    def _count(self, times_ms: list[int], end_ms: int) -> int:
        first_ms = end_ms - _WINDOW_MS
        return sum(first_ms < time_ms <= end_ms for time_ms in times_ms)


def run_workload(policy: 'BaseRetries') -> RetryRun:
    """Runs the workload; ``policy`` decides which failures are retried."""
    rng = random.Random(_SEED)
    clock = _ManualClock()
    run = RetryRun()
    for number in range(_SECONDS * _REQUESTS_PER_SECOND):
        clock.now_ms = number * _MS_PER_SECOND // _REQUESTS_PER_SECOND
        run.requests_ms.append(clock.now_ms)
        second = clock.now_ms / _MS_PER_SECOND
        failing = _FAILING_S[0] <= second < _FAILING_S[1]
        share = _FAILING_SHARE if failing else _USUAL_SHARE
        vm_number = rng.randrange(_VMS)
        has_failed = rng.random() < share
        run.failure_count += has_failed
        policy.note_request(clock, vm_number)
        if has_failed and policy.may_retry(clock, vm_number):
            run.retries_ms.append(clock.now_ms)
    return run


class BaseRetries(abc.ABC):
    """Policy that decides which failed requests are retried."""

    def note_request(  # noqa: B027
        self,
        clock: BaseClock,
        vm_number: int,
    ) -> None:
        """Counts a caller's request at a VM."""

    @abc.abstractmethod
    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Returns whether a VM may retry a request now."""


class SharedWindows(BaseRetries):
    """The product's policy: one retry window per VM."""

    def __init__(self) -> None:
        """Creates the policy without any state."""
        self._windows: dict[int, RetryWindow] = {}

    def note_request(self, clock: BaseClock, vm_number: int) -> None:
        """Counts the request in the VM's window."""
        window = self._windows.get(vm_number)
        if window is None:
            window = RetryWindow(
                clock=clock,
                share=_RETRY_SHARE,
                extra_count=_EXTRA_RETRIES,
                window_ms=_WINDOW_MS,
                vm_count=lambda: _VMS,
            )
            self._windows[vm_number] = window
        window.note_request(_SERVICE)

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Takes a retry from the VM's window, if one is left."""
        return self._windows[vm_number].take_retry(_SERVICE)


class AlwaysRetries(BaseRetries):
    """Naive policy: every failure is retried once."""

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Allows every retry."""
        return True


class WholeBudgetEach(BaseRetries):
    """Naive policy: each VM uses the extra retries of the whole fleet."""

    def __init__(self) -> None:
        """Creates the policy without any state."""
        self._recent_retries_ms: dict[int, deque[int]] = {}

    def may_retry(self, clock: BaseClock, vm_number: int) -> bool:
        """Allows the fleet's extra retries of a window at each VM."""
        now_ms = clock.monotonic_ms()
        recent_ms = self._recent_retries_ms.setdefault(vm_number, deque())
        while recent_ms and recent_ms[0] <= now_ms - _WINDOW_MS:
            recent_ms.popleft()
        if len(recent_ms) >= _EXTRA_RETRIES:
            return False
        recent_ms.append(now_ms)
        return True


def deterministic_rows(quick: bool) -> list[BenchmarkRow]:
    """Runs the workload with the product's policy and two naive ones."""
    ours = run_workload(SharedWindows())
    return [
        *(
            BenchmarkRow(
                name=f'retry_window.worst_window_{name}',
                unit='of the allowed retries',
                ours=ours.worst_ratio,
                naive=run_workload(naive).worst_ratio,
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
    """Returns the deterministic rows; there are no others."""
    return deterministic_rows(quick)
