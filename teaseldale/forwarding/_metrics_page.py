"""Service that exposes metrics in the Prometheus text format."""

from anyio.abc import TaskGroup

from teaseldale.forwarding._node import Address
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.web import EmbeddedServer, Exchange

_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)


class MetricsPage(BaseService):
    """Serves all metrics on every path of an address."""

    def __init__(self, *, address: Address, metrics: Metrics) -> None:
        """Listens on ``address`` after ``start``."""
        self._metrics = metrics
        self._server = EmbeddedServer(
            address=str(address),
            respond=self._respond,
        )

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'metrics_page'

    async def start(self, tasks: TaskGroup) -> None:
        """Opens the listening socket."""
        await self._server.start(tasks)

    async def _respond(self, exchange: Exchange) -> None:
        await exchange.answer(200, self._metrics.render().encode(), _TEXT)
