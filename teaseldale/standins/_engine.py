"""Stand-in of a model engine.

Streams tokens at a configurable pace. More than ``slot_count`` concurrent
requests crash it: all its streams break and it refuses requests for 2 s.
``POST /faults`` sets the fields of ``EngineFaults``. ``POST /silence`` makes
all currently open connections stop responding for good.
"""

import time
from collections import Counter, deque

import anyio
import attrs
import msgspec
import xxhash

from teaseldale.standins._engine_batch import PriorityBatch
from teaseldale.standins._engine_cache import BLOCK_CHARACTERS, PromptCache
from teaseldale.standins._engine_faults import EngineFaults
from teaseldale.standins._engine_orders import EngineOrders
from teaseldale.standins._engine_run import EngineRun, last_events, token_event
from teaseldale.web import EndpointCall, EndpointTable, Exchange

_BODY_LIMIT_BYTES = 16_777_216
_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503
_STATUS_NOT_FOUND = 404
_MS_PER_SECOND = 1000
_RECOVERY_SECONDS = 2
_SILENCE_SECONDS = 3600
_PAUSE_POLL_SECONDS = 0.01
_PERCENT = 100
_REQUESTS_PATH = '/v1/requests/'


@attrs.frozen(kw_only=True)
class _Prompt:
    messages: list[dict[str, object]]
    max_tokens: int = 64
    priority: int = 1


@attrs.frozen(kw_only=True)
class EngineSize:
    """Capacity of an engine stand-in."""

    slot_count: int  # it crashes above so many concurrent requests
    batch_size: int = 0  # runs that make progress at once; 0: all slots
    cache_blocks: int = 4096  # capacity of the prompt cache


