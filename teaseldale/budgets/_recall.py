"""Recall of idle grants from other VMs before a request is refused."""

import anyio
import attrs

from teaseldale.budgets._grant_book import GrantBook, LocalGrant
from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity

_TIMEOUT_MS = 800
_ROUND_WAIT_MS = 500


@attrs.frozen(kw_only=True)
class RecallGrant:
    """Asks a VM to return idle tokens of a budget."""

    budget: str
    tokens: int  # missing at the sender


@attrs.frozen(kw_only=True)
class RecallReply:
    """Tokens that were returned, and tokens that may still be released."""

    released_tokens: int
    reserved_tokens: int


class GrantRecall:
    """Recalls idle tokens from peers, with one recall per budget at a time."""

    def __init__(
        self,
        *,
        book: GrantBook,
        peers: BasePeerNetwork,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Registers the handler for recalls by other VMs."""
        self._book = book
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._locks: dict[str, anyio.Lock] = {}
        peers.handle(
            RecallGrant,
            kind='recall_grant',
            reply_type=RecallReply,
            handler=self._release,
        )

    async def recall(self, budget: str, tokens: int) -> RecallReply:
        """Returns the totals of the replies of all reachable peers."""
        lock = self._locks.setdefault(budget, anyio.Lock())
        if lock.locked():
            async with lock:
                return RecallReply(released_tokens=1, reserved_tokens=1)
        async with lock:
            self._metrics.increment('grant_recalls')
            replies: list[RecallReply] = []
            request = RecallGrant(budget=budget, tokens=tokens)
            async with anyio.create_task_group() as tasks:
                for peer in self._peers.reachable_peers():
                    tasks.start_soon(self._ask, peer, request, replies)
        self._locks.pop(budget, None)
        return RecallReply(
            released_tokens=sum(reply.released_tokens for reply in replies),
            reserved_tokens=sum(reply.reserved_tokens for reply in replies),
        )

    async def _ask(
        self,
        peer: VmIdentity,
        request: RecallGrant,
        replies: list[RecallReply],
    ) -> None:
        try:
            reply: RecallReply = await self._peers.request(
                peer,
                request,
                timeout_ms=_TIMEOUT_MS,
            )
        except PeerUnreachableError as error:
            self._metrics.increment('recall_failures', error.step)
            return
        replies.append(reply)

    async def _release(
        self,
        _sender: VmIdentity,
        request: RecallGrant,
    ) -> RecallReply:
        grant = self._book.grants.get(request.budget)
        if grant is None:
            return RecallReply(released_tokens=0, reserved_tokens=0)
        released = _idle_tokens(grant, request.tokens)
        if released:
            self._book.return_tokens(grant, released)
            await self._wait_for_round(grant)
        return RecallReply(
            released_tokens=released,
            reserved_tokens=grant.reserved_tokens + grant.available_tokens,
        )

    async def _wait_for_round(self, grant: LocalGrant) -> None:
        until_ms = self._clock.monotonic_ms() + _ROUND_WAIT_MS
        while grant.returning_tokens:
            left_ms = until_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                return
            await self._book.wait_for_change(left_ms)


def _idle_tokens(grant: LocalGrant, wanted_tokens: int) -> int:
    if grant.waiting:
        return 0
    available = max(0, grant.available_tokens)
    return min(available, max(wanted_tokens, available // 2))
