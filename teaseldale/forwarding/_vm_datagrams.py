"""Service that exchanges datagrams with other VMs.

Nothing rests on a datagram's arrival: placements are counts that the next one
replaces, and a VM that is short of tokens asks again. Placements go to the VMs
of the same cell only, so that a VM hears no more in a larger fleet.
"""

import asyncio

import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import AccountGrants
from teaseldale.clock import BaseClock
from teaseldale.forwarding._node import Address
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members import FleetCells, MemberList
from teaseldale.metrics import Metrics
from teaseldale.routing import PlacementExchange

# Pause in which changed counts gather before they are told. Prompts take some
# ten to some hundred ms
# to be read, so that older counts would often miss the newest one.
_INTERVAL_MS = 15
# Longer in a large cell: each VM sends up to 300 notices a second, which leaves
# the thinnest links of today's deployments to requests.
_PAUSE_MS_OF_PEER = 3
# First byte of a datagram.
_PLACEMENTS = b'p'
# A VM of the cell that is silent for so long has gone. It is longer than cuts
# and freezes on the deployments of today.
_GONE_MS = 30_000
_GONE_CHECK_MS = 5000


class VmDatagrams(BaseService):
    """Sends this VM's notices to its cell and takes those of others."""

    def __init__(
        self,
        *,
        address: Address,
        exchange: PlacementExchange,
        cells: FleetCells,
        members: MemberList,
        grants: AccountGrants,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Listens on ``address``."""
        self._address = address
        self._cells = cells
        self._members = members
        self._exchange = exchange
        self._grants = grants
        self._clock = clock
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._log = StateLog(channel='placements')

    @property
    def name(self) -> str:
        """Service name."""
        return 'vm_datagrams'

    async def start(self, tasks: TaskGroup) -> None:
        """Opens the socket and starts to send."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(
                exchange=self._exchange,
                grants=self._grants,
                metrics=self._metrics,
            ),
            local_addr=(self._address.ip, self._address.port),
        )
        self._transport = transport
        self._grants.send_by(self._send_one)
        tasks.start_soon(self._send)
        tasks.start_soon(self._remove_gone)

    async def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    async def _send(self) -> None:
        while True:
            await self._exchange.wait_for_news()
            pause_ms = len(self._cells.peers) * _PAUSE_MS_OF_PEER
            await self._clock.sleep_ms(max(_INTERVAL_MS, pause_ms))
            self._exchange.drop_silent()
            notice = self._exchange.next_notice()
            if notice is not None:
                self._send_to_cell(_PLACEMENTS + notice)

    def _send_to_cell(self, datagram: bytes) -> None:
        for entry in self._cells.peers.values():
            self._send_one(entry.address, datagram)

    async def _remove_gone(self) -> None:
        """Takes VMs off the list that nobody of the cell can have heard."""
        while True:
            await self._clock.sleep_ms(_GONE_CHECK_MS)
            peers = tuple(self._cells.peers)
            gone = self._exchange.silent_for(_GONE_MS, peers)
            # A VM that hears few others is cut off itself.
            if len(gone) * 2 <= len(peers):
                await self._members.remove_silent(gone)

    def _send_one(self, address: str, datagram: bytes) -> None:
        if self._transport is None:
            return
        ip, _, port = address.rpartition(':')
        self._transport.sendto(datagram, (ip, int(port)))
        self._metrics.increment('datagrams_sent')
        self._metrics.increment('datagram_bytes_sent', amount=len(datagram))


class _Receiver(asyncio.DatagramProtocol):
    def __init__(
        self,
        *,
        exchange: PlacementExchange,
        grants: AccountGrants,
        metrics: Metrics,
    ) -> None:
        self._exchange = exchange
        self._grants = grants
        self._metrics = metrics

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._metrics.increment('datagrams_received')
        self._metrics.increment('datagram_bytes_received', amount=len(data))
        try:
            self._take(data[:1], data[1:])
        except msgspec.DecodeError:
            self._metrics.increment('datagrams_unreadable')

    def _take(self, kind: bytes, content: bytes) -> None:
        if kind == _PLACEMENTS:
            self._exchange.take(content)
            return
        handler = self._grants.handlers.get(kind)
        if handler is None:
            self._metrics.increment('datagrams_unreadable')
        else:
            handler(content)

    def error_received(self, error: Exception) -> None:
        # A VM that has ended refuses datagrams until its row grows old.
        self._metrics.increment('datagrams_refused')