class EngineStandin:
    """Engine that streams deterministic tokens under injected faults."""

    def __init__(
        self,
        *,
        name: str,
        size: EngineSize,
        checks_fencing: bool,
        faults: EngineFaults,
    ) -> None:
        """Creates an idle engine with an empty prompt cache."""
        self._name = name
        self._size = size
        self._faults = faults
        self._orders = EngineOrders(checks_fencing=checks_fencing)
        self._running: set[EngineRun] = set()
        self._counts: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()
        self._clients: set[object] = set()
        self._silent_clients: set[object] = set()
        self._down_until = float(0)
        self._load: deque[tuple[float, int]] = deque([(float(0), 0)])
        self._batch = PriorityBatch(size=size.batch_size or size.slot_count)
        self._cache = PromptCache(capacity_blocks=size.cache_blocks)
        self._test_endpoints = EndpointTable()
        self._test_endpoints.add('GET', '/faults', self._show_faults)
        self._test_endpoints.add('POST', '/faults', self._set_faults)
        self._test_endpoints.add('GET', '/statistics', self._statistics)
        self._test_endpoints.add('POST', '/silence', self._silence)
        self._endpoints = EndpointTable()
        self._endpoints.add('GET', '/load', self._report_load)
        self._endpoints.add('GET', '/cache_events', self._cache_events)
        self._endpoints.add('POST', '/orders', self._orders.accept)

    async def respond(self, exchange: Exchange) -> None:
        """Answers one HTTP exchange, subject to the faults that are set."""
        endpoint = self._test_endpoints.find(exchange.method, exchange.path)
        if endpoint:
            await endpoint.responder(EndpointCall(exchange=exchange))
            return
        self._clients.add(exchange.client)
        if self._is_silent(exchange):
            await anyio.sleep(_SILENCE_SECONDS)
        elif time.monotonic() < self._down_until or self._faults.refuse:
            await exchange.answer_json(_STATUS_UNAVAILABLE, None)
        elif exchange.path == '/v1/chat/completions':
            await self._complete(exchange)
        else:
            await self._control(exchange)

    def _is_silent(self, exchange: Exchange) -> bool:
        if self._faults.silent_connections:
            return True
        return exchange.client in self._silent_clients

    async def _control(self, exchange: Exchange) -> None:
        endpoint = self._endpoints.find(exchange.method, exchange.path)
        if endpoint:
            await endpoint.responder(EndpointCall(exchange=exchange))
        elif exchange.path.startswith(_REQUESTS_PATH):
            self._cancel(exchange.path.removeprefix(_REQUESTS_PATH))
            await exchange.answer_json(_STATUS_OK, None)
        else:
            await exchange.answer_json(_STATUS_NOT_FOUND, None)

    def _cancel(self, request_id: str) -> None:
        for run in self._running:
            if run.request_id == request_id and not run.cancelled:
                run.cancelled = True
                self._counts['cancelled'] += 1

    async def _show_faults(self, call: EndpointCall) -> None:
        await call.exchange.answer_json(_STATUS_OK, self._faults)

    async def _set_faults(self, call: EndpointCall) -> None:
        body = await call.body(_BODY_LIMIT_BYTES)
        self._faults = msgspec.json.decode(body, type=EngineFaults)
        await call.exchange.answer_json(_STATUS_OK, self._faults)

    async def _silence(self, call: EndpointCall) -> None:
        self._silent_clients |= self._clients
        for run in self._running:
            run.silenced = True
        await call.exchange.answer_json(_STATUS_OK, None)

    async def _statistics(self, call: EndpointCall) -> None:
        await call.exchange.answer_json(
            _STATUS_OK,
            {
                'runs': dict(self._runs),
                'crashes': self._counts['crashes'],
                'cancelled': self._counts['cancelled'],
                'running': len(self._running),
                'largest_running': self._counts['largest_running'],
                'missing_blocks': self._counts['missing_blocks'],
                'orders': self._orders.accepted(),
            },
        )

    async def _report_load(self, call: EndpointCall) -> None:
        visible_until = (
            time.monotonic() - self._faults.load_lag_ms / _MS_PER_SECOND
        )
        while len(self._load) > 1 and self._load[1][0] <= visible_until:
            self._load.popleft()
        await call.exchange.answer_json(
            _STATUS_OK,
            {
                'running': self._load[0][1],
                'slot_count': self._size.slot_count,
            },
        )

    async def _cache_events(self, call: EndpointCall) -> None:
        events = self._cache.events(
            after=int(call.query('after', '0')),
            lag_ms=self._faults.cache_event_lag_ms,
            loss_percent=self._faults.cache_event_loss_percent,
        )
        await call.exchange.answer_json(
            _STATUS_OK,
            {'block_characters': BLOCK_CHARACTERS, 'events': events},
        )

    async def _complete(self, exchange: Exchange) -> None:
        prompt = msgspec.json.decode(
            await exchange.body(_BODY_LIMIT_BYTES),
            type=_Prompt,
        )
        if self._faults.reject_status:
            await exchange.answer_json(
                self._faults.reject_status,
                {'error': {'message': 'The engine cannot run this prompt.'}},
            )
            return
        run = _create_run(exchange, prompt, self._faults.overrun_tokens)
        self._runs[run.request_id] += 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run, exchange, run, tasks.cancel_scope)
            await exchange.wait_for_disconnect()
            tasks.cancel_scope.cancel()

    async def _run(
        self,
        exchange: Exchange,
        run: EngineRun,
        scope: anyio.CancelScope,
    ) -> None:
        self._running.add(run)
        self._record_load()
        if len(self._running) > self._size.slot_count:
            self._crash()
        try:
            await self._stream_in_batch(exchange, run)
        finally:
            self._running.discard(run)
            self._record_load()
        scope.cancel()

    def _record_load(self) -> None:
        total = len(self._running)
        self._counts['largest_running'] = max(
            self._counts['largest_running'],
            total,
        )
        self._load.append((time.monotonic(), total))

    def _crash(self) -> None:
        self._counts['crashes'] += 1
        self._cache.clear()
        self._down_until = time.monotonic() + _RECOVERY_SECONDS

    async def _stream_in_batch(
        self,
        exchange: Exchange,
        run: EngineRun,
    ) -> None:
        await self._batch.enter(run.priority)
        try:
            await self._stream(exchange, run)
        finally:
            self._batch.leave()

    async def _stream(self, exchange: Exchange, run: EngineRun) -> None:
        missing_blocks = self._cache.use(run.prompt)
        self._counts['missing_blocks'] += missing_blocks
        prefill_ms = missing_blocks * self._faults.prefill_ms_per_block
        await _sleep_ms(self._faults.first_token_ms + prefill_ms)
        if self._faults.crash_word and self._faults.crash_word in run.prompt:
            self._crash()
        await exchange.start(
            _STATUS_OK,
            ((b'content-type', b'text/event-stream'),),
        )
        await self._stream_tokens(exchange, run)
        if run.silenced:
            await anyio.sleep(_SILENCE_SECONDS)
        await exchange.write(last_events(run), last=True)

    async def _stream_tokens(
        self,
        exchange: Exchange,
        run: EngineRun,
    ) -> None:
        start = time.monotonic()
        tokens_per_event = self._faults.tokens_per_event
        for offset in range(run.offset, run.output_tokens, tokens_per_event):
            if self._must_abort(run, offset):
                raise ConnectionAbortedError
            if not run.silenced:
                await exchange.write(self._event(run, offset))
            if self._faults.hang:
                await anyio.sleep(_SILENCE_SECONDS)
            while self._faults.paused:
                await anyio.sleep(_PAUSE_POLL_SECONDS)
            sent = offset - run.offset + tokens_per_event
            due_ms = sent * self._faults.token_interval_ms
            elapsed_ms = (time.monotonic() - start) * _MS_PER_SECOND
            await _sleep_ms(max(due_ms - elapsed_ms, 0))

    def _event(self, run: EngineRun, offset: int) -> bytes:
        tokens_left = run.output_tokens - offset
        return token_event(
            run,
            offset,
            min(tokens_left, self._faults.tokens_per_event),
            wrong_answer=self._faults.wrong_answers,
        )

    def _must_abort(self, run: EngineRun, offset: int) -> bool:
        if time.monotonic() < self._down_until or run.cancelled:
            return True
        if len(self._running) <= self._faults.fail_above_running:
            return False
        percentile = (
            xxhash.xxh3_64_intdigest(run.request_id.encode()) % _PERCENT
        )
        return offset > run.offset and percentile < self._faults.fail_percent


def _create_run(
    exchange: Exchange,
    prompt: _Prompt,
    overrun_tokens: int,
) -> EngineRun:
    return EngineRun(
        request_id=exchange.header(b'x-request-id') or 'none',
        offset=int(exchange.header(b'x-resume-offset') or 0),
        prompt='\n'.join(
            str(message.get('content')) for message in prompt.messages
        ),
        priority=prompt.priority,
        output_tokens=prompt.max_tokens + overrun_tokens,
    )


async def _sleep_ms(duration_ms: float) -> None:
    await anyio.sleep(duration_ms / _MS_PER_SECOND)
