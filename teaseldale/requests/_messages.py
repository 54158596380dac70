"""Messages that VMs exchange about requests."""

import attrs

from teaseldale.answers import AnswerPart, StoredAnswer
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._records import HolderSpending, RequestRecord


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Request records that are replicated to a witness."""

    holder: str  # key of the sender's holder
    settled_through: int  # last sequence in the table service
    records: tuple[RequestRecord, ...]


@attrs.frozen(kw_only=True)
class RecordBatchReply:
    """Reply of a witness, with one entry for each record of the batch."""

    fenced: bool  # whether the sender's grants are being recovered
    found: tuple[RequestRecord | None, ...]  # conflicting record, if any


@attrs.frozen(kw_only=True)
class ReadAnswer:
    """Requests the parts of an answer from its runner."""

    request: RequestIdentity
    offset: int  # output tokens already received
    character_count: int  # characters already received


@attrs.frozen(kw_only=True)
class ReadAnswerReply:
    """Parts of the answer after the requested offset."""

    known: bool  # whether the VM runs or has run the request
    failed: bool  # whether the run ended with a refusal
    cancelled_attempt: str  # attempt cancelled before it ran, or empty
    parts: tuple[AnswerPart, ...]
    stored: StoredAnswer | None  # set once the answer is complete


@attrs.frozen(kw_only=True)
class FenceHolder:
    """Queries the reachability of a holder's VM, or fences the holder."""

    holder: str
    vm: str  # key of the holder's VM
    commit: bool  # True fences, False only queries


@attrs.frozen(kw_only=True)
class FenceReply:
    """Reachability of the VM, or the spending of a fenced holder."""

    reachable: bool
    spending: HolderSpending
