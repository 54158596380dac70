"""HTTP interface for callers: authentication, dispatch and drain."""

import anyio
from anyio.abc import TaskGroup

from teaseldale.entry._account_keys import AccountKeys
from teaseldale.entry._answers import AnswerWriter
from teaseldale.entry._arrival import WrongHeaderError, check_path, read_arrival
from teaseldale.entry._background import BackgroundRuns
from teaseldale.entry._chat import WrongChatError
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._handlers import (
    BaseHandler,
    CompletionHandler,
    HandlerContext,
    ServiceHandler,
)
from teaseldale.entry._refusals import (
    bad_request,
    body_too_large,
    not_caught_up,
    unauthorized,
    unknown_route,
)
from teaseldale.entry._unsent_answers import UnsentAnswers
from teaseldale.entry._write_pacer import WritePacer
from teaseldale.kernel import BaseService
from teaseldale.memory import ByteBudget, budget_bytes_of
from teaseldale.metrics import Metrics
from teaseldale.notes import ClientAccount, RouteKind
from teaseldale.outcomes import Refusal, RefusalCode
from teaseldale.settings import LimitSettings
from teaseldale.web import (
    BodyTooLargeError,
    ClientConnections,
    ClientLimits,
    EmbeddedServer,
    Exchange,
    connection_count_of,
)

_BEARER = 'Bearer '
_COMPLETIONS_PATH = '/v1/chat/completions'
_MODELS_PATH = '/v1/models'
_SERVICES_PATH = '/services/'
_CLOSE = ((b'connection', b'close'),)
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_000_000


class CallersInterface(BaseService):
    """HTTP server for callers on one address."""

    def __init__(
        self,
        *,
        address: str,
        parts: RequestDependencies,
        limits: LimitSettings,
    ) -> None:
        """Creates the interface, which listens after ``start``."""
        self._parts = parts
        self._limits = limits
        self._account_keys = AccountKeys()
        self._runs = BackgroundRuns(metrics=parts.metrics)
        self._pacer = WritePacer(
            clock=parts.clock,
            interval_ms=limits.coalesce_ms,
        )
        clients = _build_clients(limits, parts.metrics)
        self._unsent = UnsentAnswers(budget=clients.budget)
        self._writer = AnswerWriter(
            clock=parts.clock,
            metrics=parts.metrics,
            pacer=self._pacer,
            unsent=self._unsent,
        )
        self._context = HandlerContext(
            parts=parts,
            limits=limits,
            runs=self._runs,
            writer=self._writer,
        )
        self._completions = CompletionHandler(context=self._context)
        self._service_calls = ServiceHandler(context=self._context)
        self._server = EmbeddedServer(
            address=address,
            respond=self._respond,
            metrics=parts.metrics,
            clients=clients,
        )

    @property
    def name(self) -> str:
        """Name of the service in the kernel."""
        return 'entry'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the write pacer and the HTTP server."""
        self._runs.open(tasks)
        tasks.start_soon(self._pacer.run)
        await self._server.start(tasks)

    async def drain(self) -> None:
        """Refuses new requests, waits for open ones, then stops listening.

        The readiness check has already failed; requests are still accepted
        during the grace period in which the balancer stops sending them.
        """
        await self._parts.clock.sleep_ms(self._limits.balancer_grace_ms)
        self._context.is_draining = True
        drain_seconds = self._limits.drain_timeout_ms / _MS_PER_SECOND
        with anyio.move_on_after(drain_seconds):
            await self._runs.wait()
            await self._server.stop()
        self._parts.metrics.set_gauge('runs_cut_at_drain', self._runs.count)

    async def _respond(self, exchange: Exchange) -> None:
        await self._unsent.admit(exchange)
        outcome = await self._dispatch(exchange)
        if outcome is not None:
            self._parts.metrics.increment('refusals', outcome.code)
            closing = outcome.code is RefusalCode.DRAINING
            await exchange.refuse(outcome, _CLOSE if closing else ())

    async def _dispatch(self, exchange: Exchange) -> Refusal | None:
        if not self._parts.configuration.may_serve():
            return not_caught_up()
        account = self._authenticate(exchange)
        if account is None:
            return unauthorized()
        if (exchange.method, exchange.path) == ('GET', _MODELS_PATH):
            await self._list_models(exchange)
            return None
        handler = self._handler_of(exchange)
        if handler is None:
            return unknown_route(exchange.path)
        return await self._handle(exchange, account, handler)

    async def _handle(
        self,
        exchange: Exchange,
        account: ClientAccount,
        handler: BaseHandler,
    ) -> Refusal | None:
        limit_bytes = self._limits.body_limit_bytes
        try:
            check_path(exchange.path)
            arrival = read_arrival(exchange, account)
            body = await exchange.body(limit_bytes)
            return await handler.handle(exchange, account, arrival, body)
        except BodyTooLargeError:
            return body_too_large(limit_bytes)
        except (WrongHeaderError, WrongChatError) as error:
            return bad_request(str(error))

    def _handler_of(self, exchange: Exchange) -> BaseHandler | None:
        if (exchange.method, exchange.path) == ('POST', _COMPLETIONS_PATH):
            return self._completions
        if exchange.path.startswith(_SERVICES_PATH):
            return self._service_calls
        return None

    def _authenticate(self, exchange: Exchange) -> ClientAccount | None:
        header = exchange.header(b'authorization') or ''
        if not header.startswith(_BEARER):
            return None
        return self._account_keys.find(
            self._parts.configuration.current(),
            header.removeprefix(_BEARER),
        )

    async def _list_models(self, exchange: Exchange) -> None:
        routes = self._parts.configuration.current().routes.values()
        await self._writer.list_models(
            exchange,
            (
                route.name
                for route in routes
                if route.kind is RouteKind.COMPLETION
            ),
        )


def _build_clients(
    limits: LimitSettings, metrics: Metrics
) -> ClientConnections:
    memory_bytes = limits.memory_mb * _BYTES_PER_MB
    return ClientConnections(
        name='callers',
        limits=ClientLimits(
            connection_count=connection_count_of(limits.descriptor_count),
            runs_outlast_clients=True,
        ),
        budget=ByteBudget(
            limit_bytes=budget_bytes_of(memory_bytes),
            metrics=metrics,
        ),
        metrics=metrics,
    )
