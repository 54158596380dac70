"""Operators' HTTP interface on a separate port."""

import hmac
from collections.abc import Callable

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.operations._refusals import (
    bad_request,
    body_too_large,
    not_found,
    store_unavailable,
    unauthorized,
)
from teaseldale.outcomes import PlatformError, Refusal
from teaseldale.web import (
    BodyTooLargeError,
    EmbeddedServer,
    EndpointCall,
    EndpointMatch,
    EndpointTable,
    Exchange,
    Responder,
)

_REFUSALS_COUNTER = 'operators_refusals'
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_BODY_LIMIT_BYTES = 16_777_216
_TEXT_HEADERS = ((b'content-type', b'text/plain; charset=utf-8'),)
_UNAUTHENTICATED_PATHS = frozenset(('/healthz', '/readyz'))


@attrs.frozen(kw_only=True)
class OperatorsDependencies:
    """Dependencies of the operators' interface."""

    is_ready: Callable[[], bool]  # whether the VM can serve callers
    metrics: Metrics
    shutdown: anyio.Event  # set to start draining this VM
    operators_key: str


class OperatorsInterface(BaseService):
    """Serves operators' requests and the load balancer's health checks."""

    def __init__(
        self, *, address: str, dependencies: OperatorsDependencies
    ) -> None:
        """Creates the interface; ``start`` opens the listening socket."""
        self._dependencies = dependencies
        self._server = EmbeddedServer(
            address=address,
            respond=self._respond,
            metrics=dependencies.metrics,
            refusals_counter=_REFUSALS_COUNTER,
        )
        self._endpoints = EndpointTable()
        self.add_endpoint('GET', '/healthz', self._healthz)
        self.add_endpoint('GET', '/readyz', self._readyz)
        self.add_endpoint('GET', '/metrics', self._metrics)
        self.add_endpoint('POST', '/drain', self._drain)

    @property
    def name(self) -> str:
        """Name under which the kernel registers the service."""
        return 'operations'

    def add_endpoint(
        self,
        method: str,
        path: str,
        responder: Responder,
    ) -> None:
        """Registers ``responder`` for requests of ``method`` on ``path``.

        The path may contain one ``{name}`` placeholder, whose value is passed
        in the call. Raises ``ValueError`` if the method and path are already
        registered.
        """
        self._endpoints.add(method, path, responder)

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the HTTP server."""
        await self._server.start(tasks)

    async def stop(self) -> None:
        """Stops the HTTP server once all services have drained."""
        await self._server.stop()

    async def _respond(self, exchange: Exchange) -> None:
        outcome = await self._outcome(exchange)
        if isinstance(outcome, Refusal):
            self._dependencies.metrics.increment(
                _REFUSALS_COUNTER, outcome.code
            )
            await exchange.refuse(outcome)
        elif not exchange.started:
            await exchange.answer_json(_STATUS_OK, outcome)

    async def _outcome(self, exchange: Exchange) -> object:
        if exchange.path not in _UNAUTHENTICATED_PATHS and not self._authorized(
            exchange
        ):
            return unauthorized()
        endpoint = self._endpoints.find(exchange.method, exchange.path)
        if endpoint is None:
            return not_found()
        return await _call(endpoint, exchange)

    def _authorized(self, exchange: Exchange) -> bool:
        header = exchange.header(b'authorization') or ''
        expected = ' '.join(('Bearer', self._dependencies.operators_key))
        return hmac.compare_digest(header.encode(), expected.encode())

    async def _healthz(self, call: EndpointCall) -> None:
        await call.exchange.answer(_STATUS_OK, b'ok\n', _TEXT_HEADERS)

    async def _readyz(self, call: EndpointCall) -> None:
        if (
            self._dependencies.is_ready()
            and not self._dependencies.shutdown.is_set()
        ):
            await call.exchange.answer(_STATUS_OK, b'ready\n', _TEXT_HEADERS)
            return
        await call.exchange.answer(
            _STATUS_UNAVAILABLE,
            b'not ready\n',
            _TEXT_HEADERS,
        )

    async def _metrics(self, call: EndpointCall) -> None:
        text = self._dependencies.metrics.render()
        await call.exchange.answer(_STATUS_OK, text.encode(), _TEXT_HEADERS)

    async def _drain(self, _call: EndpointCall) -> object:
        self._dependencies.shutdown.set()
        return {'draining': True}


async def _call(endpoint: EndpointMatch, exchange: Exchange) -> object:
    try:
        return await endpoint.responder(
            EndpointCall(exchange=exchange, name=endpoint.name),
        )
    except PlatformError as error:
        return store_unavailable(error)
    except BodyTooLargeError:
        return body_too_large(_BODY_LIMIT_BYTES)
    except (msgspec.MsgspecError, ValueError) as parse_error:
        return bad_request(str(parse_error))
