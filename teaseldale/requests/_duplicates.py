"""Requests that were billed twice because two VMs ran them."""

import attrs

from teaseldale.requests._holder import SpendingHolder
from teaseldale.requests._records import RecordState, RequestRecord


@attrs.frozen(kw_only=True)
class DuplicateBill:
    """Two settled runs of one request; one of the bills is credited."""

    first: RequestRecord
    second: RequestRecord


class DuplicateQueue:
    """Detected duplicates whose credit is pending."""

    def __init__(self, *, holder: SpendingHolder) -> None:
        """Creates an empty queue; ``holder`` is the holder of this VM."""
        self._holder = holder
        self._pending: dict[str, DuplicateBill] = {}

    def __len__(self) -> int:
        """Number of duplicates whose credit is pending."""
        return len(self._pending)

    def check(self, first: RequestRecord, second: RequestRecord) -> None:
        """Queues two records if both are settled by different runners.

        A credit requires that both bills are in the table service, so a bill of
        this VM no longer waits for its witness before it is committed.
        """
        settled = RecordState.SETTLED
        if first.state is not settled or second.state is not settled:
            return
        if first.runner != second.runner:
            self._pending[first.request.text] = DuplicateBill(
                first=first,
                second=second,
            )
            self._mark_witnessed(first)
            self._mark_witnessed(second)

    def pending(self) -> tuple[DuplicateBill, ...]:
        """Returns the duplicates whose credit is pending."""
        return tuple(self._pending.values())

    def remove(self, duplicate: DuplicateBill) -> None:
        """Removes a duplicate after its credit was committed."""
        key = duplicate.first.request.text
        if self._pending.get(key) == duplicate:
            self._pending.pop(key)

    def _mark_witnessed(self, record: RequestRecord) -> None:
        if record.settlement is not None:
            self._holder.note_witnessed(record.settlement)
