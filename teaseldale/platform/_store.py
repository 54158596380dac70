"""Client of the platform's metadata store."""

import base64
import binascii
from urllib.parse import urlencode

import msgspec

from teaseldale.forwarding import Address
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Step
from teaseldale.tables import (
    BaseHttpExchange,
    BaseRowFeed,
    BaseTableService,
    Committed,
    Conflicted,
    HistoryLostError,
    HttpReply,
    PlatformHttpClient,
    Row,
    RowChanges,
    RowCheck,
    RowWrite,
    StoreEras,
    Transaction,
)

# The store answers within a few ms. After this time the answer is considered
# lost, and a new connection is used.
_CALL_TIMEOUT_MS = 800
_CONNECT_TIMEOUT_MS = 400
# Margin on the wait of a feed request, after which the connection is dropped.
_FEED_SLACK_MS = 500
# The platform allows 30 s, but a dead connection goes unnoticed until the wait
# ends.
_LONGEST_FEED_WAIT_MS = 10_000

_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_CONFLICT = 412
# Rises by one each time the store returns from an older copy.
_ERA_HEADER = b'store-era'
_ERA_DIGITS = 15  # more do not occur within a store's life
_TABLE = 'Table'
_PART = 'part'


class _RowRecord(msgspec.Struct):
    table: str = msgspec.field(name='Table')
    key: str = msgspec.field(name='Key')
    # Revision of the transaction that last wrote the row. The platform calls it
    # a schema version, but it is unrelated to any schema.
    revision: int = msgspec.field(name='SchemaVersion')
    encoded: str | None = msgspec.field(name='Value', default=None)
    is_removed: bool = msgspec.field(name='Deleted', default=False)


class _RowsAnswer(msgspec.Struct):
    # Latest revision of the store, also set if there are no rows.
    revision: int = msgspec.field(name='SchemaVersion', default=0)
    rows: list[_RowRecord] = msgspec.field(name='Rows', default_factory=list)
    has_more: bool = msgspec.field(name='HasMore', default=False)
    # Monotonic clock of the store.
    store_ms: float = msgspec.field(name='NowMs', default=0)


_rows_decoder = msgspec.json.Decoder(_RowsAnswer)


