"""Connections to runners, through other VMs where this VM has no path."""

from collections.abc import Collection

from teaseldale.clock import BaseClock
from teaseldale.tunnels._runner_paths import RunnerPaths
from teaseldale.tunnels._tunnel_client import NoTunnelError, TunnelClient
from teaseldale.upstreams import (
    BaseConnector,
    HeldConnection,
    PeerAddress,
    ProbeOutcome,
    ResponseProtocol,
    RunnerChannel,
)

# A host that is up answers within a few ms, unless a packet is lost.
_DIRECT_TIMEOUT_MS = 300
_TUNNEL_TIMEOUT_MS = 700
# A runner that no VM has reached is not searched for again for this long.
_DOWN_MS = 500
# A path on which the runner was heard within this time is not cut.
_HEARD_MS = 300
_REACHED = frozenset((ProbeOutcome.ACCEPTED, ProbeOutcome.ENDED))


class RelayingConnector(BaseConnector):
    """Connects directly, or by a tunnel if only other VMs reach the runner.

    One VM alone cannot tell a runner that is down from a path that is cut, so
    it asks other VMs: the path is cut if one of them reaches the runner.
    """

    def __init__(
        self,
        *,
        direct: BaseConnector,
        tunnels: TunnelClient,
        paths: RunnerPaths,
        clock: BaseClock,
    ) -> None:
        """Records in ``paths`` which runners only other VMs reach."""
        self._direct = direct
        self._tunnels = tunnels
        self._paths = paths
        self._clock = clock
        self._down_until_ms: dict[PeerAddress, int] = {}  # monotonic

    async def connect(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> RunnerChannel:
        """Opens a connection; raises ``OSError`` if there is none in time."""
        if self._paths.is_cut(address):
            return await self._connect_by_tunnel(address, timeout_ms)
        started_ms = self._clock.monotonic_ms()
        try:
            channel = await self._direct.connect(
                address,
                timeout_ms=min(timeout_ms, _DIRECT_TIMEOUT_MS),
            )
        except OSError as error:
            if self._is_down(address):
                raise
            waited_ms = self._clock.monotonic_ms() - started_ms
            channel = await self._connect_by_tunnel(
                address,
                timeout_ms - waited_ms,
            )
            self._mark_cut(
                address,
                is_silent=not isinstance(error, ConnectionRefusedError),
            )
        else:
            self._paths.note_heard(address)
        return channel

    async def probe(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
        hold_ms: float = 0,
    ) -> ProbeOutcome:
        """Returns what became of a new connection of this VM or another one.

        A runner that another VM reaches has accepted it.
        """
        outcome = ProbeOutcome.UNANSWERED
        if not self._paths.is_cut(address):
            outcome = await self._direct.probe(
                address,
                timeout_ms=timeout_ms,
                hold_ms=hold_ms,
            )
        if outcome in _REACHED:
            self._paths.note_heard(address)
            return outcome
        try:
            tunnel = await self._tunnels.open(
                address,
                timeout_ms=_TUNNEL_TIMEOUT_MS,
            )
        except NoTunnelError as error:
            return error.verdict or outcome
        self._mark_cut(
            address,
            is_silent=outcome is ProbeOutcome.UNANSWERED,
        )
        connection = HeldConnection()
        tunnel.attach(connection)
        try:
            return await connection.hold(hold_ms)
        finally:
            tunnel.transport.abort()

    def note_heard(self, address: PeerAddress) -> None:
        """Records that the runner has answered on a direct connection."""
        self._paths.note_heard(address)

    def keep_only(self, addresses: Collection[PeerAddress]) -> None:
        """Drops what is known of runners that have ended."""
        self._paths.keep_only(addresses)
        for ended in self._down_until_ms.keys() - addresses:
            self._down_until_ms.pop(ended)

    async def _connect_by_tunnel(
        self,
        address: PeerAddress,
        timeout_ms: float,
    ) -> RunnerChannel:
        try:
            tunnel = await self._tunnels.open(
                address,
                timeout_ms=min(timeout_ms, _TUNNEL_TIMEOUT_MS),
            )
        except NoTunnelError:
            now_ms = self._clock.monotonic_ms()
            self._down_until_ms[address] = now_ms + _DOWN_MS
            raise
        if tunnel.transport.is_closing():
            raise ConnectionResetError('the tunnel was closed')
        protocol = ResponseProtocol(probe=None)
        tunnel.attach(protocol)
        return RunnerChannel(
            transport=tunnel.transport,
            protocol=protocol,
            is_tunnel=True,
        )

    def _is_down(self, address: PeerAddress) -> bool:
        down_until_ms = self._down_until_ms.get(address, 0)
        if self._clock.monotonic_ms() < down_until_ms:
            return True
        self._down_until_ms.pop(address, None)
        return False

    def _mark_cut(self, address: PeerAddress, *, is_silent: bool) -> None:
        if is_silent and self._paths.is_heard(address, _HEARD_MS):
            # The runner is heard on other connections: a packet was lost.
            return
        self._paths.mark_cut(address, is_silent=is_silent)
