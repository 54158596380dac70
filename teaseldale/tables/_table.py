"""Interface of the platform's transactional table service.

Every row carries the revision of the commit that last wrote it; revisions are
shared by all tables and only grow. A transaction sent again with the same id
gets the outcome of its first arrival, so a lost answer is resolved by sending
the transaction again.
"""

import abc
import uuid
from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """One row as last committed."""

    table: str  # name of the table
    key: str  # primary key within the table
    revision: int  # commit that wrote the row
    value: bytes | None  # encoded record, None once deleted
    part: str = ''  # of its table


@attrs.frozen(kw_only=True)
class RowCheck:
    """Condition that a row still has a revision; 0 means absent."""

    table: str
    key: str
    revision: int


@attrs.frozen(kw_only=True)
class RowWrite:
    """New value of a row; None deletes it."""

    table: str
    key: str
    value: bytes | None


@attrs.frozen(kw_only=True)
class Transaction:
    """Writes that take effect together if all checks hold."""

    transaction_id: str  # names the transaction across resends
    # All rows of a transaction lie in one part of their tables. The service
    # runs the transactions of a part one after another.
    part: str = ''
    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


@attrs.frozen(kw_only=True)
class Committed:
    """The transaction took effect at ``revision``."""

    revision: int
    store_ms: int = 0  # the store's steady clock, where it has one


@attrs.frozen(kw_only=True)
class Conflicted:
    """The transaction had no effect; ``rows`` hold what differed."""

    rows: tuple[Row, ...]


def make_transaction(
    *,
    checks: Iterable[RowCheck],
    writes: Iterable[RowWrite],
    part: str = '',
) -> Transaction:
    """Builds a transaction with a fresh random id."""
    return Transaction(
        transaction_id=uuid.uuid4().hex,
        part=part,
        checks=tuple(checks),
        writes=tuple(writes),
    )


class BaseTableService(abc.ABC):
    """Client of the table service.

    Each method raises ``PlatformError`` when no answer came in time; a commit
    may then have taken effect.
    """

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Applies a transaction at most once per transaction id."""

    @abc.abstractmethod
    async def read(self, *, table: str, key: str) -> Row | None:
        """Reads one row; None when it is absent or deleted."""

    @abc.abstractmethod
    async def scan(
        self,
        *,
        table: str,
        prefix: str = '',
        after_revision: int = 0,
    ) -> tuple[Row, ...]:
        """Reads rows changed after a revision, oldest first.

        Deleted rows are included, with value None, if ``after_revision`` is
        above zero.
        """
