"""Probes whether a process listens at an address."""

import asyncio
import enum
from typing import Protocol

_MS_PER_SECOND = 1000


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
) -> ProbeOutcome:
    """Opens a connection and closes it at once, without sending anything."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_SECOND):
            transport, _ = await loop.create_connection(
                asyncio.Protocol,
                ip,
                port,
            )
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except OSError:
        return ProbeOutcome.UNANSWERED
    transport.abort()
    return ProbeOutcome.ACCEPTED
