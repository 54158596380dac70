"""Interface for request/reply messaging between VMs."""

import abc
from collections.abc import Awaitable, Callable
from typing import Any

from teaseldale.peers._identity import VmIdentity

Handler = Callable[[VmIdentity, Any], Awaitable[Any]]


class BasePeerNetwork(abc.ABC):
    """Request/reply messaging between VMs of the fleet.

    A handler takes the sender and the message and returns the reply message.
    Messages may be lost, and a request that timed out may still have been
    handled, so handlers must be idempotent.
    """

    @property
    @abc.abstractmethod
    def identity(self) -> VmIdentity:
        """Identity of this VM."""

    @abc.abstractmethod
    def handle(
        self,
        message_type: type,
        *,
        kind: str,
        reply_type: type,
        handler: Handler,
        version: int = 1,
    ) -> None:
        """Registers the handler for a message type.

        ``kind`` names the message on the wire; ``version`` is the newest
        version of the message that this release knows.
        """

    @abc.abstractmethod
    async def request(
        self,
        peer: VmIdentity,
        message: Any,
        *,
        timeout_ms: int,
    ) -> Any:
        """Returns the peer's reply, or raises ``PeerUnreachableError``.

        The error is also raised if another incarnation than ``peer`` replies.
        """

    @abc.abstractmethod
    def known_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the VMs on the membership list, without this one."""

    @abc.abstractmethod
    def reachable_peers(self) -> tuple[VmIdentity, ...]:
        """Returns known peers that replied within the heartbeat timeout."""
