"""Group commit: concurrent submissions are sent as one batch."""

import abc
from collections.abc import Sequence
from typing import Generic, TypeVar

import anyio

_ItemT = TypeVar('_ItemT')
_OutcomeT = TypeVar('_OutcomeT')
_BATCH_LIMIT = 128


class BaseBatchSender(abc.ABC, Generic[_ItemT, _OutcomeT]):
    """Interface of a sender of batches."""

    @abc.abstractmethod
    async def send_batch(self, batch: Sequence[_ItemT]) -> list[_OutcomeT]:
        """Returns one outcome for each item; an error fails all items."""


class _Submission(Generic[_ItemT, _OutcomeT]):
    def __init__(self, item: _ItemT) -> None:
        self.item = item
        self.outcomes: list[_OutcomeT] = []
        self.error: Exception | None = None

    @property
    def done(self) -> bool:
        return bool(self.outcomes) or self.error is not None


class GroupCommit(Generic[_ItemT, _OutcomeT]):
    """Sends one batch at a time; items submitted meanwhile form the next."""

    def __init__(
        self,
        *,
        sender: BaseBatchSender[_ItemT, _OutcomeT],
    ) -> None:
        """Creates an empty queue whose batches ``sender`` sends."""
        self._sender = sender
        self._lock = anyio.Lock()
        self._queue: list[_Submission[_ItemT, _OutcomeT]] = []

    async def submit(self, item: _ItemT) -> _OutcomeT:
        """Returns the outcome of ``item``; raises the error of its batch."""
        submission: _Submission[_ItemT, _OutcomeT] = _Submission(item)
        self._queue.append(submission)
        async with self._lock:
            if not submission.done:
                await self._send_batch()
        if submission.error is not None:
            raise submission.error
        return submission.outcomes[0]

    async def _send_batch(self) -> None:
        batch = self._queue[:_BATCH_LIMIT]
        self._queue = self._queue[_BATCH_LIMIT:]
        try:
            outcomes = await self._sender.send_batch(
                [submission.item for submission in batch],
            )
        except Exception as error:
            for failed in batch:
                failed.error = error
            return
        except BaseException:
            self._queue = batch + self._queue
            raise
        for submission, outcome in zip(batch, outcomes, strict=True):
            submission.outcomes.append(outcome)
