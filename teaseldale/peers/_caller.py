"""Calls to other VMs and the wait for their replies."""

from collections.abc import Callable
from typing import Any

import anyio

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError, Step
from teaseldale.peers._codec import (
    MalformedMessageError,
    MessageCodec,
    UnknownMessageError,
)
from teaseldale.peers._dispatch import HandlerFailed
from teaseldale.peers._frames import FrameItem
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._link import LinkFullError, PeerLink
from teaseldale.peers._links import LinkSet
from teaseldale.peers._pending_calls import PendingCall, PendingCalls

_SUSPECT_AFTER_MS = 300
_MS_PER_SECOND = 1000

OnSuspect = Callable[[PeerLink], None]


class Caller:
    """Sends calls over links and hands back their replies."""

    def __init__(
        self,
        *,
        codec: MessageCodec,
        links: LinkSet,
        clock: BaseClock,
        metrics: Metrics,
        on_suspect: OnSuspect,
    ) -> None:
        """Creates a caller; ``on_suspect`` is told of links without reply."""
        self._codec = codec
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._on_suspect = on_suspect
        self._calls = PendingCalls()

    async def call(
        self,
        peer: VmIdentity,
        message: Any,
        timeout_ms: int,
    ) -> Any:
        """Returns the reply message or raises ``PeerUnreachableError``."""
        link = self._links.to_peer(peer)
        call = self._calls.open(self._codec.encode(message), link.peer_tag)
        try:
            link.post_call(call.item)
        except LinkFullError as full:
            self._calls.close(call)
            raise self._unreachable(peer, 'queue_full') from full
        try:
            await self._wait(call, link, timeout_ms)
        finally:
            self._calls.close(call)
            link.withdraw(call.item.number)
        return self._reply_of(call, peer)

    def resolve(self, reply: FrameItem, sender_tag: int) -> None:
        """Hands a reply that arrived to the call that waits for it."""
        if not self._calls.resolve(reply, sender_tag):
            self._metrics.increment('peer_reply_dropped', 'no_call')

    def renew(self, link: PeerLink, reason: str) -> None:
        """Gives a link a fresh socket and repeats what waits for a reply.

        The peer may have handled a repeated call already; handlers are
        idempotent.
        """
        link.replace_socket(reason)
        for item in self._calls.sent_to(link.peer_tag):
            self._repeat(link, item)

    async def _wait(
        self,
        call: PendingCall,
        link: PeerLink,
        timeout_ms: int,
    ) -> None:
        ends_ms = self._clock.monotonic_ms() + timeout_ms
        patience_ms = _SUSPECT_AFTER_MS
        while not call.answered.is_set():
            asked_ms = self._clock.monotonic_ms()
            if asked_ms >= ends_ms:
                return
            wait_ms = min(patience_ms, ends_ms - asked_ms)
            with anyio.move_on_after(wait_ms / _MS_PER_SECOND):
                await call.answered.wait()
            self._ask_again(call, link, asked_ms)
            patience_ms *= 2

    def _ask_again(
        self,
        call: PendingCall,
        link: PeerLink,
        asked_ms: int,
    ) -> None:
        """Repeats a call whose frame was lost, over a fresh socket if due."""
        if call.answered.is_set():
            return
        if link.last_heard_ms is None or link.last_heard_ms < asked_ms:
            self._on_suspect(link)
        else:
            self._metrics.increment('peer_call_repeated')
            self._repeat(self._links.find(link.peer) or link, call.item)

    def _repeat(self, link: PeerLink, item: FrameItem) -> None:
        try:
            link.repeat_call(item)
        except LinkFullError:
            self._metrics.increment('peer_call_not_repeated')

    def _reply_of(self, call: PendingCall, peer: VmIdentity) -> Any:
        if call.reply is None:
            raise self._unreachable(peer, 'timeout')
        try:
            reply = self._codec.decode(call.reply)
        except (UnknownMessageError, MalformedMessageError) as error:
            raise self._unreachable(peer, 'reply_unknown') from error
        if isinstance(reply, HandlerFailed):
            raise self._unreachable(peer, 'handler_failed', reply.reason)
        return reply

    def _unreachable(
        self,
        peer: VmIdentity,
        counted_reason: str,
        detail: str = '',
    ) -> PeerUnreachableError:
        self._metrics.increment('peer_request_failed', counted_reason)
        return PeerUnreachableError(
            step=Step.PEER_REQUEST,
            peer=peer.key,
            reason=detail or counted_reason,
        )
