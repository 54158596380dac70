"""Outgoing calls to other VMs, with retries and timeouts."""

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

_FIRST_RETRY_DELAY_MS = 300
_MS_PER_SECOND = 1000

OnSuspect = Callable[[PeerLink], None]


class Caller:
    """Sends calls over links and returns the replies to their callers."""

    def __init__(
        self,
        *,
        codec: MessageCodec,
        links: LinkSet,
        clock: BaseClock,
        metrics: Metrics,
        on_suspect: OnSuspect,
    ) -> None:
        """Creates a caller.

        ``on_suspect`` is called for a link that delivered no reply in time.
        """
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
        """Sends ``message`` and returns the reply of the peer.

        Raises ``PeerUnreachableError`` if the send queue is full, no reply
        arrives within ``timeout_ms``, or the reply reports a failure or cannot
        be decoded.
        """
        link = self._links.get_or_open(peer)
        call = self._calls.open(self._codec.encode(message), link.peer_tag)
        try:
            link.enqueue_call(call.item)
        except LinkFullError as error:
            self._calls.close(call)
            raise self._unreachable(peer, 'queue_full') from error
        try:
            await self._wait(call, link, timeout_ms)
        finally:
            self._calls.close(call)
            link.cancel_call(call.item.number)
        return self._decode_reply(call, peer)

    def resolve(self, reply: FrameItem, sender_tag: int) -> None:
        """Completes the pending call of a reply; counts replies without one."""
        if not self._calls.resolve(reply, sender_tag):
            self._metrics.increment('peer_reply_dropped', 'no_call')

    def reconnect(self, link: PeerLink, reason: str) -> None:
        """Replaces the socket of a link and resends its unanswered calls.

        The peer may already have handled a resent call, so handlers must be
        idempotent.
        """
        link.replace_socket(reason)
        for item in self._calls.unanswered_by(link.peer_tag):
            self._resend(link, item)

    async def _wait(
        self,
        call: PendingCall,
        link: PeerLink,
        timeout_ms: int,
    ) -> None:
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        retry_delay_ms = _FIRST_RETRY_DELAY_MS
        while not call.answered.is_set():
            started_ms = self._clock.monotonic_ms()
            if started_ms >= deadline_ms:
                return
            wait_ms = min(retry_delay_ms, deadline_ms - started_ms)
            with anyio.move_on_after(wait_ms / _MS_PER_SECOND):
                await call.answered.wait()
            self._retry(call, link, started_ms)
            retry_delay_ms *= 2

    def _retry(
        self,
        call: PendingCall,
        link: PeerLink,
        started_ms: int,
    ) -> None:
        """Resends a call, or reports a link without replies since the attempt.

        If the link has delivered other replies, only this frame was lost.
        """
        if call.answered.is_set():
            return
        if link.last_reply_ms is None or link.last_reply_ms < started_ms:
            self._on_suspect(link)
        else:
            self._metrics.increment('peer_call_repeated')
            self._resend(self._links.find(link.peer) or link, call.item)

    def _resend(self, link: PeerLink, item: FrameItem) -> None:
        try:
            link.requeue_call(item)
        except LinkFullError:
            self._metrics.increment('peer_call_not_repeated')

    def _decode_reply(self, call: PendingCall, peer: VmIdentity) -> Any:
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
        reason_label: str,
        detail: str = '',
    ) -> PeerUnreachableError:
        self._metrics.increment('peer_request_failed', reason_label)
        return PeerUnreachableError(
            step=Step.PEER_REQUEST,
            peer=peer.key,
            reason=detail or reason_label,
        )
