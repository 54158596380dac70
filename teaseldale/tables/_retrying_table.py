"""Table service client that retries failed calls."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.tables._table import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    Transaction,
)

_ATTEMPTS = 3
_FIRST_DELAY_MS = 50
_LONGEST_DELAY_MS = 2000
_ResultT = TypeVar('_ResultT')


class RetryingTableService(BaseTableService):
    """Retries each call a bounded number of times, with back-off.

    A transaction keeps its id across attempts, so that it takes effect once
    even if an answer was lost. When the last attempt fails, ``PlatformError``
    is raised, and each later call gets a single attempt until the service
    answers again.
    """

    def __init__(
        self,
        *,
        table: BaseTableService,
        clock: BaseClock,
        metrics: Metrics,
        random_source: random.Random,
        attempts: int = _ATTEMPTS,
    ) -> None:
        """Creates a client with up to ``attempts`` attempts for each call."""
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._attempts = attempts
        self._failed_since_ms: int | None = None
        self._in_outage = False

    @property
    def available(self) -> bool:
        """False from a call that used up its attempts until one succeeds."""
        return not self._in_outage

    @property
    def outage_ms(self) -> int:
        """Milliseconds since the first of the current consecutive failures.

        0 if the last attempt succeeded.
        """
        if self._failed_since_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._failed_since_ms

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Sends the transaction, with retries."""
        return await self._retry(lambda: self._table.commit(transaction))

    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""
        return await self._retry(
            lambda: self._table.read(table=table, key=key),
        )

    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns the rows changed after a revision, oldest first."""
        return await self._retry(
            lambda: self._table.scan(
                table=table,
                prefix=prefix,
                after_revision=after_revision,
            ),
        )

    async def _retry(
        self,
        call: Callable[[], Awaitable[_ResultT]],
    ) -> _ResultT:
        attempts = 1 if self._in_outage else self._attempts
        for attempt in range(1, attempts):
            try:
                return self._record_success(await call())
            except PlatformError as error:
                self._record_failure(error)
            await self._clock.sleep_ms(self._delay_ms(attempt))
        try:
            return self._record_success(await call())
        except PlatformError as last_error:
            self._record_failure(last_error)
            self._in_outage = True
            raise

    def _record_success(self, answer: _ResultT) -> _ResultT:
        self._failed_since_ms = None
        self._in_outage = False
        return answer

    def _record_failure(self, error: PlatformError) -> None:
        if self._failed_since_ms is None:
            self._failed_since_ms = self._clock.monotonic_ms()
        self._metrics.increment('table_retries', error.reason)

    def _delay_ms(self, attempt: int) -> float:
        upper_bound_ms = min(_LONGEST_DELAY_MS, _FIRST_DELAY_MS * 2**attempt)
        return self._random.uniform(upper_bound_ms / 2, upper_bound_ms)
