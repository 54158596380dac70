"""Peer links over pynng request and reply sockets."""

from typing import Any

import anyio
import attrs
import msgspec
import pynng
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.outcomes import PeerUnreachableError, PlatformError, Step
from teaseldale.peers._codec import MessageCodec
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._network import BasePeerNetwork, Handler
from teaseldale.platform import BaseMembershipList, MemberState, VmMember

_HANDLER_TASKS = 8
_HEARTBEAT_INTERVAL_MS = 1000
_HEARTBEAT_TIMEOUT_MS = 800
_MEMBERSHIP_INTERVAL_MS = 1000
_NO_RESEND = -1
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Asks whether the peer runs."""

    sent_ms: int  # sender's monotonic clock


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Echo of a heartbeat."""

    sent_ms: int


@attrs.frozen(kw_only=True)
class HandlerFailed:
    """Reply to a message whose handler failed or that is unknown."""

    reason: str


class PynngPeerNetwork(BasePeerNetwork, BaseService):
    """Full mesh of links within the fleet, by the membership list."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        membership: BaseMembershipList,
        clock: BaseClock,
    ) -> None:
        """Prepares the links; nothing is opened before ``start``."""
        self._identity = identity
        self._membership = membership
        self._clock = clock
        self._codec = MessageCodec()
        self._handlers: dict[type, Handler] = {}
        self._peers: dict[str, VmIdentity] = {}
        self._sockets: dict[str, Any] = {}
        self._reachable: set[str] = set()
        self._state = MemberState.LIVE
        self._sender = msgspec.msgpack.encode(identity)
        self._codec.register(HandlerFailed, kind='handler_failed')
        self.handle(
            Heartbeat,
            kind='heartbeat',
            reply_type=HeartbeatReply,
            handler=_echo,
        )

    @property
    def name(self) -> str:
        """Service name."""
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
        """Registers the handler of one message type and its reply type."""
        self._codec.register(message_type, kind=kind, version=version)
        self._codec.register(
            reply_type,
            kind=f'{kind}_reply',
            version=version,
        )
        self._handlers[message_type] = handler

    async def start(self, tasks: TaskGroup) -> None:
        """Listens for peers and starts following the membership list."""
        listener = pynng.Rep0(listen=_url_of(self._identity))
        for _ in range(_HANDLER_TASKS):
            tasks.start_soon(self._serve, listener.new_context())
        tasks.start_soon(self._follow_membership, tasks)

    async def drain(self) -> None:
        """Tells the membership list that this VM leaves."""
        self._state = MemberState.LEAVING
        await self._announce()

    async def request(
        self,
        peer: VmIdentity,
        message: Any,
        *,
        timeout_ms: int,
    ) -> Any:
        """Returns the peer's reply, or raises ``PeerUnreachableError``."""
        socket = self._socket_to(peer)
        encoded = self._codec.encode(message, sender=self._sender)
        try:
            with (
                anyio.fail_after(timeout_ms / _MS_PER_SECOND),
                socket.new_context() as context,
            ):
                await context.asend(encoded)
                answer = await context.arecv()
        except (TimeoutError, pynng.NNGException) as error:
            self._drop_socket(peer)
            raise _unreachable(peer, type(error).__name__) from error
        reply, sender = self._codec.decode(answer)
        if msgspec.msgpack.decode(sender, type=VmIdentity) != peer:
            raise _unreachable(peer, 'replaced by another incarnation')
        if isinstance(reply, HandlerFailed):
            raise _unreachable(peer, reply.reason)
        return reply

    def known_peers(self) -> tuple[VmIdentity, ...]:
        """Other VMs on the membership list."""
        return tuple(self._peers.values())

    def reachable_peers(self) -> tuple[VmIdentity, ...]:
        """Known peers that answered their last heartbeat."""
        return tuple(
            peer for peer in self._peers.values() if peer.key in self._reachable
        )

    async def _serve(self, context: Any) -> None:
        while True:
            encoded = await context.arecv()
            reply = await self._handled(encoded)
            await context.asend(self._codec.encode(reply, sender=self._sender))

    async def _handled(self, encoded: bytes) -> Any:
        try:
            message, sender = self._codec.decode(encoded)
        except ValueError as error:
            return HandlerFailed(reason=str(error))
        identity = msgspec.msgpack.decode(sender, type=VmIdentity)
        try:
            return await self._handlers[type(message)](identity, message)
        except (PlatformError, PeerUnreachableError) as error:
            return HandlerFailed(reason=str(error))

    async def _follow_membership(self, tasks: TaskGroup) -> None:
        while True:
            try:
                await self._announce()
                members = await self._membership.members()
            except PlatformError:
                members = ()
            if members:
                self._update_peers(members, tasks)
            await self._clock.sleep_ms(_MEMBERSHIP_INTERVAL_MS)

    async def _announce(self) -> None:
        await self._membership.announce(
            VmMember(
                name=self._identity.name,
                incarnation=self._identity.incarnation,
                address=self._identity.address,
                availability_zone=self._identity.availability_zone,
                state=self._state,
            ),
        )

    def _update_peers(
        self,
        members: tuple[VmMember, ...],
        tasks: TaskGroup,
    ) -> None:
        listed = {
            identity.key: identity
            for identity in map(_identity_of, members)
            if identity.name != self._identity.name
        }
        for key, peer in listed.items():
            if key not in self._peers:
                tasks.start_soon(self._watch, peer)
        self._peers = listed

    async def _watch(self, peer: VmIdentity) -> None:
        await anyio.lowlevel.checkpoint()
        while peer.key in self._peers:
            beat = Heartbeat(sent_ms=self._clock.monotonic_ms())
            try:
                await self.request(peer, beat, timeout_ms=_HEARTBEAT_TIMEOUT_MS)
            except PeerUnreachableError:
                self._reachable.discard(peer.key)
            else:
                self._reachable.add(peer.key)
            await self._clock.sleep_ms(_HEARTBEAT_INTERVAL_MS)
        self._reachable.discard(peer.key)
        self._drop_socket(peer)

    def _socket_to(self, peer: VmIdentity) -> Any:
        socket = self._sockets.get(peer.key)
        if socket is None:
            socket = pynng.Req0(resend_time=_NO_RESEND)
            socket.dial(_url_of(peer), block=False)
            self._sockets[peer.key] = socket
        return socket

    def _drop_socket(self, peer: VmIdentity) -> None:
        socket = self._sockets.pop(peer.key, None)
        if socket is not None:
            socket.close()


def _url_of(identity: VmIdentity) -> str:
    return f'tcp://{identity.address}'


async def _echo(_sender: VmIdentity, message: Heartbeat) -> HeartbeatReply:
    return HeartbeatReply(sent_ms=message.sent_ms)


def _identity_of(member: VmMember) -> VmIdentity:
    return VmIdentity(
        name=member.name,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        address=member.address,
    )


def _unreachable(peer: VmIdentity, reason: str) -> PeerUnreachableError:
    return PeerUnreachableError(
        step=Step.PEER_REQUEST,
        peer=peer.key,
        reason=reason,
    )
