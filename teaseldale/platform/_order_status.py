"""The row in which operators read how far an ordered version has got."""

import msgspec

from teaseldale.forwarding import BaseOrderStatus, VersionOrder
from teaseldale.moves import OrderPhase
from teaseldale.tables import RowWrite

_TABLE = 'status'
_PREFIX = 'rollout/'
_PHASES = {
    OrderPhase.CANARY: 'in_progress',
    OrderPhase.FULL: 'in_progress',
    OrderPhase.COMPLETED: 'completed',
    OrderPhase.TAKEN_BACK: 'rolled_back',
}


class _StatusRecord(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    version: str = msgspec.field(name='Target')
    phase: str = msgspec.field(name='State')


class PlatformOrderStatus(BaseOrderStatus):
    """Writes the state of an order for the platform's operators."""

    def status_write(self, order: VersionOrder, phase: OrderPhase) -> RowWrite:
        """Returns the write of an order's state."""
        record = _StatusRecord(
            service=order.service,
            version=order.version,
            phase=_PHASES[phase],
        )
        return RowWrite(
            table=_TABLE,
            key=f'{_PREFIX}{order.service}',
            value=msgspec.json.encode(record),
        )
