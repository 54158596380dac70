"""Two connections of which each forwards what the other one receives."""

import asyncio
import socket
import struct
from typing import cast

import anyio

from teaseldale.metrics import PeerTraffic
from teaseldale.upstreams import EndFinding

# Linger for no time: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class PipeEnd(asyncio.Protocol):
    """One connection of a pipe; passes on ends and resets as well."""

    def __init__(self) -> None:
        """Creates an end that is not joined yet."""
        self._transport: asyncio.Transport | None = None
        self._other: PipeEnd | None = None
        self._is_lost = False
        self._has_eof = False
        self.ended = anyio.Event()  # set once the connection is lost
        # Counts the bytes of the connection, if set.
        self.traffic: PeerTraffic | None = None

    @property
    def has_eof(self) -> bool:
        """Returns whether the peer sends nothing any more."""
        return self._has_eof

    def join(self, other: 'PipeEnd') -> None:
        """Forwards between this end and ``other`` from now on."""
        self._other = other
        other._other = self  # noqa: SLF001, WPS437
        for end in (self, other):
            if end._is_lost:  # noqa: SLF001, WPS437
                end.connection_lost(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The transports of uvloop do not subclass asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, received: bytes) -> None:
        """Forwards received bytes."""
        if self.traffic is not None:
            self.traffic.note_received(len(received))
        if self._other is not None:
            self._other.write(received)

    def eof_received(self) -> bool:
        """Forwards the end of a direction; the other one may go on.

        Returns whether to keep the connection.
        """
        self._has_eof = True
        return self._pass_end(EndFinding.NONE)

    def pause_writing(self) -> None:
        """Reads no more at the other end while this one's buffer is full."""
        if self._other is not None:
            self._other.pause_reading()

    def resume_writing(self) -> None:
        """Reads at the other end again."""
        if self._other is not None:
            self._other.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Closes the other end, or resets it if this one was reset."""
        self._is_lost = True
        self.ended.set()
        if self._other is None:
            return
        if error is None:
            self._other.close()
        else:
            self._other.reset()

    def write(self, content: bytes) -> None:
        """Sends bytes unless the connection is lost."""
        if self._transport is not None and not self._is_lost:
            self._transport.write(content)
            if self.traffic is not None:
                self.traffic.note_sent(len(content))

    def pause_reading(self) -> None:
        """Lets received bytes wait in the socket."""
        if self._transport is not None and not self._is_lost:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        if self._transport is not None and not self._is_lost:
            self._transport.resume_reading()

    def write_end(self, finding: EndFinding = EndFinding.NONE) -> None:
        """Sends the end of this direction, found to be ``finding``."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def _pass_end(self, finding: EndFinding) -> bool:
        """Forwards the end; returns whether to keep the connection."""
        other = self._other
        if other is None:
            return False
        other.write_end(finding)
        if other.has_eof:
            other.close()
        return not other.has_eof

    def close(self) -> None:
        """Closes the connection once its buffer has been sent."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Closes the connection in a way that its peer sees as a failure."""
        if self._transport is None or self._is_lost:
            return
        self._transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        self._transport.abort()
