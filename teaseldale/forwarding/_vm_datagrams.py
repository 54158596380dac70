"""Service that exchanges datagrams with other VMs.

Delivery is best effort: placements are sent repeatedly as totals, and a VM that
is short of tokens retries. Placements are sent only within the cell and within
a byte budget, so a VM's traffic grows neither with the fleet nor with its work.
"""

import asyncio
from collections.abc import Callable, Mapping

import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import AccountGrants
from teaseldale.clock import BaseClock
from teaseldale.forwarding._node import Address
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members import FleetCells, MemberList, VmEntry
from teaseldale.metrics import Metrics
from teaseldale.routing import (
    PartDirectory,
    PlacementDatagram,
    PlacementExchange,
    RunnerLimits,
    RunnerRooms,
)

# Coalescing interval of changed counts. Reading a prompt takes tens to hundreds
# of ms, so that older counts would often miss the latest request.
_COALESCE_MS = 15
# The interval grows with the cell, as each datagram goes to all VMs of it. The
# exchange itself limits the bytes.
_COALESCE_MS_PER_PEER = 3
# A VM of the cell that is silent for this long is removed from the list. Link
# outages and process pauses on current deployments are shorter.
_SILENCE_TIMEOUT_MS = 30_000
_SILENCE_CHECK_MS = 5000


class VmDatagrams(BaseService):
    """Exchanges placements, grants, and the limits and room of runners."""

    def __init__(
        self,
        *,
        address: Address,
        exchange: PlacementExchange,
        cells: FleetCells,
        members: MemberList,
        grants: AccountGrants,
        limits: RunnerLimits,
        rooms: RunnerRooms,
        part_directory: PartDirectory,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Listens on ``address`` after ``start``."""
        self._address = address
        self._cells = cells
        self._members = members
        self._exchange = exchange
        self._grants = grants
        self._limits = limits
        self._rooms = rooms
        self._part_directory = part_directory
        self._clock = clock
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._log = StateLog(channel='placements')

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'vm_datagrams'

    async def start(self, tasks: TaskGroup) -> None:
        """Opens the socket and starts the sending tasks."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(
                handlers={
                    **self._exchange.handlers,
                    **self._grants.handlers,
                    **self._limits.handlers,
                    **self._rooms.handlers,
                    **self._part_directory.handlers,
                },
                metrics=self._metrics,
            ),
            local_addr=(self._address.ip, self._address.port),
        )
        self._transport = transport
        self._grants.set_datagram_sender(self._send_datagram)
        self._limits.set_datagram_sender(self._send_datagram)
        self._rooms.set_datagram_sender(self._send_datagram)
        self._part_directory.set_datagram_sender(self._send_datagram)
        tasks.start_soon(self._send)
        tasks.start_soon(self._remove_silent_vms)

    async def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    async def _send(self) -> None:
        while True:
            await self._exchange.wait_for_change()
            pause_ms = len(self._cells.peers) * _COALESCE_MS_PER_PEER
            await self._clock.sleep_ms(max(_COALESCE_MS, pause_ms))
            self._exchange.remove_expired()
            peers = self._cells.peers
            for datagram in self._exchange.next_datagrams(tuple(peers)):
                self._send_placements(datagram, peers)

    def _send_placements(
        self,
        datagram: PlacementDatagram,
        peers: Mapping[str, VmEntry],
    ) -> None:
        for name in datagram.vm_names:
            self._send_datagram(peers[name].address, datagram.content)
            self._metrics.increment('notices_sent')
            self._metrics.increment(
                'notice_bytes_sent',
                amount=len(datagram.content),
            )

    async def _remove_silent_vms(self) -> None:
        """Removes silent VMs of the cell from the member list."""
        while True:
            await self._clock.sleep_ms(_SILENCE_CHECK_MS)
            peers = tuple(self._cells.peers)
            silent = self._exchange.silent_for(_SILENCE_TIMEOUT_MS, peers)
            # With more than half of the cell silent, this VM itself is cut off.
            if len(silent) * 2 <= len(peers):
                await self._members.remove_silent(silent)

    def _send_datagram(self, address: str, datagram: bytes) -> None:
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
        handlers: Mapping[bytes, Callable[[bytes], None]],
        metrics: Metrics,
    ) -> None:
        self._handlers = handlers
        self._metrics = metrics

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._metrics.increment('datagrams_received')
        self._metrics.increment('datagram_bytes_received', amount=len(data))
        try:
            self._dispatch(data[:1], data[1:])
        except msgspec.DecodeError:
            self._metrics.increment('datagrams_unreadable')

    def _dispatch(self, kind: bytes, content: bytes) -> None:
        handler = self._handlers.get(kind)
        if handler is None:
            self._metrics.increment('datagrams_unreadable')
        else:
            handler(content)

    def error_received(self, error: Exception) -> None:
        # The host of an ended VM rejects datagrams until its row is removed.
        self._metrics.increment('datagrams_refused')
