"""TCP connections and listeners, as an interface that tests replace."""

import abc
import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, TypeVar

_MS_PER_SECOND = 1000
# The path counts as dead when data stays unacknowledged for this long. The
# limit exceeds the time of two retransmissions of a lost packet.
_UNACKNOWLEDGED_LIMIT_MS = 1500
_PROBE_IDLE_SECONDS = 1  # idle time before the kernel sends probes
_PROBE_INTERVAL_SECONDS = 1
_PROBE_COUNT = 2
# Received bytes that have not been read count as memory of the process, and up
# to a buffer of them is read at once.
_RECEIVE_BUFFER_BYTES = 32_768

# IP address and port.
PeerAddress = tuple[str, int]
ProtocolT = TypeVar('ProtocolT', bound=asyncio.Protocol)


class Listener(Protocol):
    """Accepts connections until it is closed."""

    def close(self) -> None:
        """Stops accepting connections."""


class BaseTcpNetwork(abc.ABC):
    """Opens and accepts TCP connections."""

    @abc.abstractmethod
    async def dial(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Opens a connection.

        Raises ``ConnectionRefusedError`` if no process listens, and another
        ``OSError`` if there is no answer in time.
        """

    @abc.abstractmethod
    async def listen(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        address: PeerAddress,
    ) -> Listener:
        """Accepts connections; raises ``OSError`` if it cannot listen."""


class SystemTcpNetwork(BaseTcpNetwork):
    """TCP of the operating system, with probes of silent connections."""

    async def dial(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Opens a connection; raises ``OSError``."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_ms / _MS_PER_SECOND):
            transport, protocol = await loop.create_connection(
                make_protocol,
                *address,
            )
        _enable_keepalive(transport)
        return transport, protocol

    async def listen(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        address: PeerAddress,
    ) -> Listener:
        """Accepts connections; raises ``OSError`` if it cannot listen."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(make_protocol, *address)


def _enable_keepalive(transport: asyncio.Transport) -> None:
    connection_socket = transport.get_extra_info('socket')
    for option, amount in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_LIMIT_MS),
        (socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _PROBE_COUNT),
    ):
        connection_socket.setsockopt(socket.IPPROTO_TCP, option, amount)
    connection_socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_RCVBUF,
        _RECEIVE_BUFFER_BYTES,
    )
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
