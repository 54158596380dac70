"""Intent rows in the table service for non-repeatable requests."""

from collections.abc import Sequence

import attrs
import msgspec

from teaseldale.answers import StoredAnswer
from teaseldale.requests._group_commit import BaseBatchSender, GroupCommit
from teaseldale.requests._identity import RequestIdentity
from teaseldale.tables import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

INTENTS_TABLE = 'intents'


@attrs.frozen(kw_only=True)
class IntentRow:
    """State of a request whose run was announced before it started."""

    digest: str  # hash of the body
    runner: str  # key of the VM that runs it
    attempt: str  # ID of one attempt to open the request
    created_wall_ms: int  # used only to expire old rows
    in_doubt: bool = False  # the runner does not know whether it ran
    stored: StoredAnswer | None = None  # outcome; None until known


@attrs.frozen(kw_only=True)
class IntentSnapshot:
    """An intent and the revision that a conditional write checks."""

    request: RequestIdentity
    row: IntentRow | None  # None if there is no intent
    revision: int


@attrs.frozen(kw_only=True)
class IntentChange:
    """Outcome of a conditional write."""

    written: bool
    current: IntentSnapshot  # the written row, or the conflicting one


class IntentTable(BaseBatchSender[IntentSnapshot, IntentChange]):
    """Conditional writes of intents, batched over concurrent requests."""

    def __init__(self, *, table: BaseTableService) -> None:
        """Creates a client of the intents table in ``table``."""
        self._table = table
        self._writes: GroupCommit[IntentSnapshot, IntentChange] = GroupCommit(
            sender=self,
        )

    async def read(self, request: RequestIdentity) -> IntentSnapshot:
        """Returns an intent; raises ``PlatformError``."""
        row = await self._table.read(table=INTENTS_TABLE, key=request.text)
        return _decode(request, row)

    async def replace(
        self,
        expected: IntentSnapshot,
        row: IntentRow | None,
    ) -> IntentChange:
        """Writes ``row`` if the intent still has the revision of ``expected``.

        Raises ``PlatformError``, after which the write may still be committed.
        """
        return await self._writes.submit(attrs.evolve(expected, row=row))

    async def send_batch(
        self,
        batch: Sequence[IntentSnapshot],
    ) -> list[IntentChange]:
        """Commits all rows in one transaction, without those that conflict."""
        outcomes: dict[str, IntentChange] = {}
        pending = list(batch)
        while pending:
            outcome = await self._commit_once(pending)
            if isinstance(outcome, Committed):
                outcomes.update(_written_changes(pending, outcome.revision))
            else:
                outcomes.update(_conflicting_changes(pending, outcome.rows))
            pending = [
                change
                for change in pending
                if change.request.text not in outcomes
            ]
        return [outcomes[change.request.text] for change in batch]

    async def _commit_once(
        self,
        changes: Sequence[IntentSnapshot],
    ) -> Committed | Conflicted:
        return await self._table.commit(
            make_transaction(
                checks=[
                    RowCheck(
                        table=INTENTS_TABLE,
                        key=change.request.text,
                        revision=change.revision,
                    )
                    for change in changes
                ],
                writes=[
                    RowWrite(
                        table=INTENTS_TABLE,
                        key=change.request.text,
                        value=_encode(change.row),
                    )
                    for change in changes
                ],
            ),
        )


def _written_changes(
    changes: Sequence[IntentSnapshot],
    revision: int,
) -> dict[str, IntentChange]:
    return {
        change.request.text: IntentChange(
            written=True,
            current=attrs.evolve(change, revision=revision),
        )
        for change in changes
    }


def _conflicting_changes(
    changes: Sequence[IntentSnapshot],
    rows: Sequence[Row],
) -> dict[str, IntentChange]:
    requests = {change.request.text: change.request for change in changes}
    return {
        row.key: IntentChange(
            written=False,
            current=_decode(requests[row.key], row),
        )
        for row in rows
    }


def _encode(row: IntentRow | None) -> bytes | None:
    return None if row is None else msgspec.msgpack.encode(row)


def _decode(request: RequestIdentity, row: Row | None) -> IntentSnapshot:
    if row is None or row.value is None:
        return IntentSnapshot(request=request, row=None, revision=0)
    return IntentSnapshot(
        request=request,
        row=msgspec.msgpack.decode(row.value, type=IntentRow),
        revision=row.revision,
    )
