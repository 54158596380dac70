"""TCP in memory, between hosts whose paths can be cut."""

import asyncio
import enum
import functools
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from teaseldale.upstreams import (
    BaseTcpNetwork,
    Listener,
    PeerAddress,
    ProtocolT,
)

_MS_PER_SECOND = 1000
_LATENCY_SECONDS = 0.001
# Timers that expire at one moment run in no order.
_MIN_SPACING_SECONDS = 1e-9
# From the cut of a path until both ends give up a connection over it.
_GIVE_UP_SECONDS = 2


@enum.unique
class CutMode(enum.StrEnum):
    """How a cut path behaves."""

    SILENT = 'silent'  # connections hang
    RESET = 'reset'  # connections are reset, new ones refused
    NEW_REFUSED = 'new refused'  # open connections go on


class _FakeSocket:
    def __init__(self) -> None:
        self.resets_on_close = False

    def setsockopt(self, level: int, option: int, amount: object) -> None:
        if option == socket.SO_LINGER:
            self.resets_on_close = True

    def getsockopt(self, level: int, option: int) -> int:
        return 0


class FakeTransport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(
        self,
        *,
        fabric: 'FakeTcpFabric',
        hosts: tuple[str, str],
        peer_address: PeerAddress,
    ) -> None:
        """Sends from the first to the second of ``hosts``."""
        super().__init__()
        self.fabric = fabric
        self.hosts = hosts
        self.other: FakeTransport | None = None
        self.protocol: Any = None
        self.is_lost = False
        self._peer_address = peer_address
        self._socket = _FakeSocket()
        self._held: deque[Callable[[], None]] = deque()

    def connect(self, other: 'FakeTransport', protocol: Any) -> None:
        """Joins both ends."""
        self.other = other
        self.protocol = protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns the socket or the peer's address."""
        return {'socket': self._socket, 'peername': self._peer_address}.get(
            name,
            default,
        )

    def set_protocol(self, protocol: Any) -> None:  # noqa: WPS615
        """Replaces the protocol."""
        self.protocol = protocol

    def is_closing(self) -> bool:
        """Returns whether the connection is closed."""
        return self.is_lost

    def write(self, data: Any) -> None:
        """Sends bytes."""
        content = bytes(data)
        self._send(lambda end: end.protocol.data_received(content))

    def write_eof(self) -> None:
        """Sends the end of this direction."""
        self._send(_receive_end)

    def can_write_eof(self) -> bool:
        """Returns True."""
        return True

    def pause_reading(self) -> None:
        """Does nothing, as nothing is buffered here."""

    def resume_reading(self) -> None:
        """Does nothing, as nothing is buffered here."""

    def set_write_buffer_limits(
        self,
        high: int | None = None,
        low: int | None = None,
    ) -> None:
        """Does nothing, as nothing is buffered here."""

    def close(self) -> None:
        """Closes the connection in good order."""
        self.abort()

    def abort(self) -> None:
        """Closes the connection; its peer sees an end or a reset."""
        if self.is_lost:
            return
        if self._socket.resets_on_close:
            self._send(_receive_reset)
        else:
            self._send(_receive_end)
        self.lose(None)

    def lose(self, error: Exception | None) -> None:
        """Ends the connection at this end only."""
        if not self.is_lost:
            self.is_lost = True
            self.fabric.transports.discard(self)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, error)

    def release_held(self) -> None:
        """Sends what was held back by a cut."""
        while self._held:
            self._send_later(self._held.popleft())

    def _deliver(self, action: 'Callable[[FakeTransport], None]') -> None:
        if self.other is not None and not self.other.is_lost:
            action(self.other)

    def _send(self, action: 'Callable[[FakeTransport], None]') -> None:
        deliver = functools.partial(self._deliver, action)
        if self.fabric.hangs(*self.hosts):
            self._held.append(deliver)
        else:
            self._send_later(deliver)

    def _send_later(self, deliver: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        at = max(
            loop.time() + _LATENCY_SECONDS,
            self.fabric.last_delivery + _MIN_SPACING_SECONDS,
        )
        self.fabric.last_delivery = at
        loop.call_at(at, deliver)


def _receive_end(end: FakeTransport) -> None:
    if not end.protocol.eof_received():
        end.abort()


def _receive_reset(end: FakeTransport) -> None:
    end.lose(ConnectionResetError())


class _FakeListener:
    def __init__(self, *, close: Callable[[], object]) -> None:
        self._close = close

    def close(self) -> None:
        self._close()


@attrs.frozen(kw_only=True)
class _Listener:
    host: str
    make_protocol: Callable[[], asyncio.Protocol]


class FakeTcpFabric:
    """Hosts, their listeners and the cuts between them."""

    def __init__(self) -> None:
        """Starts without hosts."""
        self.listeners: dict[PeerAddress, _Listener] = {}
        self.transports: set[FakeTransport] = set()
        self.last_delivery: float = 0
        self.dial_count = 0
        self._cuts: dict[frozenset[str], CutMode] = {}

    def cut(self, host: str, others: tuple[str, ...], mode: CutMode) -> None:
        """Cuts the paths between ``host`` and each of ``others``."""
        pairs = {frozenset((host, other)) for other in others}
        self._cuts.update(dict.fromkeys(pairs, mode))
        for transport in self._between(pairs):
            if mode is CutMode.RESET:
                transport.lose(ConnectionResetError())
            elif mode is CutMode.SILENT:
                loop = asyncio.get_running_loop()
                loop.call_later(_GIVE_UP_SECONDS, self._give_up, transport)

    def kill(self, host: str) -> None:
        """Ends the processes of a host; its peers see ends without resets."""
        self.stop_listening(host)
        for transport in tuple(self.transports):
            if transport.hosts[0] == host:
                # A process that is gone acts on nothing any more.
                transport.protocol = asyncio.Protocol()
                transport.abort()

    def stop_listening(self, host: str) -> None:
        """Closes all listeners of a host."""
        for address, listener in tuple(self.listeners.items()):
            if listener.host == host:
                self.listeners.pop(address)

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()
        for transport in tuple(self.transports):
            transport.release_held()

    def hangs(self, *hosts: str) -> bool:
        """Returns whether nothing passes between two hosts."""
        return self.mode(*hosts) is CutMode.SILENT

    def mode(self, *hosts: str) -> CutMode | None:
        """Returns how the path between two hosts is cut, or None."""
        return self._cuts.get(frozenset(hosts))

    def _between(self, pairs: set[frozenset[str]]) -> list[FakeTransport]:
        return [
            transport
            for transport in self.transports
            if frozenset(transport.hosts) in pairs
        ]

    def _give_up(self, transport: FakeTransport) -> None:
        if self.hangs(*transport.hosts):
            transport.lose(TimeoutError())


class FakeTcpNetwork(BaseTcpNetwork):
    """The network as one host uses it."""

    def __init__(self, *, fabric: FakeTcpFabric, host: str) -> None:
        """Dials and listens as ``host``."""
        self._fabric = fabric
        self._host = host

    async def dial(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: PeerAddress,
        *,
        timeout_ms: float,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Opens a connection; raises ``OSError``."""
        self._fabric.dial_count += 1
        listener = self._fabric.listeners.get(address)
        target = '' if listener is None else listener.host
        mode = self._fabric.mode(self._host, target)
        if mode is CutMode.SILENT:
            await asyncio.sleep(timeout_ms / _MS_PER_SECOND)
            raise TimeoutError
        await asyncio.sleep(2 * _LATENCY_SECONDS)
        if mode is not None or listener is None:
            raise ConnectionRefusedError
        protocol = make_protocol()
        accepted = listener.make_protocol()
        near = self._transport((self._host, target), address)
        far = self._transport((target, self._host), (self._host, 0))
        near.connect(far, protocol)
        far.connect(near, accepted)
        accepted.connection_made(far)
        protocol.connection_made(near)
        return near, protocol

    async def listen(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        address: PeerAddress,
    ) -> Listener:
        """Accepts connections at ``address``."""
        self._fabric.listeners[address] = _Listener(
            host=self._host,
            make_protocol=make_protocol,
        )
        return _FakeListener(
            close=lambda: self._fabric.listeners.pop(address, None),
        )

    def _transport(
        self,
        hosts: tuple[str, str],
        peer_address: PeerAddress,
    ) -> FakeTransport:
        transport = FakeTransport(
            fabric=self._fabric,
            hosts=hosts,
            peer_address=peer_address,
        )
        self._fabric.transports.add(transport)
        return transport
