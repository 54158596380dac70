"""Status row that shows operators the progress of a version order."""

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
    """Encodes the status rows of version orders."""

    def status_write(self, order: VersionOrder, phase: OrderPhase) -> RowWrite:
        """Returns the write that publishes the state of an order."""
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
