"""Stand-in of plain services: orders and stock.

``POST /orders`` executes an order on each call and counts executions by key;
``GET /stock/<article>`` is idempotent. ``POST /faults`` sets the fields of
``ServiceFaults``.
"""

from collections import Counter

import anyio
import attrs
import msgspec

from teaseldale.web import Exchange

_BODY_LIMIT_BYTES = 1_048_576
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_UNAVAILABLE = 503
_MS_PER_SECOND = 1000
_NO_ANSWER_SECONDS = 3600


@attrs.frozen(kw_only=True)
class ServiceFaults:
    """Currently injected faults."""

    delay_ms: int = 5  # duration of a call
    refuse: bool = False  # calls are refused before they run
    lose_answers: bool = False  # calls run but are not answered


class ServiceStandin:
    """Serves orders and stock over HTTP."""

    def __init__(self, *, checks_request_key: bool) -> None:
        """Creates a service that has executed no orders.

        With ``checks_request_key`` an order with a known key is not executed
        again.
        """
        self._checks_request_key = checks_request_key
        self._faults = ServiceFaults()
        self._executions: Counter[str] = Counter()

    async def respond(self, exchange: Exchange) -> None:
        """Answers one HTTP exchange, subject to the faults that are set."""
        if exchange.path == '/faults':
            await self._set_faults(exchange)
        elif exchange.path == '/statistics':
            await exchange.answer_json(_STATUS_OK, dict(self._executions))
        elif self._faults.refuse:
            await exchange.answer_json(_STATUS_UNAVAILABLE, None)
        else:
            await self._call(exchange)

    async def _set_faults(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            body = await exchange.body(_BODY_LIMIT_BYTES)
            self._faults = msgspec.json.decode(body, type=ServiceFaults)
        await exchange.answer_json(_STATUS_OK, self._faults)

    async def _call(self, exchange: Exchange) -> None:
        await anyio.sleep(self._faults.delay_ms / _MS_PER_SECOND)
        if exchange.method == 'GET' and exchange.path.startswith('/stock/'):
            article = exchange.path.removeprefix('/stock/')
            await exchange.answer_json(
                _STATUS_OK,
                {'article': article, 'pieces': len(article)},
            )
        elif exchange.method == 'POST' and exchange.path == '/orders':
            await self._execute_order(exchange)
        else:
            await exchange.answer_json(_STATUS_NOT_FOUND, None)

    async def _execute_order(self, exchange: Exchange) -> None:
        await exchange.body(_BODY_LIMIT_BYTES)
        key = exchange.header(b'idempotency-key') or ''
        if not (self._checks_request_key and self._executions[key]):
            self._executions[key] += 1
        if self._faults.lose_answers:
            await anyio.sleep(_NO_ANSWER_SECONDS)
        await exchange.answer_json(
            _STATUS_OK,
            {'order': key, 'executions': self._executions[key]},
        )
