"""Returns drawn but unused tokens to the keeper that paid them.

A return is resent until the keeper acknowledges it, and is applied once. It
names an incarnation of the keeper: tokens lost by a restart stay lost.
"""

import itertools
from collections.abc import Callable, Iterator

import attrs
import msgspec

from teaseldale.budgets._account_rounds import StoreAccess, VmIncarnation
from teaseldale.budgets._account_shard import AccountShard
from teaseldale.budgets._draw_messages import (
    RETURN,
    RETURN_RECEIPT,
    ReturnReceipt,
    TokenReturn,
)
from teaseldale.budgets._seen_ids import SeenIds
from teaseldale.logs import StateLog

_RESEND_INTERVAL_MS = 200  # resend interval without a receipt
# A keeper that does not answer for this long has ended or is partitioned.
_RETURN_TIMEOUT_MS = 10_000
# Ids retained for deduplication. The number exceeds the returns that a keeper
# receives within the time after which senders give up.
_MAX_SEEN_RETURNS = 50_000


@attrs.define(kw_only=True)
class _OpenReturn:
    message: bytes
    address: str
    account: str
    tokens: int
    started_ms: int
    next_ms: int


class TokenReturns:
    """Returns drawn tokens, and accepts those of other VMs."""

    def __init__(
        self,
        *,
        start: VmIncarnation,
        find_shard: Callable[[str], AccountShard | None],
        store: StoreAccess,
    ) -> None:
        """Takes a function that looks up this VM's shard of an account."""
        self._start = start
        self._find_shard = find_shard
        self._clock = store.clock
        self._metrics = store.metrics
        self._open_returns: dict[str, _OpenReturn] = {}
        self._seen_ids = SeenIds(limit=_MAX_SEEN_RETURNS)
        self._numbers: Iterator[int] = itertools.count()
        self._send: Callable[[str, bytes], None] | None = None
        self._log = StateLog(channel='draws')

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    @property
    def is_done(self) -> bool:
        """Whether all returns are acknowledged or given up."""
        return not self._open_returns

    def return_unused(self, shard: AccountShard) -> None:
        """Returns unneeded tokens to the keeper that paid the last draw."""
        held = shard.held
        # Tokens granted by the store are returned to the store instead.
        tokens = held.drawn_tokens
        if tokens <= 0 or not held.lender:
            return
        # The tokens count as spent from here on, even if the return is lost.
        held.spent_tokens += tokens
        holder = self._start.holder.text
        return_id = f'{holder}/{next(self._numbers)}'
        now_ms = self._clock.monotonic_ms()
        self._open_returns[return_id] = _OpenReturn(
            message=RETURN
            + msgspec.msgpack.encode(
                TokenReturn(
                    return_id=return_id,
                    account=held.account,
                    tokens=tokens,
                    keeper=held.lender,
                    drawer_address=self._start.address,
                ),
            ),
            address=held.lender_address,
            account=held.account,
            tokens=tokens,
            started_ms=now_ms,
            next_ms=now_ms,
        )
        self.resend_due()

    def resend_due(self) -> None:
        """Resends returns that are due and not yet acknowledged."""
        now_ms = self._clock.monotonic_ms()
        for return_id, open_return in tuple(self._open_returns.items()):
            if now_ms - open_return.started_ms > _RETURN_TIMEOUT_MS:
                self._give_up(return_id, open_return)
            elif now_ms >= open_return.next_ms and self._send is not None:
                open_return.next_ms = now_ms + _RESEND_INTERVAL_MS
                self._send(open_return.address, open_return.message)

    def handle_return(self, content: bytes) -> None:
        """Accepts returned tokens; raises ``msgspec.DecodeError``."""
        returned = msgspec.msgpack.decode(content, type=TokenReturn)
        shard = self._find_shard(returned.account)
        if shard is None or returned.keeper != self._start.holder.text:
            self._metrics.increment('returns_not_taken', 'other start')
            return
        if self._seen_ids.add(returned.return_id):
            held = shard.held
            held.spent_tokens -= returned.tokens
            held.demand.add(-returned.tokens)
            self._metrics.increment('returns_taken')
            shard.waiting.serve()
        if self._send is not None:
            receipt = ReturnReceipt(return_id=returned.return_id)
            encoded = msgspec.msgpack.encode(receipt)
            self._send(returned.drawer_address, RETURN_RECEIPT + encoded)

    def handle_receipt(self, content: bytes) -> None:
        """Completes a return; raises ``msgspec.DecodeError``."""
        receipt = msgspec.msgpack.decode(content, type=ReturnReceipt)
        self._open_returns.pop(receipt.return_id, None)

    def _give_up(self, return_id: str, open_return: _OpenReturn) -> None:
        self._open_returns.pop(return_id)
        self._metrics.increment('returns_given_up')
        self._log.changed(
            'return_given_up',
            account=open_return.account,
            tokens=open_return.tokens,
            keeper_address=open_return.address,
        )
