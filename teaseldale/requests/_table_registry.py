"""Baseline registry that stores one table row for each request."""

import attrs
import msgspec

from teaseldale.answers import AnswerLog, StoredAnswer
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.requests._holder import Settlement
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._refusals import (
    key_reused,
    still_running,
    store_unavailable,
)
from teaseldale.requests._registry import (
    AttachedAnswer,
    BaseRequestRegistry,
    OpenedRequest,
    RequestStatus,
)
from teaseldale.tables import (
    BaseTableService,
    Committed,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

REQUESTS_TABLE = 'requests'


@attrs.frozen(kw_only=True)
class _RequestRow:
    digest: str  # hash of the request body
    stored: StoredAnswer | None = None  # None while running


class TableRequestRegistry(BaseRequestRegistry):
    """Commits one transaction before and one after each request."""

    def __init__(self, *, table: BaseTableService) -> None:
        """Creates a registry that stores its rows in ``table``."""
        self._table = table
        self._running: dict[RequestIdentity, OpenedRequest] = {}
        self._revisions: dict[RequestIdentity, int] = {}

    async def open(
        self,
        *,
        request: RequestIdentity,
        digest: str,
        repeatable: bool,
    ) -> OpenedRequest | AttachedAnswer | Refusal:
        """Inserts the request's row, or attaches to the existing one."""
        running = self._running.get(request)
        if running is not None:
            return _attach_to_running(running, digest)
        try:
            outcome = await self._write(request, _RequestRow(digest=digest), 0)
        except PlatformError as error:
            return store_unavailable(error.peer)
        if not isinstance(outcome, int):
            return _attach_to_stored(outcome, digest)
        opened = OpenedRequest(
            request=request,
            digest=digest,
            answer=AnswerLog(),
            repeatable=repeatable,
        )
        self._running[request] = opened
        self._revisions[request] = outcome
        return opened

    async def record_dispatch(
        self,
        opened: OpenedRequest,
        *,
        upstream: str,
        reserved_tokens: int,
    ) -> Refusal | None:
        """Does nothing: ``open`` has already inserted the row."""
        return None

    async def finish(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
        settlement: Settlement,
    ) -> None:
        """Stores the outcome in the request's row."""
        row = _RequestRow(digest=opened.digest, stored=stored)
        await self._write_outcome(opened, row)

    async def status(self, request: RequestIdentity) -> RequestStatus:
        """Returns the status according to the request's row."""
        if request in self._running:
            return RequestStatus.RUNNING
        existing = await self._table.read(
            table=REQUESTS_TABLE, key=request.text
        )
        if existing is None:
            return RequestStatus.UNKNOWN
        row = msgspec.msgpack.decode(existing.value or b'', type=_RequestRow)
        if row.stored is None:
            return RequestStatus.IN_DOUBT
        return RequestStatus.FINISHED

    async def abandon(
        self,
        opened: OpenedRequest,
        *,
        not_run: bool,
        settlement: Settlement | None = None,
    ) -> None:
        """Deletes the row of a request that did not run."""
        if not_run:
            await self._write_outcome(opened, None)
        else:
            self._running.pop(opened.request, None)

    async def _write_outcome(
        self,
        opened: OpenedRequest,
        row: _RequestRow | None,
    ) -> None:
        revision = self._revisions.pop(opened.request)
        try:
            await self._write(opened.request, row, revision)
        finally:
            self._running.pop(opened.request, None)

    async def _write(
        self,
        request: RequestIdentity,
        row: _RequestRow | None,
        revision: int,
    ) -> int | Row:
        encoded = None if row is None else msgspec.msgpack.encode(row)
        check = RowCheck(
            table=REQUESTS_TABLE,
            key=request.text,
            revision=revision,
        )
        write = RowWrite(
            table=REQUESTS_TABLE,
            key=request.text,
            value=encoded,
        )
        outcome = await self._table.commit(
            make_transaction(checks=(check,), writes=(write,)),
        )
        if isinstance(outcome, Committed):
            return outcome.revision
        return outcome.rows[0]


def _attach_to_running(
    running: OpenedRequest,
    digest: str,
) -> AttachedAnswer | Refusal:
    if running.digest != digest:
        return key_reused()
    return AttachedAnswer(answer=running.answer)


def _attach_to_stored(existing: Row, digest: str) -> AttachedAnswer | Refusal:
    row = msgspec.msgpack.decode(existing.value or b'', type=_RequestRow)
    if row.digest != digest:
        return key_reused()
    if row.stored is None:
        return still_running('local')
    return AttachedAnswer(answer=AnswerLog.replayed(row.stored))
