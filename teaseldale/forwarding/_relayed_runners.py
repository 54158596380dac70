"""Runners to which this VM relays requests of other VMs."""

from teaseldale.forwarding._connection_pools import RunnerConnectionPools
from teaseldale.forwarding._node import Address
from teaseldale.forwarding._runner_announcements import RunnerAnnouncements
from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.forwarding._wire import BaseWireFormat
from teaseldale.tunnels import BaseRelayPolicy
from teaseldale.upstreams import BaseProcessWitness, PeerAddress, WireHeaders


class RelayedRunners(BaseRelayPolicy):
    """Applies what runners announce in relayed answers to this VM as well."""

    def __init__(
        self,
        *,
        directory: RunnerDirectory,
        announcements: RunnerAnnouncements,
        connections: RunnerConnectionPools,
        wire: BaseWireFormat,
    ) -> None:
        """Decodes answers with ``wire``."""
        self._directory = directory
        self._announcements = announcements
        self._connections = connections
        self._wire = wire

    def is_registered(self, address: PeerAddress) -> bool:
        """Returns whether a runner at this address is not leaving."""
        return self._find(address) is not None

    def is_paused(self, address: PeerAddress) -> bool:
        """Returns whether the runner there gets nothing from this VM now.

        It asks this VM for a pause, or its availability zone is evacuated,
        which a VM that asks for a relay may not know yet.
        """
        runner = self._find(address)
        if runner is None:
            return False
        return self._announcements.find_objection(runner) is not None

    def witness_of(self, address: PeerAddress) -> BaseProcessWitness | None:
        """Returns the connection that also serves this VM's own requests."""
        runner = self._find(address)
        if runner is None:
            return None
        return self._connections.pool_for(runner).witness

    def note_answer(
        self,
        address: PeerAddress,
        status: int,
        headers: WireHeaders,
    ) -> None:
        """Applies the announcement in the head of a relayed answer."""
        runner = self._find(address)
        reply = self._wire.read_reply(status, headers)
        if runner is not None and not reply.is_misdirected:
            self._announcements.note_answer(runner, reply.announcement)

    def _find(self, address: PeerAddress) -> ForwardingRunner | None:
        ip, port = address
        return self._directory.find_at(Address(ip=ip, port=port))
