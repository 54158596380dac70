"""Link to one peer incarnation: a socket with a bounded send queue."""

from collections import deque

import anyio
import pynng

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.peers._frames import (
    FRAME_FORMAT,
    Frame,
    FrameItem,
    encode_frame,
    identity_tag,
)
from teaseldale.peers._identity import VmIdentity

_BATCH_WINDOW_MS = 2
_BATCH_LIMIT_BYTES = 65_536
_QUEUE_LIMIT_BYTES = 1_048_576
_SOCKET_QUEUE_FRAMES = 8
_SOCKET_FULL_RETRY_MS = 10
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 2000


class LinkFullError(Exception):
    """The send queue of a link has reached its byte limit."""


class PeerLink:
    """Sends calls and replies to one peer.

    A link only sends: frames from the peer arrive at the ``Receiver``.
    """

    def __init__(
        self,
        *,
        identity: VmIdentity,
        peer: VmIdentity,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Opens the socket, which connects in the background."""
        self.peer = peer
        self.peer_tag = identity_tag(peer)
        self.last_reply_ms: int | None = None  # time of the last reply
        self.last_used_ms = clock.monotonic_ms()
        self._identity = identity
        self._tag = identity_tag(identity)
        self._clock = clock
        self._metrics = metrics
        self._calls: dict[int, FrameItem] = {}
        self._replies: deque[FrameItem] = deque()
        self._queued_bytes = 0
        self._last_sent_ms = 0
        self._last_item_count = 0  # number of items in the last frame
        self._peer_knows_identity = False
        self._closed = False
        self._items_queued = anyio.Event()
        self._socket = _open_socket(peer)
        self._opened_ms = clock.monotonic_ms()

    async def run(self) -> None:
        """Sends queued items in frames until cancelled."""
        while True:
            await self._items_queued.wait()
            self._items_queued = anyio.Event()
            await self._wait_for_batch()
            while self._calls or self._replies:
                await self._send(self._next_frame())

    def enqueue_call(self, item: FrameItem) -> None:
        """Queues a call; raises ``LinkFullError`` if the queue is full."""
        self._reserve(item)
        self._calls[item.number] = item
        self._items_queued.set()

    def requeue_call(self, item: FrameItem) -> None:
        """Queues a sent call again; raises ``LinkFullError`` if full.

        Has no effect on a call that is still queued.
        """
        if item.number not in self._calls:
            self.enqueue_call(item)

    def enqueue_reply(self, item: FrameItem) -> None:
        """Queues a reply; raises ``LinkFullError`` if the queue is full."""
        self._reserve(item)
        self._replies.append(item)
        self._items_queued.set()

    def cancel_call(self, number: int) -> None:
        """Removes a call from the queue once its caller no longer waits."""
        item = self._calls.pop(number, None)
        if item is not None:
            self._queued_bytes -= len(item.message.body)

    def record_reply(self) -> None:
        """Records that a reply to a call on this link was received."""
        self._peer_knows_identity = True
        self.last_reply_ms = self._clock.monotonic_ms()

    @property
    def socket_age_ms(self) -> int:
        """Milliseconds since the current socket was opened."""
        return self._clock.monotonic_ms() - self._opened_ms

    def replace_socket(self, reason: str) -> None:
        """Replaces the socket after missing replies and counts ``reason``."""
        self._metrics.increment('peer_link_replaced', reason)
        self._peer_knows_identity = False
        self._socket.close()
        self._socket = _open_socket(self.peer)
        self._opened_ms = self._clock.monotonic_ms()

    def close(self) -> None:
        """Closes the socket and discards queued items."""
        self._closed = True
        self._socket.close()

    def _reserve(self, item: FrameItem) -> None:
        size = len(item.message.body)
        if self._queued_bytes + size > _QUEUE_LIMIT_BYTES:
            self._metrics.increment('peer_queue_full')
            raise LinkFullError
        self._queued_bytes += size
        self.last_used_ms = self._clock.monotonic_ms()

    async def _wait_for_batch(self) -> None:
        """Waits to fill a batch if the last frame held several items."""
        if self._last_item_count < 2:
            return
        since_last_ms = self._clock.monotonic_ms() - self._last_sent_ms
        if since_last_ms < _BATCH_WINDOW_MS:
            await self._clock.sleep_ms(_BATCH_WINDOW_MS - since_last_ms)

    def _next_frame(self) -> bytes:
        remaining_bytes = _BATCH_LIMIT_BYTES
        replies: list[FrameItem] = []
        while self._replies and remaining_bytes > 0:
            replies.append(self._replies.popleft())
            remaining_bytes -= len(replies[-1].message.body)
        calls: list[FrameItem] = []
        while self._calls and remaining_bytes > 0:
            calls.append(self._calls.pop(next(iter(self._calls))))
            remaining_bytes -= len(calls[-1].message.body)
        self._queued_bytes -= _BATCH_LIMIT_BYTES - remaining_bytes
        self._last_item_count = len(calls) + len(replies)
        self._metrics.increment('peer_items_sent', 'call', len(calls))
        self._metrics.increment('peer_items_sent', 'reply', len(replies))
        return encode_frame(
            Frame(
                format=FRAME_FORMAT,
                sender_tag=self._tag,
                target_tag=self.peer_tag,
                sender=None if self._peer_knows_identity else self._identity,
                calls=tuple(calls),
                replies=tuple(replies),
            ),
        )

    async def _send(self, frame: bytes) -> None:
        while not self._closed and not self._try_send(frame):
            await self._clock.sleep_ms(_SOCKET_FULL_RETRY_MS)
        self._last_sent_ms = self._clock.monotonic_ms()
        self._metrics.increment('peer_frames_sent')
        self._metrics.increment('peer_bytes_sent', amount=len(frame))

    def _try_send(self, frame: bytes) -> bool:
        try:
            self._socket.send(frame, block=False)
        except pynng.TryAgain:
            self._metrics.increment('peer_socket_full')
            return False
        return True


def listener_url(identity: VmIdentity) -> str:
    """Returns the URL of a VM's peer listener."""
    return f'tcp://{identity.address}'


def _open_socket(peer: VmIdentity) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=_SOCKET_QUEUE_FRAMES,
        reconnect_time_min=_RECONNECT_MIN_MS,
        reconnect_time_max=_RECONNECT_MAX_MS,
    )
    socket.dial(listener_url(peer), block=False)
    return socket
