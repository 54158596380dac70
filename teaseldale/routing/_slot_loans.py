"""Loans of single slots between VMs for high-priority requests.

Each VM reserves a slot for high-priority requests. If the reserved slot is in
use, the VM borrows one from another VM for the duration of one request. The
lender counts the slot as used until it is returned or the loan expires. Slot
owners are not involved, since the total number of slots does not change.
"""

import random
import uuid
from collections import deque

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.routing._pool import Runner, UpstreamPool
from teaseldale.routing._request import RoutingRequest, SlotLoan
from teaseldale.routing._runner_table import RunnerTable

_MAX_LENDERS_ASKED = 6
_REQUEST_TIMEOUT_MS = 50
_RETURN_TIMEOUT_MS = 1000
_RETURN_ATTEMPTS = 3


@attrs.frozen(kw_only=True)
class SlotLoanRequest:
    """Request to borrow one of the receiver's free slots."""

    loan_id: str
    route: str
    version: str
    excluded: tuple[str, ...]  # upstreams that may not be used
    only_upstream: str  # the only one allowed; empty for any
    duration_ms: int  # the loan expires after this time


@attrs.frozen(kw_only=True)
class SlotLoanReply:
    """Reply with the upstream of the lent slot; empty if none is free."""

    upstream: str


@attrs.frozen(kw_only=True)
class SlotLoanReturn:
    """Request to end a loan before it expires."""

    loan_id: str


@attrs.frozen(kw_only=True)
class SlotLoanReturned:
    """Acknowledgement of a returned loan."""


@attrs.frozen(kw_only=True)
class BorrowedSlot:
    """A loan and the runner at which it may be used."""

    slot: SlotLoan
    runner: Runner


@attrs.frozen(kw_only=True)
class _LentSlot:
    runner: Runner
    until_ms: int  # monotonic


class SlotLoans(BaseService):
    """Borrows slots from other VMs and lends slots to them."""

    def __init__(
        self,
        *,
        network: BasePeerNetwork,
        table: RunnerTable,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Registers the handlers of loan requests and returns."""
        self._network = network
        self._table = table
        self._clock = clock
        self._metrics = metrics
        self._lent: dict[str, _LentSlot] = {}
        self._returns: deque[SlotLoan] = deque()
        self._return_wanted = anyio.Event()
        self._random = random.Random(network.identity.key)
        network.handle(
            SlotLoanRequest,
            kind='slot_loan_request',
            reply_type=SlotLoanReply,
            handler=self._handle_loan_request,
        )
        network.handle(
            SlotLoanReturn,
            kind='slot_loan_return',
            reply_type=SlotLoanReturned,
            handler=self._handle_loan_return,
        )

    @property
    def name(self) -> str:
        """Service name."""
        return 'slot_loans'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts returning borrowed slots in the background."""
        tasks.start_soon(self._return_forever)

    async def drain(self) -> None:
        """Returns all borrowed slots that were released."""
        while self._returns:
            await self._return_slot(self._returns.popleft())

    async def borrow(self, request: RoutingRequest) -> BorrowedSlot | None:
        """Asks a few random VMs in turn for a slot.

        Returns None if none of them lends one.
        """
        peers = self._network.reachable_peers()
        lenders = self._random.sample(
            peers, min(_MAX_LENDERS_ASKED, len(peers))
        )
        for peer in lenders:
            loan = await self._request_loan(peer, request)
            borrowed = None if loan is None else self._accept(loan)
            if borrowed is not None:
                self._metrics.increment('slot_loans', 'borrowed')
                return borrowed
        self._metrics.increment('slot_loans', 'none_free')
        return None

    def queue_return(self, loan: SlotLoan) -> None:
        """Queues a slot for return; the loan expires if the return is lost."""
        self._returns.append(loan)
        self._return_wanted.set()

    def end_expired(self) -> None:
        """Reclaims lent slots whose loans have expired."""
        now_ms = self._clock.monotonic_ms()
        for loan_id, lent in tuple(self._lent.items()):
            if now_ms >= lent.until_ms:
                self._metrics.increment('slot_loans', 'expired')
                self._end_loan(loan_id)

    async def _return_forever(self) -> None:
        while True:
            await self.drain()
            await self._return_wanted.wait()
            self._return_wanted = anyio.Event()

    async def _return_slot(self, loan: SlotLoan) -> None:
        for _ in range(_RETURN_ATTEMPTS):
            try:
                await self._network.request(
                    loan.lender,
                    SlotLoanReturn(loan_id=loan.loan_id),
                    timeout_ms=_RETURN_TIMEOUT_MS,
                )
            except PeerUnreachableError:
                self._metrics.increment('slot_loans', 'return_lost')
            else:
                return

    def _accept(self, loan: SlotLoan) -> BorrowedSlot | None:
        runner = self._table.runner(loan.upstream)
        if runner is None or runner.leaving or runner.suspended_until_ms:
            self.queue_return(loan)
            return None
        runner.borrowed += 1
        return BorrowedSlot(slot=loan, runner=runner)

    async def _request_loan(
        self,
        peer: VmIdentity,
        request: RoutingRequest,
    ) -> SlotLoan | None:
        loan_id = uuid.uuid4().hex
        message = SlotLoanRequest(
            loan_id=loan_id,
            route=request.route,
            version=request.version,
            excluded=tuple(request.excluded),
            only_upstream=request.only_upstream,
            duration_ms=max(
                request.deadline_ms - self._clock.monotonic_ms(),
                0,
            ),
        )
        try:
            reply: SlotLoanReply = await self._network.request(
                peer,
                message,
                timeout_ms=_REQUEST_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return None
        if not reply.upstream:
            return None
        return SlotLoan(loan_id=loan_id, lender=peer, upstream=reply.upstream)

    async def _handle_loan_request(
        self,
        _sender: VmIdentity,
        message: SlotLoanRequest,
    ) -> SlotLoanReply:
        route_pool = self._table.pool(message.route, message.version)
        if route_pool is None or message.loan_id in self._lent:
            return SlotLoanReply(upstream='')
        runner = _free_runner(route_pool.pool, message)
        if runner is None:
            return SlotLoanReply(upstream='')
        runner.lent_out += 1
        self._table.update(runner)
        self._lent[message.loan_id] = _LentSlot(
            runner=runner,
            until_ms=self._clock.monotonic_ms() + message.duration_ms,
        )
        return SlotLoanReply(upstream=runner.name)

    async def _handle_loan_return(
        self,
        _sender: VmIdentity,
        message: SlotLoanReturn,
    ) -> SlotLoanReturned:
        self._end_loan(message.loan_id)
        return SlotLoanReturned()

    def _end_loan(self, loan_id: str) -> None:
        lent = self._lent.pop(loan_id, None)
        if lent is not None:
            lent.runner.lent_out -= 1
            self._table.update(lent.runner)


def _free_runner(
    pool: UpstreamPool,
    message: SlotLoanRequest,
) -> Runner | None:
    for runner in pool.free.members:
        if message.only_upstream in {'', runner.name}:
            if runner.name not in message.excluded:
                return runner
    return None
