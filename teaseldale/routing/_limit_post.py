"""Sending of the datagrams about limited runners."""

from collections.abc import Callable

import msgspec

from teaseldale.metrics import Metrics
from teaseldale.routing._limit_holders import BaseLimitHolders
from teaseldale.routing._limit_messages import LimitRequest, LimitState


class LimitPost:
    """Sends messages to VMs by their names."""

    def __init__(
        self,
        *,
        holders: BaseLimitHolders,
        metrics: Metrics,
    ) -> None:
        """Sends nothing until ``send_datagram`` is set."""
        self._holders = holders
        self._metrics = metrics
        self.send_datagram: Callable[[str, bytes], None] | None = None

    def send(
        self,
        vm_name: str,
        kind: bytes,
        message: LimitRequest | LimitState,
    ) -> None:
        """Sends a message; counts it if the VM has no address."""
        address = self._holders.address_of(vm_name)
        if self.send_datagram is None or address is None:
            self._metrics.increment('limit_messages_not_sent')
            return
        self.send_datagram(address, kind + msgspec.msgpack.encode(message))
