"""Service that exposes metrics in the Prometheus text format."""

from anyio.abc import TaskGroup

from teaseldale.forwarding._node import Address
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.web import (
    ClientLimits,
    EmbeddedServer,
    Exchange,
    HeadLimits,
    reserved_clients,
)

_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)
_HEAD_BYTES = 16_384
_HEAD_TIMEOUT_MS = 3000


def _head_limits() -> HeadLimits:
    # Collectors ask every 15 to 60 s; the idle time-out stays above that.
    return HeadLimits(
        head_bytes=_HEAD_BYTES,
        head_timeout_ms=_HEAD_TIMEOUT_MS,
    )


class MetricsPage(BaseService):
    """Serves all metrics on every path of an address."""

    def __init__(
        self,
        *,
        address: Address,
        metrics: Metrics,
        client_limits: ClientLimits,
    ) -> None:
        """Listens on ``address`` after ``start``."""
        self._metrics = metrics
        self._server = EmbeddedServer(
            address=str(address),
            respond=self._respond,
            metrics=metrics,
            limits=_head_limits,
            clients=reserved_clients(
                name='metrics_page',
                limits=client_limits,
                metrics=metrics,
            ),
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
