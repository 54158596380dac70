"""Receives the frames of all peers on one listening socket."""

import anyio
import pynng
from anyio.abc import TaskGroup

from teaseldale.metrics import Metrics
from teaseldale.peers._caller import Caller
from teaseldale.peers._codec import MalformedMessageError
from teaseldale.peers._directory import PeerDirectory
from teaseldale.peers._dispatch import Dispatcher
from teaseldale.peers._frames import (
    Frame,
    FrameItem,
    decode_frame,
    identity_tag,
)
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._link import LinkFullError, listener_url
from teaseldale.peers._links import LinkSet

_FRAME_LIMIT_BYTES = 16_777_216
_FRAMES_PER_TURN = 32


class Receiver:
    """Delivers replies to the caller and runs each call in its own task."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        directory: PeerDirectory,
        caller: Caller,
        dispatcher: Dispatcher,
        links: LinkSet,
        metrics: Metrics,
    ) -> None:
        """Creates a receiver; ``listen`` opens its socket."""
        self._identity = identity
        self._tag = identity_tag(identity)
        self._directory = directory
        self._caller = caller
        self._dispatcher = dispatcher
        self._links = links
        self._metrics = metrics
        self._scope: anyio.CancelScope | None = None

    def listen(self) -> pynng.Pull0:
        """Opens the listening socket at this VM's peer address."""
        return pynng.Pull0(
            listen=listener_url(self._identity),
            recv_max_size=_FRAME_LIMIT_BYTES,
        )

    async def run(self, listener: pynng.Pull0, tasks: TaskGroup) -> None:
        """Receives frames until ``stop`` is called, then closes the socket."""
        self._scope = anyio.CancelScope()
        with self._scope, listener:
            descriptor = listener.recv_fd
            while True:
                await anyio.wait_readable(descriptor)
                self._receive_frames(listener, tasks)

    def stop(self) -> None:
        """Cancels ``run``, which closes the socket."""
        if self._scope is not None:
            self._scope.cancel()

    def accept(self, encoded: bytes, tasks: TaskGroup) -> None:
        """Processes one frame; counts frames that it rejects."""
        self._metrics.increment('peer_frames_received')
        self._metrics.increment('peer_bytes_received', amount=len(encoded))
        try:
            frame = decode_frame(encoded)
        except MalformedMessageError:
            self._count_refused('malformed')
            return
        sender = self._identify_sender(frame)
        if sender is None:
            self._count_refused('unknown_sender')
            return
        self._complete_calls(sender, frame)
        for call in frame.calls:
            if frame.target_tag == self._tag:
                tasks.start_soon(self._handle_call, sender, call)
            else:
                self._reject_replaced(sender, call)

    def _receive_frames(self, listener: pynng.Pull0, tasks: TaskGroup) -> None:
        for _ in range(_FRAMES_PER_TURN):
            try:
                encoded = listener.recv(block=False)
            except pynng.TryAgain:
                return
            self.accept(encoded, tasks)

    def _count_refused(self, reason: str) -> None:
        self._metrics.increment('peer_frame_refused', reason)

    def _identify_sender(self, frame: Frame) -> VmIdentity | None:
        known = self._directory.find_tag(frame.sender_tag)
        if known is not None or frame.sender is None:
            return known
        if identity_tag(frame.sender) != frame.sender_tag:
            return None
        self._directory.add_unlisted(frame.sender)
        return frame.sender

    def _complete_calls(self, sender: VmIdentity, frame: Frame) -> None:
        if frame.target_tag != self._tag or not frame.replies:
            return
        link = self._links.find(sender)
        if link is not None:
            link.record_reply()
        for reply in frame.replies:
            self._caller.resolve(reply, frame.sender_tag)

    async def _handle_call(self, sender: VmIdentity, call: FrameItem) -> None:
        reply = await self._dispatcher.answer(sender, call.message)
        self._send_reply(sender, FrameItem(number=call.number, message=reply))

    def _reject_replaced(self, sender: VmIdentity, call: FrameItem) -> None:
        reply = self._dispatcher.failure(
            'other_incarnation',
            'replaced by another incarnation',
        )
        self._send_reply(sender, FrameItem(number=call.number, message=reply))

    def _send_reply(self, sender: VmIdentity, reply: FrameItem) -> None:
        try:
            self._links.get_or_open(sender).enqueue_reply(reply)
        except LinkFullError:
            self._metrics.increment('peer_reply_dropped', 'queue_full')
