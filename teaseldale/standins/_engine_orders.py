"""Orders to the engine stand-in, with or without a fencing check."""

import attrs
import msgspec

from teaseldale.web import EndpointCall

_BODY_LIMIT_BYTES = 1_048_576
_STATUS_OK = 200
_STATUS_CONFLICT = 409


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Order to load a version or to change the role."""

    order_id: str
    fencing_number: int
    action: str
    version: str


class EngineOrders:
    """Stores orders by id, so that resends are idempotent."""

    def __init__(self, *, checks_fencing: bool) -> None:
        """Rejects stale fencing numbers only if ``checks_fencing``."""
        self._checks_fencing = checks_fencing
        self._fencing_number = 0
        self._orders: dict[str, EngineOrder] = {}

    def accepted(self) -> list[EngineOrder]:
        """Returns the accepted orders."""
        return list(self._orders.values())

    async def accept(self, call: EndpointCall) -> None:
        """Accepts the order in the body, or answers 409 if it is stale."""
        body = await call.body(_BODY_LIMIT_BYTES)
        order = msgspec.json.decode(body, type=EngineOrder)
        if self._checks_fencing and order.fencing_number < self._fencing_number:
            await call.exchange.answer_json(_STATUS_CONFLICT, None)
            return
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        self._orders[order.order_id] = order
        await call.exchange.answer_json(_STATUS_OK, order)
