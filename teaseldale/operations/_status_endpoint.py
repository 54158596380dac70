"""Endpoint that returns the status of one VM."""

from teaseldale.notes import BaseConfigurationSource
from teaseldale.peers import BasePeerNetwork
from teaseldale.web import EndpointCall


class StatusEndpoint:
    """Reports the VM's identity, configuration revision and peers."""

    def __init__(
        self,
        *,
        configuration: BaseConfigurationSource,
        peers: BasePeerNetwork,
    ) -> None:
        """Creates the endpoint, which reads the state of its arguments."""
        self._configuration = configuration
        self._peers = peers

    async def show(self, _call: EndpointCall) -> object:
        """Returns the status; known peers may be currently unreachable."""
        peers = self._peers
        return {
            'vm': peers.identity,
            'revision': self._configuration.current().revision,
            'known_peers': [peer.key for peer in peers.known_peers()],
            'reachable_peers': [peer.key for peer in peers.reachable_peers()],
        }
