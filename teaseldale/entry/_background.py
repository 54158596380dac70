"""Runs that go on when their callers have left."""

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
    """Starts runs and waits for their end."""

    def __init__(self, *, metrics: Metrics) -> None:
        """Nothing can be started before ``open``."""
        self._metrics = metrics
        self._tasks: TaskGroup | None = None
        self._count = 0
        self._ended = anyio.Event()
        self._log = StateLog(channel='entry')

    @property
    def count(self) -> int:
        """Runs that have not ended."""
        return self._count

    def open(self, tasks: TaskGroup) -> None:
        """Lets runs be started in ``tasks``."""
        self._tasks = tasks

    def start(
        self,
        run: Callable[[_JobT], Awaitable[None]],
        job: _JobT,
        answer: AnswerLog,
    ) -> None:
        """Runs ``job``; ``answer`` is ended also if the run breaks off."""
        if self._tasks is None:
            raise RuntimeError('Open the runs before starting one.')
        self._count += 1
        self._tasks.start_soon(self._guard, run, job, answer)

    async def wait(self) -> None:
        """Returns when no run is left."""
        while self._count:
            self._ended = anyio.Event()
            await self._ended.wait()

    async def _guard(
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
