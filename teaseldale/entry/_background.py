"""Background runs, which continue after their callers disconnect."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup

from teaseldale.answers import AnswerLog
from teaseldale.entry._refusals import run_failed
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics

_JobT = TypeVar('_JobT')


class BackgroundRuns:
    """Starts background runs and waits until all have ended."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Creates a runner; ``open`` has to be called before ``start``."""
        self._metrics = metrics
        self._tasks: TaskGroup | None = None
        self._count = 0
        self._ended = anyio.Event()
        self._log = StateLog(channel='entry')

    @property
    def count(self) -> int:
        """Number of active runs."""
        return self._count

    def open(self, tasks: TaskGroup) -> None:
        """Sets the task group in which runs are started."""
        self._tasks = tasks

    def start(
        self,
        run: Callable[[_JobT], Awaitable[None]],
        job: _JobT,
        answer: AnswerLog,
    ) -> None:
        """Runs ``job``; fails ``answer`` if the run raises an exception."""
        if self._tasks is None:
            raise RuntimeError('Open the runs before starting one.')
        self._count += 1
        self._tasks.start_soon(self._run_guarded, run, job, answer)

    async def wait(self) -> None:
        """Waits until no run is active."""
        while self._count:
            self._ended = anyio.Event()
            await self._ended.wait()

    async def _run_guarded(
        self,
        run: Callable[[_JobT], Awaitable[None]],
        job: _JobT,
        answer: AnswerLog,
    ) -> None:
        try:
            await run(job)
        except Exception as error:
            self._fail(answer, error)
        finally:
            self._count -= 1
            self._ended.set()

    def _fail(self, answer: AnswerLog, error: Exception) -> None:
        reason = type(error).__name__
        self._metrics.increment('runs_broken_off', reason)
        self._log.changed('run_broken_off', reason=reason, text=str(error))
        if not answer.ended:
            answer.fail(run_failed())
