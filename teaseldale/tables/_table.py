"""Interface of the platform's transactional table service.

Each row carries the revision of the commit that last wrote it. Revisions are
shared by all tables and increase monotonically. Transactions are idempotent by
id: a resend gets the outcome of the first attempt, so a client whose answer was
lost sends the transaction again.
"""

import abc
import uuid
from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """Last committed version of a row."""

    table: str
    key: str  # primary key within the table
    revision: int  # of the commit that last wrote the row
    value: bytes | None  # encoded record, None if deleted
    part: str = ''  # partition of the table


@attrs.frozen(kw_only=True)
class RowCheck:
    """Precondition on the revision of a row; 0 means absent."""

    table: str
    key: str
    revision: int


@attrs.frozen(kw_only=True)
class RowWrite:
    """New value of a row; None deletes the row."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class Transaction:
    """Writes that are applied atomically if all checks hold."""

    transaction_id: str  # the same for each resend
    # All rows of a transaction belong to one part of their tables. The service
    # serializes the transactions of a part.
    part: str = ''
    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen(kw_only=True)
class Committed:
    """The transaction was applied at ``revision``."""

    revision: int
    store_ms: int = 0  # the store's monotonic clock, if it has one
    era: int = 0  # of the store when it committed


@attrs.frozen(kw_only=True)
class Conflicted:
    """The transaction was not applied; the checks of ``rows`` failed."""

    rows: tuple[Row, ...]
    era: int = 0  # of the store when it answered


def make_transaction(
    *,
    checks: Iterable[RowCheck],
    writes: Iterable[RowWrite],
    part: str = '',
) -> Transaction:
    """Builds a transaction with a new random id."""
    return Transaction(
        transaction_id=uuid.uuid4().hex,
        part=part,
        checks=tuple(checks),
        writes=tuple(writes),
    )


class BaseTableService(abc.ABC):
    """Table service client.

    Each method raises ``PlatformError`` when no answer arrives in time. A
    commit may then have been applied.
    """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Applies a transaction at most once per transaction id."""

    @abc.abstractmethod
    async def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""

    @abc.abstractmethod
    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Returns the rows changed after a revision, oldest first.

        Deleted rows have the value None and are included only if
        ``after_revision`` is above zero.
        """
