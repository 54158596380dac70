"""Peer network over pynng push and pull sockets."""

import functools
import random
from typing import Any

from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.peers._caller import Caller
from teaseldale.peers._codec import MessageCodec
from teaseldale.peers._directory import PeerDirectory
from teaseldale.peers._dispatch import Dispatcher
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._link import PeerLink
from teaseldale.peers._links import LinkSet
from teaseldale.peers._native_threads import limit_native_threads
from teaseldale.peers._network import BasePeerNetwork, Handler
from teaseldale.peers._receiver import Receiver
from teaseldale.peers._watch import Heartbeat, HeartbeatReply, LinkWatch
from teaseldale.peers._watches import WatchSet
from teaseldale.tables import BaseMembershipList

_HEARTBEAT_TIMEOUT_MS = 500
_HEARTBEAT_MIN_MS = 1000
_HEARTBEAT_PER_PEER_MS = 250
_MIN_SOCKET_AGE_MS = 500


class PynngPeerNetwork(BasePeerNetwork, BaseService):
    """Peer network with permanent links in the cell, others on demand."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        membership: BaseMembershipList,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Creates the network; no socket is opened before ``start``."""
        limit_native_threads()
        self._identity = identity
        self._clock = clock
        self._codec = MessageCodec()
        self._dispatcher = Dispatcher(codec=self._codec, metrics=metrics)
        self._links = LinkSet(identity=identity, clock=clock, metrics=metrics)
        self._directory = PeerDirectory(
            identity=identity,
            membership=membership,
            clock=clock,
            metrics=metrics,
        )
        self._caller = Caller(
            codec=self._codec,
            links=self._links,
            clock=clock,
            metrics=metrics,
            on_suspect=self._suspect,
        )
        self._receiver = Receiver(
            identity=identity,
            directory=self._directory,
            caller=self._caller,
            dispatcher=self._dispatcher,
            links=self._links,
            metrics=metrics,
        )
        self._watches = WatchSet(make_watch=self._make_watch)
        self._metrics = metrics
        self._random = random.Random(identity.key)
        self.handle(
            Heartbeat,
            kind='heartbeat',
            reply_type=HeartbeatReply,
            handler=self._answer_heartbeat,
        )

    @property
    def name(self) -> str:
        """Name of the service in the kernel."""
        return 'peers'

    @property
    def identity(self) -> VmIdentity:
        """Identity of this VM."""
        return self._identity

    def handle(
        self,
        message_type: type,
        *,
        kind: str,
        reply_type: type,
        handler: Handler,
        version: int = 1,
    ) -> None:
        """Registers the handler for a message type."""
        self._codec.register(message_type, kind=kind, version=version)
        self._codec.register(
            reply_type,
            kind=f'{kind}_reply',
            version=version,
        )
        self._dispatcher.add(message_type, handler)

    async def start(self, tasks: TaskGroup) -> None:
        """Opens the listener and starts to follow the membership list."""
        self._links.start(tasks)
        self._watches.start(tasks)
        listener = self._receiver.listen()
        tasks.start_soon(self._receiver.run, listener, tasks)
        tasks.start_soon(self._follow_membership)

    async def drain(self) -> None:
        """Announces on the membership list that this VM is leaving."""
        await self._directory.leave()

    async def stop(self) -> None:
        """Cancels all watches and closes all sockets."""
        self._watches.replace(())
        self._links.close_all()
        self._receiver.stop()

    async def request(
        self,
        peer: VmIdentity,
        message: Any,
        *,
        timeout_ms: int,
    ) -> Any:
        """Returns the peer's reply, or raises ``PeerUnreachableError``."""
        return await self._caller.call(peer, message, timeout_ms)

    def known_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the other VMs on the membership list."""
        return self._directory.peers()

    def reachable_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the peers that are reachable.

        Cell peers are monitored with heartbeats. Another peer is reachable
        while a link on which it has replied is open.
        """
        return tuple(
            peer for peer in self._directory.peers() if self._is_reachable(peer)
        )

    def _is_reachable(self, peer: VmIdentity) -> bool:
        watch = self._watches.find(peer)
        if watch is not None:
            return watch.reachable
        link = self._links.find(peer)
        return link is not None and link.last_reply_ms is not None

    async def _follow_membership(self) -> None:
        while True:
            if await self._directory.refresh():
                self._watches.replace(self._directory.cell_peers())
            self._links.close_idle(self._watches.keys())
            await self._directory.wait()

    def _make_watch(self, peer: VmIdentity) -> LinkWatch:
        return LinkWatch(
            link=self._links.get_or_open(peer),
            clock=self._clock,
            metrics=self._metrics,
            send=functools.partial(self._send_heartbeat, peer),
            reconnect=self._caller.reconnect,
            random_source=self._random,
            interval_ms=self._heartbeat_interval_ms(),
        )

    def _heartbeat_interval_ms(self) -> int:
        peer_count = len(self._directory.cell_peers())
        return max(_HEARTBEAT_MIN_MS, _HEARTBEAT_PER_PEER_MS * peer_count)

    async def _send_heartbeat(
        self,
        peer: VmIdentity,
        heartbeat: Heartbeat,
    ) -> None:
        await self._caller.call(peer, heartbeat, _HEARTBEAT_TIMEOUT_MS)

    async def _answer_heartbeat(
        self,
        sender: VmIdentity,
        heartbeat: Heartbeat,
    ) -> HeartbeatReply:
        link = self._links.get_or_open(sender)
        if heartbeat.replies_missing:
            self._reconnect(link, 'replies_missing')
        watch = self._watches.find(sender)
        if watch is not None:
            watch.on_peer_heartbeat()
        return HeartbeatReply()

    def _suspect(self, link: PeerLink) -> None:
        watch = self._watches.find(link.peer)
        if watch is None:
            self._reconnect(link, 'no_reply')
        else:
            watch.suspect()

    def _reconnect(self, link: PeerLink, reason: str) -> None:
        if link.socket_age_ms > _MIN_SOCKET_AGE_MS:
            self._caller.reconnect(link, reason)
