"""Records of requests that a VM runs or witnesses."""

import enum
from collections import deque

import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.clock import BaseClock
from teaseldale.requests._holder import Settlement
from teaseldale.requests._identity import RequestIdentity

RECORD_RETENTION_MS = 600_000
_RECORD_LIMIT = 100_000


@enum.unique
class RecordState(enum.StrEnum):
    """Progress of a request."""

    CLAIMED = 'claimed'
    DISPATCHED = 'dispatched'
    SETTLED = 'settled'
    NOT_RUN = 'not_run'


@attrs.frozen(kw_only=True)
class RequestRecord:
    """One run of a request, replicated from its runner to witnesses."""

    request: RequestIdentity
    digest: str  # hash of the body
    runner: str  # key of the VM that runs it
    state: RecordState
    repeatable: bool = True
    attempt: str = ''  # attempt ID, as in the intent row
    takeover_of: str = ''  # key of the runner whose run it replaces
    budgets: tuple[str, ...] = ()
    reserved_tokens: int = 0
    holder: str = ''  # key of the holder whose grant pays
    settlement: Settlement | None = None  # set once settled
    stored: StoredAnswer | None = None  # set once settled with an answer


@attrs.frozen(kw_only=True)
class HolderSpending:
    """Spending of a holder that may be missing in the table service."""

    settlements: tuple[Settlement, ...] = ()
    in_doubt: tuple[RequestRecord, ...] = ()  # may have run; not repeatable
    finished: tuple[str, ...] = ()  # settled attempts


class RecordStore:
    """Records by request and by holder, with a retention period."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        retention_ms: int = RECORD_RETENTION_MS,
    ) -> None:
        """Creates an empty store."""
        self._clock = clock
        self._retention_ms = retention_ms
        self._records: dict[RequestIdentity, RequestRecord] = {}
        self._expiry_queue: deque[tuple[int, RequestIdentity]] = deque()
        self._unsettled: dict[str, dict[RequestIdentity, RequestRecord]] = {}
        self._uncommitted: dict[str, dict[int, Settlement]] = {}
        self._fenced: set[str] = set()

    def __len__(self) -> int:
        """Number of stored records."""
        return len(self._records)

    def find(self, request: RequestIdentity) -> RequestRecord | None:
        """Returns the record of a request, or None if absent or expired."""
        self._expire()
        return self._records.get(request)

    def records(self) -> tuple[RequestRecord, ...]:
        """Returns a snapshot of all records."""
        return tuple(self._records.values())

    def merge(self, record: RequestRecord) -> RequestRecord | None:
        """Stores a record, or returns the existing one that prevails."""
        existing = self.find(record.request)
        if existing is not None and _is_stale(record, existing):
            return existing
        self._note_spending(record)
        if existing is not None and not _supersedes(record, existing):
            return existing
        if record.state is RecordState.NOT_RUN:
            self._records.pop(record.request, None)
        else:
            self._store(record)
        return None

    def drop_committed(self, holder: str, through: int) -> None:
        """Drops settlements up to ``through``, which are committed."""
        uncommitted = self._uncommitted.get(holder, {})
        committed = [
            sequence for sequence in uncommitted if sequence <= through
        ]
        for sequence in committed:
            uncommitted.pop(sequence)

    def fence(self, holder: str) -> HolderSpending:
        """Fences a holder: rejects its later records; returns its spending."""
        self._fenced.add(holder)
        unsettled = self._unsettled.get(holder, {}).values()
        return HolderSpending(
            settlements=tuple(self._uncommitted.get(holder, {}).values()),
            in_doubt=tuple(
                record for record in unsettled if not record.repeatable
            ),
            finished=tuple(
                record.attempt
                for record in self._records.values()
                if record.holder == holder and record.settlement is not None
            ),
        )

    def is_fenced(self, holder: str) -> bool:
        """Whether records of the holder are rejected."""
        return holder in self._fenced

    def drop_holder(self, holder: str) -> None:
        """Drops the spending of a holder whose grants were recovered."""
        self._uncommitted.pop(holder, None)
        self._unsettled.pop(holder, None)

    def _note_spending(self, record: RequestRecord) -> None:
        unsettled = self._unsettled.setdefault(record.holder, {})
        unsettled.pop(record.request, None)
        if record.state is RecordState.DISPATCHED:
            unsettled[record.request] = record
        if record.settlement is not None:
            settlement = record.settlement
            holder = self._uncommitted.setdefault(settlement.holder, {})
            holder[settlement.sequence] = settlement

    def _store(self, record: RequestRecord) -> None:
        if record.request not in self._records:
            expires_ms = self._clock.monotonic_ms() + self._retention_ms
            self._expiry_queue.append((expires_ms, record.request))
        self._records[record.request] = record

    def _expire(self) -> None:
        now_ms = self._clock.monotonic_ms()
        while self._expiry_queue and (
            self._expiry_queue[0][0] <= now_ms
            or len(self._expiry_queue) > _RECORD_LIMIT
        ):
            _expires_ms, request = self._expiry_queue.popleft()
            self._records.pop(request, None)


def _is_stale(record: RequestRecord, existing: RequestRecord) -> bool:
    return (
        existing.runner == record.runner
        and existing.state is RecordState.SETTLED
        and record.state is not RecordState.SETTLED
        and not _is_replay_claim(record, existing)
    )


def _is_replay_claim(record: RequestRecord, existing: RequestRecord) -> bool:
    """Whether a retry reached the VM that stores the complete answer."""
    claims = record.state is RecordState.CLAIMED
    return claims and existing.stored is not None


def _supersedes(record: RequestRecord, existing: RequestRecord) -> bool:
    if record.digest != existing.digest:
        return False
    if record.runner == existing.runner:
        return not _is_replay_claim(record, existing)
    if existing.state is RecordState.SETTLED:
        return False
    return (
        record.state is RecordState.SETTLED
        or record.takeover_of == existing.runner
    )
