"""Interface of the links between VMs."""

import abc
from collections.abc import Awaitable, Callable
from typing import Any

from teaseldale.peers._identity import VmIdentity

Handler = Callable[[VmIdentity, Any], Awaitable[Any]]


class BasePeerNetwork(abc.ABC):
    """Request and reply between VMs of the fleet.

    A handler takes the sender and the message and returns the reply message.
    Messages may be lost, and a request that timed out may have been handled:
    handlers are idempotent.
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
        """Registers the handler of one message type and its reply type."""

    @abc.abstractmethod
    async def request(
        self,
        peer: VmIdentity,
        message: Any,
        *,
        timeout_ms: int,
    ) -> Any:
        """Returns the peer's reply, or raises ``PeerUnreachableError``.

        A reply from another incarnation than ``peer`` counts as unreachable.
        """

    @abc.abstractmethod
    def known_peers(self) -> tuple[VmIdentity, ...]:
        """Other VMs on the membership list, without this one."""

    @abc.abstractmethod
    def reachable_peers(self) -> tuple[VmIdentity, ...]:
        """Known peers that answered a heartbeat within its time limit."""
