"""Sends and receives the datagrams about room at brittle runners."""

from collections.abc import Callable, Mapping

import msgspec

from teaseldale.metrics import Metrics
from teaseldale.routing._limit_holders import BaseLimitHolders
from teaseldale.routing._room_messages import (
    ROOM_REPORT,
    ROOM_STATE,
    RoomReport,
    RoomState,
)


class RoomPost:
    """Passes messages on to the VM that they are for, this one included."""

    def __init__(
        self,
        *,
        vm_name: str,
        holders: BaseLimitHolders,
        apply_report: Callable[[RoomReport], None],
        apply_state: Callable[[RoomState], None],
        metrics: Metrics,
    ) -> None:
        """Drops reports for other holders, and states of former ones."""
        self._vm_name = vm_name
        self._holders = holders
        self._apply_report = apply_report
        self._apply_state = apply_state
        self._metrics = metrics
        self._send: Callable[[str, bytes], None] | None = None
        self.handlers: Mapping[bytes, Callable[[bytes], None]] = {
            ROOM_REPORT: self._handle_report,
            ROOM_STATE: self._handle_state,
        }

    def set_datagram_sender(self, send: Callable[[str, bytes], None]) -> None:
        """Sets the function that sends a datagram to a VM's address."""
        self._send = send

    def send_report(self, report: RoomReport) -> None:
        """Sends a report to the holder of its runner's room."""
        holder = self._holders.holder_of(report.runner)
        if holder == self._vm_name:
            self._apply_report(report)
        else:
            self._send_to(holder, ROOM_REPORT, report)

    def send_state(self, vm_name: str, state: RoomState) -> None:
        """Sends a VM the state of a room that this VM holds."""
        if vm_name == self._vm_name:
            self._apply_state(state)
        else:
            self._send_to(vm_name, ROOM_STATE, state)

    def _handle_report(self, content: bytes) -> None:
        """Applies another VM's report; raises ``msgspec.DecodeError``."""
        report = msgspec.msgpack.decode(content, type=RoomReport)
        if self._holders.holder_of(report.runner) == self._vm_name:
            self._apply_report(report)
        else:
            self._metrics.increment('room_reports_misdirected')

    def _handle_state(self, content: bytes) -> None:
        """Applies the holder's state; raises ``msgspec.DecodeError``."""
        state = msgspec.msgpack.decode(content, type=RoomState)
        if self._holders.holder_of(state.runner) == state.vm_name:
            self._apply_state(state)
        else:
            self._metrics.increment('room_states_not_taken')

    def _send_to(
        self,
        vm_name: str,
        kind: bytes,
        message: RoomReport | RoomState,
    ) -> None:
        address = self._holders.address_of(vm_name)
        if self._send is None or address is None:
            self._metrics.increment('room_messages_not_sent')
            return
        self._send(address, kind + msgspec.msgpack.encode(message))
