"""Registry of outgoing calls that await their replies."""

import itertools

import anyio
import attrs

from teaseldale.peers._codec import EncodedMessage
from teaseldale.peers._frames import HANDLER_FAILED_KIND, FrameItem


@attrs.define(kw_only=True)
class PendingCall:
    """An outgoing call and, once received, its reply."""

    item: FrameItem
    peer_tag: int  # tag of the called incarnation
    answered: anyio.Event
    reply: EncodedMessage | None = None  # set before ``answered``


class PendingCalls:
    """Assigns numbers to calls and matches replies by number."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._numbers = itertools.count(1)
        self._calls: dict[int, PendingCall] = {}

    def open(self, message: EncodedMessage, peer_tag: int) -> PendingCall:
        """Registers a call under a new number."""
        item = FrameItem(number=next(self._numbers), message=message)
        call = PendingCall(
            item=item,
            peer_tag=peer_tag,
            answered=anyio.Event(),
        )
        self._calls[item.number] = call
        return call

    def close(self, call: PendingCall) -> None:
        """Removes a call, whether it was answered or abandoned."""
        self._calls.pop(call.item.number, None)

    def resolve(self, reply: FrameItem, sender_tag: int) -> bool:
        """Completes the call of a reply; returns False if it has none.

        From an incarnation other than the called one only a failure is
        accepted: the one that replaced it at its address replies with that.
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

    def unanswered_by(self, peer_tag: int) -> tuple[FrameItem, ...]:
        """Returns the unanswered calls to an incarnation."""
        return tuple(
            call.item
            for call in self._calls.values()
            if call.peer_tag == peer_tag and not call.answered.is_set()
        )
