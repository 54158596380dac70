"""Client of the table service over HTTP and JSON."""

from urllib.parse import urlencode

import attrs
import msgspec

from teaseldale.metrics import Metrics
from teaseldale.outcomes import Step
from teaseldale.tables._http_client import PlatformHttpClient
from teaseldale.tables._table import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    Transaction,
)


@attrs.frozen(kw_only=True)
class CommitAnswer:
    """Response of the table service to a transaction."""

    revision: int | None  # None on a conflict
    conflicts: tuple[Row, ...]  # current rows whose checks failed


_commit_decoder = msgspec.json.Decoder(CommitAnswer)
_row_decoder: msgspec.json.Decoder[Row | None] = msgspec.json.Decoder(
    Row | None,
)
_rows_decoder = msgspec.json.Decoder(tuple[Row, ...])


class HttpTableService(BaseTableService):
    """Commits transactions and reads rows over HTTP."""

    def __init__(
        self,
        *,
        base_url: str,
        timeout_ms: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Creates a client that times out calls after ``timeout_ms``."""
        self._client = PlatformHttpClient(
            base_url=base_url,
            timeout_ms=timeout_ms,
            metrics=metrics,
        )

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Sends the transaction once, without retries."""
        body = await self._client.call(
            step=Step.TABLE_COMMIT,
            method='POST',
            path='/table/transactions',
            body=transaction,
        )
        answer = self._client.decode(
            Step.TABLE_COMMIT,
            body,
            _commit_decoder,
        )
        if answer.revision is None:
            return Conflicted(rows=answer.conflicts)
        return Committed(revision=answer.revision)

    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""
        query = urlencode({'table': table, 'key': key})
        body = await self._client.call(
            step=Step.TABLE_READ,
            method='GET',
            path=f'/table/row?{query}',
        )
        return self._client.decode(Step.TABLE_READ, body, _row_decoder)

    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns the rows changed after a revision, oldest first."""
        query = urlencode(
            {
                'table': table,
                'prefix': prefix,
                'after_revision': after_revision,
            }
        )
        body = await self._client.call(
            step=Step.TABLE_READ,
            method='GET',
            path=f'/table/rows?{query}',
        )
        return self._client.decode(Step.TABLE_READ, body, _rows_decoder)
