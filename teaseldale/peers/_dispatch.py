"""Dispatch of incoming calls to their handlers."""

from typing import Any

import attrs

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError, PlatformError
from teaseldale.peers._codec import (
    EncodedMessage,
    MalformedMessageError,
    MessageCodec,
    UnknownMessageError,
)
from teaseldale.peers._frames import HANDLER_FAILED_KIND
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._network import Handler

_MAX_CONCURRENT_CALLS = 1024


@attrs.frozen(kw_only=True)
class HandlerFailed:
    """Reply to a call that was not handled or whose handler failed."""

    reason: str


class Dispatcher:
    """Runs the handlers of calls and converts errors to failure replies."""

    def __init__(self, *, codec: MessageCodec, metrics: Metrics) -> None:
        """Creates a dispatcher without handlers."""
        self._codec = codec
        self._metrics = metrics
        self._handlers: dict[type, Handler] = {}
        self._running_count = 0
        codec.register(HandlerFailed, kind=HANDLER_FAILED_KIND)

    def add(self, message_type: type, handler: Handler) -> None:
        """Registers the handler for a message type."""
        self._handlers[message_type] = handler

    async def answer(
        self,
        sender: VmIdentity,
        encoded: EncodedMessage,
    ) -> EncodedMessage:
        """Returns the encoded reply; does not raise on any input."""
        if self._running_count >= _MAX_CONCURRENT_CALLS:
            return self.failure('busy', 'more calls than a VM handles at once')
        self._running_count += 1
        try:
            return await self._handle_message(sender, encoded)
        finally:
            self._running_count -= 1

    def failure(self, reason_label: str, text: str) -> EncodedMessage:
        """Counts a failed call and returns an encoded ``HandlerFailed``."""
        self._metrics.increment('peer_call_failed', reason_label)
        return self._codec.encode(HandlerFailed(reason=text))

    async def _handle_message(
        self,
        sender: VmIdentity,
        encoded: EncodedMessage,
    ) -> EncodedMessage:
        try:
            message = self._codec.decode(encoded)
        except UnknownMessageError as unknown:
            return self.failure('unknown_message', str(unknown))
        except MalformedMessageError as malformed:
            return self.failure('malformed_message', str(malformed))
        try:
            reply = await self._run_handler(sender, message)
        except (PlatformError, PeerUnreachableError) as outage:
            return self.failure('dependency', str(outage))
        except Exception as defect:
            return self.failure('defect', repr(defect))
        return reply

    async def _run_handler(
        self, sender: VmIdentity, message: Any
    ) -> EncodedMessage:
        reply = await self._handlers[type(message)](sender, message)
        return self._codec.encode(reply)
