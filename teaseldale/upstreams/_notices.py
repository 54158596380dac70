"""Broadcast of quarantine notices, with relays around broken links."""

import anyio
import attrs

from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.upstreams._crash_suspects import ReportedCrash

_NOTICE_TIMEOUT_MS = 500
_RELAY_TIMEOUT_MS = 1200
_MAX_RELAYS = 2


@attrs.frozen(kw_only=True)
class CrashNotice:
    """Notice that upstreams crashed while running a request."""

    fingerprint: str
    crashes: tuple[ReportedCrash, ...]  # all that the sender knows


@attrs.frozen(kw_only=True)
class ReleaseNotice:
    """Notice that a fingerprint completed or was released by an operator."""

    fingerprint: str


@attrs.frozen(kw_only=True)
class NoticeTaken:
    """Acknowledgement of a crash or release notice."""


@attrs.frozen(kw_only=True)
class RelayRequest:
    """Asks a VM to forward one notice to another VM."""

    target: VmIdentity
    crash: CrashNotice | None = None
    release: ReleaseNotice | None = None


@attrs.frozen(kw_only=True)
class RelayReply:
    """Reply that tells whether the target acknowledged the notice."""

    told: bool


_Notice = CrashNotice | ReleaseNotice


class NoticeBroadcaster:
    """Broadcasts notices to all VMs, directly or through a relay."""

    def __init__(self, *, network: BasePeerNetwork, metrics: Metrics) -> None:
        """Registers the handler of relay requests."""
        self._network = network
        self._metrics = metrics
        network.handle(
            RelayRequest,
            kind='quarantine_relay',
            reply_type=RelayReply,
            handler=self._handle_relay,
        )

    async def broadcast(self, notice: _Notice) -> None:
        """Sends a notice to all VMs.

        Returns when every VM has acknowledged it or the relays are exhausted.
        """
        acknowledged: dict[str, VmIdentity] = {}
        async with anyio.create_task_group() as tasks:
            for peer in self._network.reachable_peers():
                tasks.start_soon(
                    self._send_and_record, peer, notice, acknowledged
                )
        for target in self._network.known_peers():
            if target.key not in acknowledged:
                await self._relay(target, notice, tuple(acknowledged.values()))

    async def _send_and_record(
        self,
        peer: VmIdentity,
        notice: _Notice,
        acknowledged: dict[str, VmIdentity],
    ) -> None:
        if await self._send(peer, notice):
            acknowledged[peer.key] = peer

    async def _send(self, peer: VmIdentity, notice: _Notice) -> bool:
        try:
            await self._network.request(
                peer,
                notice,
                timeout_ms=_NOTICE_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return False
        return True

    async def _relay(
        self,
        target: VmIdentity,
        notice: _Notice,
        relays: tuple[VmIdentity, ...],
    ) -> None:
        request = RelayRequest(
            target=target,
            crash=notice if isinstance(notice, CrashNotice) else None,
            release=notice if isinstance(notice, ReleaseNotice) else None,
        )
        for relay in relays[:_MAX_RELAYS]:
            try:
                reply: RelayReply = await self._network.request(
                    relay,
                    request,
                    timeout_ms=_RELAY_TIMEOUT_MS,
                )
            except PeerUnreachableError:
                continue
            if reply.told:
                return
        self._metrics.increment('quarantine_notices_lost')

    async def _handle_relay(
        self,
        _sender: VmIdentity,
        request: RelayRequest,
    ) -> RelayReply:
        notice = request.crash or request.release
        if notice is None:
            return RelayReply(told=False)
        return RelayReply(told=await self._send(request.target, notice))
