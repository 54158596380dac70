"""Interface of a feed of row changes."""

import abc

import attrs

from teaseldale.outcomes import PlatformError
from teaseldale.tables._table import Row


class HistoryLostError(PlatformError):
    """The store no longer has all changes since the requested revision."""


@attrs.frozen(kw_only=True)
class RowChanges:
    """Rows of a table and the revision up to which they are complete."""

    rows: tuple[Row, ...]  # value None marks a deleted row
    revision: int  # the next request starts after it
    store_ms: int  # the store's monotonic clock when it answered
    received_bytes: int = 0  # size of the response, if there is one
    era: int = 0  # of the store when it answered


class BaseRowFeed(abc.ABC):
    """Feed client; its methods raise ``PlatformError``."""

    @abc.abstractmethod
    async def read_all(self, table: str, *, part: str = '') -> RowChanges:
        """Returns a snapshot of all rows of a table's part."""

    @abc.abstractmethod
    async def wait_for_changes(
        self,
        table: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> RowChanges:
        """Returns changes as soon as there are any, or after ``wait_ms``.

        Raises ``HistoryLostError`` if changes may be missing.
        """
