"""Examinations of runners whose connections broke.

A broken connection is a crash only if its runner has ended. A probe may be lost
and the next process of a runner may listen before it, so a runner stays under
examination until it is decided what became of it. One examination covers all
requests that break at the same incarnation.
"""

from collections.abc import Callable

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.metrics import Metrics
from teaseldale.upstreams import ProbeOutcome, Suspect

_MS_PER_SECOND = 1000
# A host that runs answers within one round trip.
_PROBE_TIMEOUT_MS = 100
_FIRST_PAUSE_MS = 50  # between probes; doubles up to the longest pause
_LONGEST_PAUSE_MS = 400
# A crashed runner is back, or is known to be gone, within some seconds.
_EXAMINATION_MS = 10_000
# Interval at which the directory is searched for the runner's next incarnation.
_DIRECTORY_CHECK_MS = 50
# Requests under examination at the same time.
_MAX_REQUESTS = 5000


@attrs.frozen(kw_only=True)
class BrokenRequest:
    """A request whose connection to its runner broke."""

    suspects: tuple[Suspect, ...]  # the request and parts of its prompt
    running_ms: int  # from the start of the attempt to the break
    broken_ms: int  # monotonic


@attrs.define(kw_only=True)
class _Examination:
    runner: ForwardingRunner
    end_ms: int  # monotonic; later evidence does not count
    requests: list[BrokenRequest] = attrs.field(factory=list)
    has_ended: bool | None = None  # None until decided
    # Set once it is decided or a probe is answered; retries wait for it.
    answered: anyio.Event = attrs.field(factory=anyio.Event)


class BreakExaminations:
    """Finds out which broken connections are crashes of their runners."""

    def __init__(
        self,
        *,
        directory: RunnerDirectory,
        connections: RunnerConnectionPools,
        clock: BaseClock,
        metrics: Metrics,
        on_crash: Callable[[ForwardingRunner, BrokenRequest], None],
    ) -> None:
        """Calls ``on_crash`` for each request whose runner has ended."""
        self._directory = directory
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._on_crash = on_crash
        self._by_incarnation: dict[tuple[str, int], _Examination] = {}
        self._request_count = 0
        self._has_open = anyio.Event()
        self._tasks: TaskGroup | None = None

    @property
    def is_running(self) -> bool:
        """Returns whether any runner is under examination."""
        return bool(self._by_incarnation)

    def start(self, tasks: TaskGroup) -> None:
        """Lets examinations run in ``tasks``."""
        self._tasks = tasks
        tasks.start_soon(self._watch_directory)

    async def examine(
        self,
        runner: ForwardingRunner,
        request: BrokenRequest,
    ) -> None:
        """Waits until a probe is answered, for a short time.

        The decision may come later; the request counts even if its caller
        leaves in the meantime.
        """
        if self._tasks is None or self._request_count >= _MAX_REQUESTS:
            self._metrics.increment('broken_requests', 'not_examined')
            return
        examination = self._by_incarnation.get(runner.incarnation)
        if examination is None:
            examination = _Examination(
                runner=runner,
                end_ms=self._clock.monotonic_ms() + _EXAMINATION_MS,
            )
            self._by_incarnation[runner.incarnation] = examination
            self._has_open.set()
            self._tasks.start_soon(self._probe, examination)
        if examination.has_ended is not None:
            self._conclude(examination, request)
            return
        self._request_count += 1
        examination.requests.append(request)
        with anyio.move_on_after(_PROBE_TIMEOUT_MS / _MS_PER_SECOND):
            await examination.answered.wait()

    async def _probe(self, examination: _Examination) -> None:
        """Probes the runner until a probe is answered.

        An accepted probe decides nothing, as the next process of the runner
        may have accepted it.
        """
        pause_ms = _FIRST_PAUSE_MS
        while examination.has_ended is None:
            outcome = await self._connections.probe(
                examination.runner,
                _PROBE_TIMEOUT_MS,
            )
            if outcome is ProbeOutcome.ACCEPTED:
                examination.answered.set()
                return
            if outcome is ProbeOutcome.REFUSED:
                self._decide(examination, has_ended=True)
                return
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, _LONGEST_PAUSE_MS)

    async def _watch_directory(self) -> None:
        """Decides examinations by later entries, or once they are over."""
        while True:
            await self._has_open.wait()
            await self._clock.sleep_ms(_DIRECTORY_CHECK_MS)
            now_ms = self._clock.monotonic_ms()
            for examination in tuple(self._by_incarnation.values()):
                self._check(examination, is_over=now_ms >= examination.end_ms)
            if not self._by_incarnation:
                self._has_open = anyio.Event()

    def _check(self, examination: _Examination, *, is_over: bool) -> None:
        runner = examination.runner
        if examination.has_ended is None:
            is_replaced = self._directory.has_successor(runner)
            if is_replaced or is_over:
                self._decide(examination, has_ended=is_replaced)
        if is_over:
            self._by_incarnation.pop(runner.incarnation)

    def _decide(self, examination: _Examination, *, has_ended: bool) -> None:
        if examination.has_ended is not None:
            return
        examination.has_ended = has_ended
        examination.answered.set()
        for request in examination.requests:
            self._request_count -= 1
            self._conclude(examination, request)
        examination.requests.clear()

    def _conclude(
        self,
        examination: _Examination,
        request: BrokenRequest,
    ) -> None:
        self._metrics.increment(
            'broken_requests',
            'runner_ended' if examination.has_ended else 'runner_up',
        )
        if examination.has_ended:
            self._on_crash(examination.runner, request)
