"""Probes whether a process listens at an address."""

import asyncio
import enum
from typing import Protocol

from teaseldale.upstreams._tcp_network import BaseTcpNetwork, SystemTcpNetwork

_MS_PER_SECOND = 1000
_SYSTEM_NETWORK = SystemTcpNetwork()


@enum.unique
class ProbeOutcome(enum.StrEnum):
    """What became of a new connection."""

    ACCEPTED = 'accepted'
    ENDED = 'ended'  # accepted, but not held open
    REFUSED = 'refused'  # the host is up, but no process listens
    UNANSWERED = 'unanswered'  # nothing was received in time


class ListenerProbe(Protocol):
    """Signature of ``probe_listener``."""

    async def __call__(
        self,
        ip: str,
        port: int,
        *,
        timeout_ms: float,
    ) -> ProbeOutcome:
        """Opens a connection to ``ip``:``port``."""


class HeldConnection(asyncio.Protocol):
    """A connection without requests that its peer may end."""

    def __init__(self) -> None:
        """Creates a connection that is not open yet."""
        self._lost = asyncio.Event()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the wait."""
        self._lost.set()

    async def hold(self, hold_ms: float) -> ProbeOutcome:
        """Returns whether the peer keeps the connection for ``hold_ms``."""
        if not hold_ms:
            return ProbeOutcome.ACCEPTED
        try:
            async with asyncio.timeout(hold_ms / _MS_PER_SECOND):
                await self._lost.wait()
        except TimeoutError:
            return ProbeOutcome.ACCEPTED
        return ProbeOutcome.ENDED


async def probe_listener(
    ip: str,
    port: int,
    *,
    timeout_ms: float,
    hold_ms: float = 0,
    network: BaseTcpNetwork = _SYSTEM_NETWORK,
) -> ProbeOutcome:
    """Opens a connection and closes it without sending anything.

    The kernel may accept connections for a process that is exiting, and ends
    them when it closes the listener. ``hold_ms`` is the time to wait for that.
    """
    try:
        transport, connection = await network.dial(
            HeldConnection,
            (ip, port),
            timeout_ms=timeout_ms,
        )
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except OSError:
        return ProbeOutcome.UNANSWERED
    try:
        return await connection.hold(hold_ms)
    finally:
        transport.abort()
