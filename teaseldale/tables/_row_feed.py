"""Interface of a feed that tells of changes of a table's rows."""

import abc

import attrs

from teaseldale.outcomes import PlatformError
from teaseldale.tables._table import Row


class HistoryLostError(PlatformError):
    """The changes since the revision are not known any more."""


@attrs.frozen(kw_only=True)
class RowChanges:
    """Rows of a table and the revision up to which they are told."""

    rows: tuple[Row, ...]  # value None marks a removed row
    revision: int  # where to go on
    store_ms: int = 0  # the store's steady clock, where it has one
    received_bytes: int = 0  # of the answer, where it is a message


class BaseRowFeed(abc.ABC):
    """Client of the feed; each method raises ``PlatformError``."""

    @abc.abstractmethod
    async def read_all(self, table: str, *, part: str = '') -> RowChanges:
        """Returns all rows of a table's part as of one moment."""

    @abc.abstractmethod
    async def wait_for_changes(
        self,
        table: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> RowChanges:
        """Returns changes as soon as there are some, or after the wait.

        Raises ``HistoryLostError`` if changes may have been left out.
        """
