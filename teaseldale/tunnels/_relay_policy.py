"""What a VM that relays to runners decides by."""

import abc

from teaseldale.upstreams import BaseProcessWitness, PeerAddress, WireHeaders


class BaseRelayPolicy(abc.ABC):
    """Decides which tunnels are opened; learns from the answers in them.

    To a runner, the VM that relays a request is the one that has sent it.
    """

    @abc.abstractmethod
    def is_registered(self, address: PeerAddress) -> bool:
        """Returns whether a runner at this address is not leaving."""

    @abc.abstractmethod
    def is_paused(self, address: PeerAddress) -> bool:
        """Returns whether the runner there asks this VM for a pause."""

    @abc.abstractmethod
    def witness_of(self, address: PeerAddress) -> BaseProcessWitness | None:
        """Returns what shows whether the process of the runner goes on.

        None if there is no such connection.
        """

    @abc.abstractmethod
    def note_answer(
        self,
        address: PeerAddress,
        status: int,
        headers: WireHeaders,
    ) -> None:
        """Records the head of an answer that has passed through a tunnel."""
