"""In-memory state of a table service, for stand-ins and fakes."""

from collections.abc import Iterable, Mapping

import attrs

from teaseldale.tables._table import (
    Committed,
    Conflicted,
    Row,
    RowCheck,
    Transaction,
)


@attrs.frozen(kw_only=True)
class TableCopy:
    """Rows and outcomes of a table at one revision."""

    rows: Mapping[tuple[str, str, str], Row]
    outcomes: Mapping[str, Committed | Conflicted]
    revision: int


class InMemoryTable:
    """Rows in a dictionary, changed by serializable transactions."""

    def __init__(self) -> None:
        """Creates an empty table at revision 0."""
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._outcomes: dict[str, Committed | Conflicted] = {}
        self.revision = 0
        # Incremented by each return from a copy; 0 if the store has no eras.
        self.era = 0
        self.is_away = False  # answers nobody

    def copy(self) -> TableCopy:
        """Returns a copy of the current state."""
        return TableCopy(
            rows=dict(self._rows),
            outcomes=dict(self._outcomes),
            revision=self.revision,
        )

    def return_from(self, copy: TableCopy) -> None:
        """Begins a new era with the state of a copy.

        Later commits are lost, and their revisions are assigned again.
        """
        self._rows = dict(copy.rows)
        self._outcomes = dict(copy.outcomes)
        self.revision = copy.revision
        self.era += 1

    def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Applies the transaction; a resend gets the first outcome."""
        first_outcome = self._outcomes.get(transaction.transaction_id)
        if first_outcome is not None:
            return first_outcome
        outcome = self._apply(transaction)
        self._outcomes[transaction.transaction_id] = outcome
        return outcome

    def read(self, *, table: str, key: str) -> Row | None:
        """Returns the row, or None when it is absent or deleted."""
        row = self._rows.get((table, '', key))
        if row is None or row.value is None:
            return None
        return row

    def scan(
        self,
        *,
        table: str,
        prefix: str,
        after_revision: int,
        part: str | None = None,
    ) -> tuple[Row, ...]:
        """Returns matching rows of one part or of all, sorted by revision.

        Deleted rows are included only if ``after_revision`` is above zero.
        """
        matching = [
            row
            for row in self._rows_of(table, part)
            if row.key.startswith(prefix)
            and row.revision > after_revision
            and (row.value is not None or after_revision > 0)
        ]
        matching.sort(key=_by_revision)
        return tuple(matching)

    def changes(self, *, table: str, after_revision: int) -> tuple[Row, ...]:
        """Returns rows of all parts changed later, deleted ones included."""
        changed = [
            row
            for row in self._rows_of(table, None)
            if row.revision > after_revision
        ]
        changed.sort(key=_by_revision)
        return tuple(changed)

    def _rows_of(self, table: str, part: str | None) -> Iterable[Row]:
        return (
            row
            for row in self._rows.values()
            if row.table == table and (part is None or row.part == part)
        )

    def _apply(self, transaction: Transaction) -> Committed | Conflicted:
        conflicting = tuple(
            self._current(transaction.part, check)
            for check in transaction.checks
            if self._current(transaction.part, check).revision != check.revision
        )
        if conflicting:
            return Conflicted(rows=conflicting)
        self.revision += 1
        for write in transaction.writes:
            self._rows[write.table, transaction.part, write.key] = Row(
                table=write.table,
                key=write.key,
                revision=self.revision,
                value=write.value,
                part=transaction.part,
            )
        return Committed(revision=self.revision)

    def _current(self, part: str, check: RowCheck) -> Row:
        row = self._rows.get((check.table, part, check.key))
        if row is None or row.value is None:
            return Row(table=check.table, key=check.key, revision=0, value=None)
        return row


def _by_revision(row: Row) -> tuple[int, str]:
    return row.revision, row.key
