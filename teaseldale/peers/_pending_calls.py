"""Calls that wait for their replies."""

import itertools

import anyio
import attrs

from teaseldale.peers._codec import EncodedMessage
from teaseldale.peers._frames import HANDLER_FAILED_KIND, FrameItem


@attrs.define(kw_only=True)
class PendingCall:
    """One call of this VM."""

    item: FrameItem
    peer_tag: int  # incarnation that is asked
    answered: anyio.Event
    reply: EncodedMessage | None = None  # set before ``answered``


class PendingCalls:
    """Numbers calls and finds the one that a reply belongs to."""

    def __init__(self) -> None:
        """Creates a table without calls."""
        self._numbers = itertools.count(1)
        self._calls: dict[int, PendingCall] = {}

    def open(self, message: EncodedMessage, peer_tag: int) -> PendingCall:
        """Adds a call."""
        item = FrameItem(number=next(self._numbers), message=message)
        call = PendingCall(
            item=item,
            peer_tag=peer_tag,
            answered=anyio.Event(),
        )
        self._calls[item.number] = call
        return call

    def close(self, call: PendingCall) -> None:
        """Removes a call, answered or given up."""
        self._calls.pop(call.item.number, None)

    def resolve(self, reply: FrameItem, sender_tag: int) -> bool:
        """Hands a reply to its call; False if no call waits for it.

        Only a failure is taken from another incarnation than was asked: the
        one that has replaced it under the same address says so.
        """
        call = self._calls.get(reply.number)
        if call is None:
            return False
        failed = reply.message.kind == HANDLER_FAILED_KIND
        if call.peer_tag != sender_tag and not failed:
            return False
        call.reply = reply.message
        call.answered.set()
        return True

    def sent_to(self, peer_tag: int) -> tuple[FrameItem, ...]:
        """Returns the calls to an incarnation that wait for a reply."""
        return tuple(
            call.item
            for call in self._calls.values()
            if call.peer_tag == peer_tag and not call.answered.is_set()
        )
