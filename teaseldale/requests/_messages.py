"""Messages between VMs about requests."""

import attrs

from teaseldale.answers import AnswerPart, StoredAnswer
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._records import HolderSpending, RequestRecord


@attrs.frozen(kw_only=True)
class RecordBatch:
    """Records for a witness."""

    holder: str  # key of the sender as holder of grants
    settled_through: int  # settlements that the table service includes
    records: tuple[RequestRecord, ...]


@attrs.frozen(kw_only=True)
class RecordBatchReply:
    """For each record None, or the record of another run."""

    fenced: bool  # the sender's grants are being recovered
    found: tuple[RequestRecord | None, ...]


@attrs.frozen(kw_only=True)
class ReadAnswer:
    """Asks a runner for the parts of an answer."""

    request: RequestIdentity
    offset: int  # output tokens that the reader has
    character_count: int  # length of the text that the reader has


@attrs.frozen(kw_only=True)
class ReadAnswerReply:
    """Parts after those that the reader has."""

    known: bool  # whether the VM runs or has run the request
    failed: bool  # the run ended with a refusal
    cancelled_attempt: str  # opening that this VM gave up before it ran
    parts: tuple[AnswerPart, ...]
    stored: StoredAnswer | None  # set once the answer is whole


@attrs.frozen(kw_only=True)
class FenceHolder:
    """Asks whether a holder's VM is reachable, or fences it."""

    holder: str
    vm: str  # key of the holder's VM
    commit: bool  # False only asks


@attrs.frozen(kw_only=True)
class FenceReply:
    """Whether the VM is reachable, and the holder's spending if fenced."""

    reachable: bool
    spending: HolderSpending
