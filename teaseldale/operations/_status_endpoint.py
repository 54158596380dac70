"""Endpoint that shows the state of one VM."""

from teaseldale.notes import BaseConfigurationSource
from teaseldale.peers import BasePeerNetwork
from teaseldale.web import EndpointCall


class StatusEndpoint:
    """Shows the VM's configuration revision and its peers."""

    def __init__(
        self,
        *,
        configuration: BaseConfigurationSource,
        peers: BasePeerNetwork,
    ) -> None:
        """Looks at the given parts."""
        self._configuration = configuration
        self._peers = peers

    async def show(self, _call: EndpointCall) -> object:
        """Returns what this VM knows of the fleet."""
        peers = self._peers
        return {
            'vm': peers.identity,
            'revision': self._configuration.current().revision,
            'known_peers': [peer.key for peer in peers.known_peers()],
            'reachable_peers': [peer.key for peer in peers.reachable_peers()],
        }
