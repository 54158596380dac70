"""Operators' HTTP interface on a port of its own."""

import hmac
from collections.abc import Awaitable, Callable

import anyio
import attrs
import msgspec
from anyio.abc import TaskGroup

from teaseldale.budgets import TableLedger
from teaseldale.kernel import BaseService
from teaseldale.metrics import Metrics
from teaseldale.notes import TableConfiguration, read_release_note
from teaseldale.outcomes import PlatformError, Refusal, RefusalCode, Step
from teaseldale.peers import BasePeerNetwork
from teaseldale.web import EmbeddedServer, Exchange

_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_BODY_LIMIT_BYTES = 16_777_216
_Responder = Callable[[Exchange], Awaitable[None]]
_TEXT_HEADERS = ((b'content-type', b'text/plain; charset=utf-8'),)


@attrs.frozen(kw_only=True)
class OperatorsParts:
    """What operators look at and change."""

    configuration: TableConfiguration
    ledger: TableLedger
    peers: BasePeerNetwork
    metrics: Metrics
    shutdown: anyio.Event  # set to drain this VM
    operators_key: str


class OperatorsInterface(BaseService):
    """Serves operators and the balancer's health checks."""

    def __init__(self, *, address: str, parts: OperatorsParts) -> None:
        """Creates the interface; it listens once started."""
        self._parts = parts
        self._server = EmbeddedServer(address=address, respond=self._respond)
        self._open_paths: dict[str, _Responder] = {
            '/healthz': self._healthz,
            '/readyz': self._readyz,
        }
        self._paths: dict[tuple[str, str], _Responder] = {
            ('GET', '/metrics'): self._metrics,
            ('GET', '/status'): self._status,
            ('POST', '/notes'): self._apply_note,
            ('GET', '/budget'): self._show_budget,
            ('POST', '/budget/topup'): self._top_up,
            ('POST', '/drain'): self._drain,
        }

    @property
    def name(self) -> str:
        """Service name."""
        return 'operations'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts listening."""
        await self._server.start(tasks)

    async def stop(self) -> None:
        """Stops listening, after all other services have drained."""
        await self._server.stop()

    async def _respond(self, exchange: Exchange) -> None:
        open_path = self._open_paths.get(exchange.path)
        if open_path is not None:
            await open_path(exchange)
            return
        handler = self._paths.get((exchange.method, exchange.path))
        if not self._authorized(exchange) or handler is None:
            await _refuse(exchange, _not_found(authorized=handler is None))
            return
        try:
            await handler(exchange)
        except PlatformError as error:
            await _refuse(exchange, _store_unavailable(error))

    def _authorized(self, exchange: Exchange) -> bool:
        header = exchange.header(b'authorization') or ''
        wanted = ' '.join(('Bearer', self._parts.operators_key))
        return hmac.compare_digest(header.encode(), wanted.encode())

    async def _healthz(self, exchange: Exchange) -> None:
        await exchange.answer(_STATUS_OK, b'ok\n', _TEXT_HEADERS)

    async def _readyz(self, exchange: Exchange) -> None:
        draining = self._parts.shutdown.is_set()
        if draining or self._parts.configuration.current().revision == 0:
            await exchange.answer(
                _STATUS_UNAVAILABLE,
                b'not ready\n',
                _TEXT_HEADERS,
            )
            return
        await exchange.answer(_STATUS_OK, b'ready\n', _TEXT_HEADERS)

    async def _metrics(self, exchange: Exchange) -> None:
        text = self._parts.metrics.render()
        await exchange.answer(_STATUS_OK, text.encode(), _TEXT_HEADERS)

    async def _status(self, exchange: Exchange) -> None:
        peers = self._parts.peers
        document = {
            'vm': peers.identity,
            'revision': self._parts.configuration.current().revision,
            'known_peers': [peer.key for peer in peers.known_peers()],
            'reachable_peers': [peer.key for peer in peers.reachable_peers()],
        }
        await exchange.answer_json(_STATUS_OK, document)

    async def _apply_note(self, exchange: Exchange) -> None:
        body = await exchange.body(_BODY_LIMIT_BYTES)
        try:
            note = read_release_note(body)
        except (msgspec.MsgspecError, ValueError) as error:
            await _refuse(exchange, _bad_note(str(error)))
            return
        for budget in note.additions.budgets:
            await self._parts.ledger.create(budget.name, budget.initial_tokens)
        outcome = await self._parts.configuration.apply(note)
        if isinstance(outcome, Refusal):
            await _refuse(exchange, outcome)
            return
        await exchange.answer_json(_STATUS_OK, outcome)

    async def _show_budget(self, exchange: Exchange) -> None:
        state = await self._parts.ledger.state(exchange.query('name'))
        if state is None:
            await _refuse(exchange, _not_found(authorized=True))
            return
        await exchange.answer_json(_STATUS_OK, state)

    async def _top_up(self, exchange: Exchange) -> None:
        outcome = await self._parts.ledger.top_up(
            exchange.query('name'),
            int(exchange.query('tokens')),
        )
        if isinstance(outcome, Refusal):
            await _refuse(exchange, outcome)
            return
        await exchange.answer_json(_STATUS_OK, outcome)

    async def _drain(self, exchange: Exchange) -> None:
        self._parts.shutdown.set()
        await exchange.answer_json(_STATUS_OK, {'draining': True})


async def _refuse(exchange: Exchange, refusal: Refusal) -> None:
    await exchange.answer_json(refusal.status, {'error': refusal})


def _not_found(*, authorized: bool) -> Refusal:
    if authorized:
        return Refusal(
            code=RefusalCode.UNKNOWN_ROUTE,
            message='There is nothing under this method and path.',
            not_run=True,
            step=Step.PARSE,
        )
    return Refusal(
        code=RefusalCode.UNAUTHORIZED,
        message="Send the operators' key as a bearer token.",
        not_run=True,
        step=Step.AUTHENTICATE,
    )


def _bad_note(reason: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'The note cannot be read: {reason}.',
        not_run=True,
        step=Step.NOTE,
    )


def _store_unavailable(error: PlatformError) -> Refusal:
    return Refusal(
        code=RefusalCode.STORE_UNAVAILABLE,
        message='The table service gave no answer; look before repeating.',
        not_run=False,
        step=error.step,
        peer=error.peer,
    )
