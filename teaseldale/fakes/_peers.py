"""In-memory peer network with link cuts, paused VMs and VM crashes."""

import random
from typing import Any

import anyio
import msgspec

from teaseldale.fakes._pause import PauseGate
from teaseldale.outcomes import PeerUnreachableError, Step
from teaseldale.peers import BasePeerNetwork, Handler, VmIdentity

_MS_PER_SECOND = 1000


class FakePeerFabric:
    """Network of fake VMs and the state of the links between them."""

    def __init__(
        self,
        *,
        latency_ms: int = 1,
        random_source: random.Random | None = None,
    ) -> None:
        """Creates a fabric without VMs; ``latency_ms`` is one-way latency."""
        self.networks: dict[str, 'FakePeerNetwork'] = {}
        self.listed: dict[str, VmIdentity] = {}  # membership list
        self.reply_loss_rate: float = 0  # fraction of replies lost
        self.count_bytes = True
        self._random = random_source or random.Random(0)
        self.cut_links: set[frozenset[str]] = set()  # pairs of VM names
        self.paused: set[str] = set()  # names of VMs that do not answer
        self.latency_ms = latency_ms
        self.message_count = 0
        self.byte_count = 0

    def join(
        self,
        identity: VmIdentity,
        gate: PauseGate | None = None,
    ) -> 'FakePeerNetwork':
        """Adds a VM; replaces an existing one of the same name."""
        network = FakePeerNetwork(
            fabric=self,
            identity=identity,
            gate=gate or PauseGate(),
        )
        self.networks[identity.name] = network
        self.listed[identity.name] = identity
        return network

    def remove(self, name: str) -> None:
        """Removes a VM as if it had crashed; it stays on the list."""
        self.networks.pop(name, None)

    def unlist(self, name: str) -> None:
        """Removes a VM from the membership list."""
        self.listed.pop(name, None)

    def leave(self, name: str) -> None:
        """Removes a VM that has shut down gracefully."""
        self.remove(name)
        self.unlist(name)

    def drops_reply(self) -> bool:
        """Decides at random whether the next reply is lost."""
        return self._random.random() < self.reply_loss_rate

    def cut(self, first: str, second: str) -> None:
        """Cuts the link between two VMs in both directions."""
        self.cut_links.add(frozenset((first, second)))

    def heal(self) -> None:
        """Restores all cut links."""
        self.cut_links.clear()

    def connected(self, first: str, second: str) -> bool:
        """Whether a message between two VMs would be delivered now."""
        ends = frozenset((first, second))
        return (
            ends not in self.cut_links
            and ends.issubset(self.networks)
            and ends.isdisjoint(self.paused)
            and not any(self.networks[end].gate.paused for end in ends)
        )


class FakePeerNetwork(BasePeerNetwork):
    """Peer network as seen by one VM."""

    def __init__(
        self,
        *,
        fabric: FakePeerFabric,
        identity: VmIdentity,
        gate: PauseGate,
    ) -> None:
        """Creates the network; use ``FakePeerFabric.join`` instead."""
        self.gate = gate
        self._fabric = fabric
        self._identity = identity
        self._handlers: dict[type, Handler] = {}

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
        """Registers the handler of one message type."""
        self._handlers[message_type] = handler

    async def request(
        self,
        peer: VmIdentity,
        message: Any,
        *,
        timeout_ms: int,
    ) -> Any:
        """Delivers a message and returns the reply.

        Raises ``PeerUnreachableError`` on a time-out, or if another incarnation
        has replaced the peer.
        """
        try:
            with anyio.fail_after(timeout_ms / _MS_PER_SECOND):
                await self._transmit(peer, message)
                target = self._fabric.networks[peer.name]
                reply = await target.receive(self._identity, message)
                await self._transmit(peer, reply)
                if self._fabric.drops_reply():
                    await anyio.sleep_forever()
        except TimeoutError as error:
            await self.gate.wait_while_paused()
            raise _unreachable_error(peer, 'time-out') from error
        await self.gate.wait_while_paused()
        if target.identity != peer:
            raise _unreachable_error(peer, 'replaced by another incarnation')
        return reply

    async def receive(self, sender: VmIdentity, message: Any) -> Any:
        """Runs the handler of a received message and returns the reply."""
        return await self._handlers[type(message)](sender, message)

    def known_peers(self) -> tuple[VmIdentity, ...]:
        """Returns all listed VMs except this one."""
        return tuple(
            identity
            for identity in self._fabric.listed.values()
            if identity.name != self._identity.name
        )

    def reachable_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the known peers that are connected now."""
        return tuple(
            peer
            for peer in self.known_peers()
            if self._fabric.connected(self._identity.name, peer.name)
        )

    async def _transmit(self, peer: VmIdentity, message: Any) -> None:
        self._fabric.message_count += 1
        if self._fabric.count_bytes:
            self._fabric.byte_count += len(msgspec.msgpack.encode(message))
        await anyio.sleep(self._fabric.latency_ms / _MS_PER_SECOND)
        if not self._fabric.connected(self._identity.name, peer.name):
            await anyio.sleep_forever()


def _unreachable_error(peer: VmIdentity, reason: str) -> PeerUnreachableError:
    return PeerUnreachableError(
        step=Step.PEER_REQUEST,
        peer=peer.key,
        reason=reason,
    )
