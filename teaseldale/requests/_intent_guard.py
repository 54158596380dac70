"""At-most-once execution of requests that are not repeatable."""

import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError, PlatformError, Refusal
from teaseldale.peers import VmIdentity
from teaseldale.requests._holder import Settlement
from teaseldale.requests._identity import RequestIdentity
from teaseldale.requests._intents import IntentRow, IntentSnapshot, IntentTable
from teaseldale.requests._messages import ReadAnswerReply
from teaseldale.requests._records import RecordState, RequestRecord
from teaseldale.requests._refusals import (
    in_doubt,
    key_reused,
    store_unavailable,
)
from teaseldale.requests._registry import OpenedRequest, RequestStatus
from teaseldale.requests._witnesses import WitnessLinks
from teaseldale.tables import RetryingTableService

_COMMIT_ATTEMPTS = 4
_RETRY_INTERVAL_MS = 2000
_PENDING_LIMIT = 10_000


class IntentGuard:
    """Commits an intent before the run and the outcome after it."""

    def __init__(
        self,
        *,
        table: RetryingTableService,
        clock: BaseClock,
        metrics: Metrics,
        vm_key: str,
    ) -> None:
        """Creates the guard of the VM ``vm_key``, without any intents."""
        self._table = table
        self._intents = IntentTable(table=table)
        self._clock = clock
        self._metrics = metrics
        self._vm_key = vm_key
        self._open_intents: dict[RequestIdentity, IntentSnapshot] = {}
        self._cancelled_attempts: dict[RequestIdentity, str] = {}
        self._pending: dict[RequestIdentity, IntentRow | None] = {}

    @property
    def table_outage(self) -> bool:
        """Whether the table service is unavailable."""
        return not self._table.available

    def cancelled_attempt(self, request: RequestIdentity) -> str:
        """Returns the attempt that was cancelled before it ran, or empty."""
        return self._cancelled_attempts.get(request, '')

    async def run(self) -> None:
        """Retries pending writes periodically; never returns."""
        while True:
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)
            for request, row in tuple(self._pending.items()):
                await self._write_pending(request, row)
            self._metrics.set_gauge('intents_pending', len(self._pending))

    async def commit_intent(
        self,
        opened: OpenedRequest,
        links: WitnessLinks,
    ) -> RequestRecord | Refusal | None:
        """Returns None once the intent is committed and the run may start."""
        current = IntentSnapshot(request=opened.request, row=None, revision=0)
        new_row = self._make_row(opened)
        for _ in range(_COMMIT_ATTEMPTS):
            try:
                change = await self._intents.replace(current, new_row)
            except PlatformError as error:
                self._note_cancelled(opened.request, opened.attempt)
                return store_unavailable(error.peer)
            current = change.current
            if change.written:
                self._cancelled_attempts.pop(opened.request, None)
                self._pending.pop(opened.request, None)
                self._open_intents[opened.request] = current
                return None
            if current.row is not None:
                outcome = await self._resolve_row(opened, current.row, links)
                if outcome is not None:
                    return outcome
        return store_unavailable('local')

    async def store_outcome(
        self,
        opened: OpenedRequest,
        stored: StoredAnswer,
    ) -> None:
        """Stores the outcome, so that any VM can replay it."""
        row = attrs.evolve(self._make_row(opened), stored=stored)
        await self._write_or_defer(opened.request, row)

    async def abandon(self, opened: OpenedRequest, *, not_run: bool) -> None:
        """Deletes the intent, or marks its outcome as in doubt."""
        if not_run:
            self._note_cancelled(opened.request, opened.attempt)
            await self._write_or_defer(opened.request, None)
        else:
            row = attrs.evolve(self._make_row(opened), in_doubt=True)
            await self._write_or_defer(opened.request, row)

    async def status(
        self,
        request: RequestIdentity,
        links: WitnessLinks,
    ) -> RequestStatus:
        """Returns the status from the intent; raises ``PlatformError``."""
        row = (await self._intents.read(request)).row
        if row is None:
            return RequestStatus.UNKNOWN
        if row.stored is not None:
            return RequestStatus.FINISHED
        if not row.in_doubt and links.is_reachable(row.runner):
            return RequestStatus.RUNNING
        return RequestStatus.IN_DOUBT

    async def _resolve_row(
        self,
        opened: OpenedRequest,
        row: IntentRow,
        links: WitnessLinks,
    ) -> RequestRecord | Refusal | None:
        """Returns None if the attempt of the intent certainly did not run."""
        if row.digest != opened.digest:
            return key_reused()
        if row.stored is not None:
            return _make_record(opened, row, row.stored)
        if row.attempt == self._cancelled_attempts.get(opened.request):
            return None
        if row.in_doubt or row.runner == self._vm_key:
            return in_doubt(row.runner)
        return await self._query_runner(opened, row, links)

    async def _query_runner(
        self,
        opened: OpenedRequest,
        row: IntentRow,
        links: WitnessLinks,
    ) -> RequestRecord | Refusal | None:
        peer = links.find_peer(row.runner)
        if peer is None:
            return await self._query_witnesses(opened, row, links)
        reply = await _read_or_none(links, peer, opened.request)
        if reply is None:
            return in_doubt(row.runner)
        if reply.known:
            return _make_record(opened, row, reply.stored)
        if reply.cancelled_attempt == row.attempt:
            return None
        return in_doubt(row.runner)

    async def _query_witnesses(
        self,
        opened: OpenedRequest,
        row: IntentRow,
        links: WitnessLinks,
    ) -> RequestRecord | Refusal:
        for peer in links.candidates(opened.request):
            reply = await _read_or_none(links, peer, opened.request)
            if reply is not None and reply.stored is not None:
                return _make_record(opened, row, reply.stored)
        return in_doubt(row.runner)

    def _make_row(self, opened: OpenedRequest) -> IntentRow:
        return IntentRow(
            digest=opened.digest,
            runner=self._vm_key,
            attempt=opened.attempt,
            created_wall_ms=self._clock.wall_ms(),
        )

    def _note_cancelled(self, request: RequestIdentity, attempt: str) -> None:
        self._cancelled_attempts[request] = attempt
        if len(self._cancelled_attempts) > _PENDING_LIMIT:
            self._cancelled_attempts.pop(next(iter(self._cancelled_attempts)))

    async def _write_or_defer(
        self,
        request: RequestIdentity,
        row: IntentRow | None,
    ) -> None:
        if self.table_outage and len(self._pending) < _PENDING_LIMIT:
            self._pending[request] = row
            return
        await self._write_pending(request, row)

    async def _write_pending(
        self,
        request: RequestIdentity,
        row: IntentRow | None,
    ) -> None:
        expected = self._open_intents.get(request)
        if expected is None:
            self._pending.pop(request, None)
            return
        try:
            change = await self._intents.replace(expected, row)
        except PlatformError:
            self._pending[request] = row
            return
        if not change.written:
            self._metrics.increment('intents_lost')
        self._open_intents.pop(request, None)
        self._pending.pop(request, None)


async def _read_or_none(
    links: WitnessLinks,
    peer: VmIdentity,
    request: RequestIdentity,
) -> ReadAnswerReply | None:
    try:
        return await links.read_answer(peer, request)
    except PeerUnreachableError:
        return None


def _make_record(
    opened: OpenedRequest,
    row: IntentRow,
    stored: StoredAnswer | None,
) -> RequestRecord:
    return RequestRecord(
        request=opened.request,
        digest=row.digest,
        runner=row.runner,
        repeatable=False,
        state=RecordState.SETTLED if stored else RecordState.DISPATCHED,
        stored=stored,
        settlement=_empty_settlement() if stored else None,
    )


def _empty_settlement() -> Settlement:
    return Settlement(holder='', sequence=0, budgets=(), used_tokens=0)
