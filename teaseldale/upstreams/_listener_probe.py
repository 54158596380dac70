"""Probes whether a process listens at an address."""

import asyncio
import enum
from typing import Protocol

from teaseldale.upstreams._tcp_network import BaseTcpNetwork, SystemTcpNetwork

_SYSTEM_NETWORK = SystemTcpNetwork()


@enum.unique
class ProbeOutcome(enum.StrEnum):
    """What became of a new connection."""

    ACCEPTED = 'accepted'
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


async def probe_listener(
    ip: str,
    port: int,
    *,
    timeout_ms: float,
    network: BaseTcpNetwork = _SYSTEM_NETWORK,
) -> ProbeOutcome:
    """Opens a connection and closes it at once, without sending anything."""
    try:
        transport, _ = await network.dial(
            asyncio.Protocol,
            (ip, port),
            timeout_ms=timeout_ms,
        )
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except OSError:
        return ProbeOutcome.UNANSWERED
    transport.abort()
    return ProbeOutcome.ACCEPTED
