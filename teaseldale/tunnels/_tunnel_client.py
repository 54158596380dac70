"""Opens tunnels to runners through other VMs."""

import asyncio

import anyio
import attrs

from teaseldale.metrics import Metrics
from teaseldale.tunnels._handshake import (
    TunnelReply,
    TunnelRequest,
    TunnelStatus,
    decode_reply,
    encode_request,
)
from teaseldale.tunnels._head_reader import HeadReader
from teaseldale.tunnels._relay_choice import RelayChoice
from teaseldale.tunnels._tunnel import Tunnel
from teaseldale.upstreams import BaseTcpNetwork, PeerAddress, ProbeOutcome

_MS_PER_SECOND = 1000
# A VM that opens a tunnel answers within few ms; the next one is asked beside
# it after this time.
_STAGGER_MS = 60
_DIAL_TIMEOUT_MS = 200
_REPLY_TIMEOUT_MS = 500
_MAX_RELAYS = 5


class NoTunnelError(ConnectionError):
    """No other VM has opened a connection to the runner."""

    def __init__(self, message: str, *, verdict: ProbeOutcome | None) -> None:
        """Stores the verdict of the VMs that answered; None without any."""
        super().__init__(message)
        self.verdict = verdict


@attrs.define(kw_only=True)
class _Search:
    address: PeerAddress
    tunnel: Tunnel | None = None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    statuses: list[TunnelStatus] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    def found(self, tunnel: Tunnel) -> None:
        """Ends the search; drops a tunnel that another VM opened later."""
        if self.tunnel is not None:
            tunnel.transport.abort()
            return
        self.tunnel = tunnel
        self.scope.cancel()

    def not_found(self) -> NoTunnelError:
        """Returns the error of a search that has failed."""
        verdict = None
        if TunnelStatus.REFUSED in self.statuses:
            verdict = ProbeOutcome.REFUSED
        elif self.statuses:
            verdict = ProbeOutcome.UNANSWERED
        reasons = ', '.join(self.failures) or 'there is no other VM'
        return NoTunnelError(
            f'no VM reaches the runner: {reasons}',
            verdict=verdict,
        )


class _TunnelDeniedError(ConnectionError):
    def __init__(self, status: TunnelStatus) -> None:
        super().__init__(status.name.lower())
        self.status = status


class TunnelClient:
    """Asks other VMs for tunnels, one after the other until one opens it."""

    def __init__(
        self,
        *,
        network: BaseTcpNetwork,
        choice: RelayChoice,
        metrics: Metrics,
    ) -> None:
        """Asks the VMs in the order of ``choice``."""
        self._network = network
        self._choice = choice
        self._metrics = metrics

    async def open(
        self,
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> Tunnel:
        """Returns a tunnel to the runner at ``address``.

        Raises ``NoTunnelError``.
        """
        search = _Search(address=address)
        try:
            with anyio.move_on_after(timeout_ms / _MS_PER_SECOND):
                await self._search(search)
        except BaseException:
            if search.tunnel is not None:
                search.tunnel.transport.abort()
            raise
        if search.tunnel is None:
            self._metrics.increment('tunnel_searches', 'failed')
            raise search.not_found()
        self._metrics.increment('tunnel_searches', 'opened')
        return search.tunnel

    async def _search(self, search: _Search) -> None:
        with search.scope:
            async with anyio.create_task_group() as tasks:
                for candidate in self._choice.candidates(_MAX_RELAYS):
                    has_ended = anyio.Event()
                    tasks.start_soon(self._ask, search, *candidate, has_ended)
                    await _wait_for(has_ended)

    async def _ask(
        self,
        search: _Search,
        vm_name: str,
        vm_address: PeerAddress,
        has_ended: anyio.Event,
    ) -> None:
        try:
            tunnel = await self._open_through(vm_address, search.address)
        except (OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            search.failures.append(f'{vm_name}: {reason}')
            if isinstance(error, _TunnelDeniedError):
                search.statuses.append(error.status)
            self._choice.note(vm_name, is_open=False)
        else:
            self._choice.note(vm_name, is_open=True)
            search.found(tunnel)
        has_ended.set()

    async def _open_through(
        self,
        vm_address: PeerAddress,
        address: PeerAddress,
    ) -> Tunnel:
        """Raises ``OSError`` or ``ValueError``."""
        transport, reader = await self._network.dial(
            HeadReader,
            vm_address,
            timeout_ms=_DIAL_TIMEOUT_MS,
        )
        try:
            reply = await _ask_for(address, transport, reader)
        except BaseException:
            transport.abort()
            raise
        return Tunnel(transport=transport, reply=reply)


async def _ask_for(
    address: PeerAddress,
    transport: asyncio.Transport,
    reader: HeadReader,
) -> TunnelReply:
    """Raises ``OSError`` or ``ValueError``."""
    transport.write(encode_request(TunnelRequest(address=address)))
    head = await reader.read_head(_REPLY_TIMEOUT_MS / _MS_PER_SECOND)
    reply = decode_reply(head)
    if reply.status is not TunnelStatus.OPEN:
        raise _TunnelDeniedError(reply.status)
    return reply


async def _wait_for(has_ended: anyio.Event) -> None:
    with anyio.move_on_after(_STAGGER_MS / _MS_PER_SECOND):
        await has_ended.wait()
