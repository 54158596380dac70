"""Examines the end of a connection that ended a response body."""

import asyncio
import socket

import httpcore

from teaseldale.upstreams._listener_probe import ListenerProbe, ProbeOutcome
from teaseldale.upstreams._tcp_network import PeerAddress

# Time for a reset to arrive after an end-of-file.
_RESET_WAIT_SECONDS = 0.01
# A SYN may be lost or dropped, so an unanswered probe is repeated.
_PROBE_TIMEOUT_MS = 700
_PROBE_TRIES = 2


class ConnectionEnd:
    """Evidence that a peer closed its connection in good order.

    A process that crashes stops listening before its connections end, and the
    end may come without a reset. So an end counts as intended only if the peer
    accepts a new connection and no reset has followed.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        peer_address: PeerAddress,
        probe: ListenerProbe,
    ) -> None:
        """Examines a transport whose peer has sent its end-of-file."""
        self._transport = transport
        self._peer_address = peer_address
        self._probe = probe

    async def find_fault(self) -> httpcore.ReadError | None:
        """Returns why the response must count as truncated, or None.

        Takes the time of a new connection, and 10 ms at least.
        """
        reset_wait = asyncio.create_task(asyncio.sleep(_RESET_WAIT_SECONDS))
        outcome = await self._probe_peer()
        await reset_wait
        if self._is_reset():
            return httpcore.ReadError('the connection was reset')
        if outcome is ProbeOutcome.ACCEPTED:
            return None
        return httpcore.ReadError(
            f'the response has no length, and a new connection is {outcome}',
        )

    def close(self) -> None:
        """Closes the transport."""
        self._transport.close()

    def _is_reset(self) -> bool:
        connection_socket = self._transport.get_extra_info('socket')
        return bool(
            connection_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR),
        )

    async def _probe_peer(self) -> ProbeOutcome:
        outcome = ProbeOutcome.UNANSWERED
        for _ in range(_PROBE_TRIES):
            outcome = await self._probe(
                *self._peer_address,
                timeout_ms=_PROBE_TIMEOUT_MS,
            )
            if outcome is not ProbeOutcome.UNANSWERED:
                break
        return outcome