class PlatformStore(BaseTableService, BaseRowFeed):
    """Commits, reads and follows rows of the platform's store.

    The store does not recognize transaction ids: a transaction whose answer was
    lost may have been committed, or may be committed later if its checks still
    hold. Callers must read the rows again.
    """

    def __init__(
        self,
        *,
        calls: BaseHttpExchange,
        feeds: BaseHttpExchange,
    ) -> None:
        """Uses ``feeds`` for long polls and ``calls`` for all other calls."""
        self._calls = calls
        self._feeds = feeds
        self._log = StateLog(channel='store')
        self.eras = StoreEras()

    @classmethod
    def at(cls, address: Address, metrics: Metrics) -> 'PlatformStore':
        """Creates a client of the store that listens at ``address``."""
        base_url = f'http://{address}'
        return cls(
            calls=PlatformHttpClient(
                base_url=base_url,
                timeout_ms=_CALL_TIMEOUT_MS,
                connect_timeout_ms=_CONNECT_TIMEOUT_MS,
                metrics=metrics,
            ),
            feeds=PlatformHttpClient(
                base_url=base_url,
                timeout_ms=_CALL_TIMEOUT_MS,
                connect_timeout_ms=_CONNECT_TIMEOUT_MS,
                metrics=metrics,
            ),
        )

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Sends the transaction once, without retries."""
        reply = await self._calls.exchange(
            step=Step.TABLE_COMMIT,
            method='POST',
            path='/-/rows-tx',
            body=_encode_transaction(transaction),
        )
        era = self._observe_era(reply, Step.TABLE_COMMIT)
        if reply.status not in {_STATUS_OK, _STATUS_CONFLICT}:
            raise self._calls.failed(
                Step.TABLE_COMMIT, f'status {reply.status}'
            )
        answer = self._decode(reply, Step.TABLE_COMMIT)
        if reply.status == _STATUS_CONFLICT:
            return Conflicted(rows=tuple(map(_row_of, answer.rows)), era=era)
        return Committed(
            revision=answer.revision,
            store_ms=int(answer.store_ms),
            era=era,
        )

    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""
        changes = await self._read_range(table, key, f'{key}\0')
        return changes.rows[0] if changes.rows else None

    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns the rows changed after a revision, without deleted ones."""
        changes = await self._read_range(table, prefix, '')
        return tuple(
            row
            for row in changes.rows
            if row.key.startswith(prefix) and row.revision > after_revision
        )

    async def read_all(self, table: str, *, part: str = '') -> RowChanges:
        """Returns all rows of a table's part, at the first page's revision.

        A feed that starts there also reports changes made between the pages.
        """
        return await self._read_range(table, '', '', part=part)

    async def wait_for_changes(
        self,
        table: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> RowChanges:
        """Returns changes as soon as there are any, or after ``wait_ms``.

        The wait is at most 10 s. Raises ``HistoryLostError`` if the store no
        longer has all changes.
        """
        bounded_wait_ms = min(wait_ms, _LONGEST_FEED_WAIT_MS)
        query = urlencode(
            {
                _TABLE: table,
                'AfterRevision': after_revision,
                'WaitMs': bounded_wait_ms,
            }
        )
        reply = await self._feeds.exchange(
            step=Step.TABLE_READ,
            method='GET',
            path=f'/-/rows-feed?{query}',
            timeout_ms=bounded_wait_ms + _FEED_SLACK_MS,
        )
        era = self._observe_era(reply, Step.TABLE_READ)
        if reply.status == _STATUS_GONE:
            raise HistoryLostError(
                step=Step.TABLE_READ,
                peer='store',
                reason='history lost',
            )
        answer = self._decode_rows(reply)
        return RowChanges(
            rows=tuple(map(_row_of, answer.rows)),
            revision=answer.revision,
            store_ms=int(answer.store_ms),
            received_bytes=len(reply.content),
            era=era,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._calls.close()
        await self._feeds.close()

    async def _read_range(
        self,
        table: str,
        first_key: str,
        end_key: str,
        *,
        part: str = '',
    ) -> RowChanges:
        rows: list[Row] = []
        first: RowChanges | None = None
        received_bytes = 0
        while True:
            query = {_TABLE: table, _PART: part, 'From': first_key}
            if end_key:
                # The platform's name for the end of a key range.
                query['Target'] = end_key
            page, has_more = await self._read_page(urlencode(query))
            first = first or page
            # Pages of two eras do not make one table.
            self.eras.require_current(first.era, Step.TABLE_READ)
            rows.extend(page.rows)
            received_bytes += page.received_bytes
            if not (has_more and page.rows):
                return RowChanges(
                    rows=tuple(rows),
                    revision=first.revision,
                    store_ms=page.store_ms,
                    received_bytes=received_bytes,
                    era=first.era,
                )
            last_key = page.rows[-1].key
            first_key = f'{last_key}\0'

    async def _read_page(self, query: str) -> tuple[RowChanges, bool]:
        """Returns one page and whether more pages follow."""
        reply = await self._calls.exchange(
            step=Step.TABLE_READ,
            method='GET',
            path=f'/-/rows-get?{query}',
        )
        era = self._observe_era(reply, Step.TABLE_READ)
        answer = self._decode_rows(reply)
        page = RowChanges(
            rows=tuple(map(_row_of, answer.rows)),
            revision=answer.revision,
            store_ms=int(answer.store_ms),
            received_bytes=len(reply.content),
            era=era,
        )
        return page, answer.has_more

    def _observe_era(self, reply: HttpReply, step: Step) -> int:
        """Returns the era of an answer; the known one if it has none.

        Raises ``EraChangedError`` if that era is over.
        """
        for name, text in reply.headers:
            if name.lower() != _ERA_HEADER:
                continue
            if text.isdigit() and len(text) <= _ERA_DIGITS:
                self.eras.observe(int(text))
                self.eras.require_current(int(text), step)
                return int(text)
            self._log.changed('store_era_unreadable', header=repr(text))
        return self.eras.current

    def _decode_rows(self, reply: HttpReply) -> _RowsAnswer:
        if reply.status != _STATUS_OK:
            raise self._calls.failed(Step.TABLE_READ, f'status {reply.status}')
        return self._decode(reply, Step.TABLE_READ)

    def _decode(self, reply: HttpReply, step: Step) -> _RowsAnswer:
        return self._calls.decode(step, reply.content, _rows_decoder)


def _row_of(record: _RowRecord) -> Row:
    encoded = None if record.is_removed else record.encoded
    return Row(
        table=record.table,
        key=record.key,
        revision=record.revision,
        value=None if encoded is None else _decode_value(encoded),
    )


def _decode_value(encoded: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except binascii.Error:
        # The empty value fails to decode later, where the error can be
        # reported with the row's key.
        return b''


def _encode_transaction(transaction: Transaction) -> object:
    part = transaction.part
    return {
        'Expect': [_encode_check(part, check) for check in transaction.checks],
        'Put': [
            _encode_write(part, write, write.value)
            for write in transaction.writes
            if write.value is not None
        ],
        'Remove': [
            _encode_key(part, write.table, write.key)
            for write in transaction.writes
            if write.value is None
        ],
    }


def _encode_check(part: str, check: RowCheck) -> dict[str, object]:
    return {
        **_encode_key(part, check.table, check.key),
        'SchemaVersion': check.revision,
    }


def _encode_write(
    part: str,
    write: RowWrite,
    content: bytes,
) -> dict[str, object]:
    return {
        **_encode_key(part, write.table, write.key),
        'Value': base64.b64encode(content).decode(),
    }


def _encode_key(part: str, table: str, key: str) -> dict[str, object]:
    return {_TABLE: table, _PART: part, 'Key': key}
