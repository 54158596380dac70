"""Opens connections to runners."""

import abc
import asyncio
import functools
from collections.abc import Collection

import attrs

from teaseldale.upstreams._connection_end import SURVIVAL_MS
from teaseldale.upstreams._listener_probe import ProbeOutcome, probe_listener
from teaseldale.upstreams._response_protocol import ResponseProtocol
from teaseldale.upstreams._tcp_network import (
    BaseTcpNetwork,
    PeerAddress,
    SystemTcpNetwork,
)

# A lost SYN is retransmitted after one second; a new attempt is faster.
_CONNECT_TIMEOUT_MS = 700


@attrs.frozen(kw_only=True)
class RunnerChannel:
    """An open connection to a runner."""

    transport: asyncio.Transport
    protocol: ResponseProtocol
    is_tunnel: bool = False  # whether it leads through another VM


class BaseConnector(abc.ABC):
    """Opens connections to runners, and probes whether they listen."""

    @abc.abstractmethod
    async def connect(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> RunnerChannel:
        """Opens a connection; raises ``OSError`` if there is none in time."""

    @abc.abstractmethod
    async def probe(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
        hold_ms: float = 0,
    ) -> ProbeOutcome:
        """Returns what became of a new connection, without sending anything.

        The connection is held open for ``hold_ms``.
        """

    def note_heard(self, address: PeerAddress) -> None:  # noqa: B027
        """Records that the runner has answered on a direct connection."""

    def keep_only(
        self,
        addresses: Collection[PeerAddress],
    ) -> None:
        """Drops what is known of runners that have ended."""


class DirectConnector(BaseConnector):
    """Opens connections from this VM to the runner itself."""

    def __init__(self, *, network: BaseTcpNetwork | None = None) -> None:
        """Uses the operating system's TCP unless ``network`` is given."""
        self._network = network or SystemTcpNetwork()

    async def connect(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> RunnerChannel:
        """Opens a connection; raises ``OSError`` if there is none in time."""
        transport, protocol = await self._network.dial(
            self._make_protocol,
            address,
            timeout_ms=min(timeout_ms, _CONNECT_TIMEOUT_MS),
        )
        return RunnerChannel(transport=transport, protocol=protocol)

    async def probe(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
        hold_ms: float = 0,
    ) -> ProbeOutcome:
        """Returns what became of a new connection, without sending anything."""
        return await probe_listener(
            *address,
            timeout_ms=timeout_ms,
            hold_ms=hold_ms,
            network=self._network,
        )

    def _make_protocol(self) -> ResponseProtocol:
        return ResponseProtocol(
            probe=functools.partial(
                probe_listener,
                hold_ms=SURVIVAL_MS,
                network=self._network,
            ),
        )
