"""Stand-in of a model engine.

Streams words at a set pace. More requests than ``slot_count`` at once make it
fall over: all its streams break and it refuses work for a while. Faults are
set by ``POST /faults`` with the fields of ``EngineFaults``.
"""

import time
from collections import Counter, deque

import anyio
import attrs
import msgspec
import xxhash

from teaseldale.web import Exchange

_BODY_LIMIT_BYTES = 16_777_216
_STATUS_OK = 200
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
_STATUS_NOT_FOUND = 404
_MS_PER_SECOND = 1000
_RECOVERY_SECONDS = 2
_SILENCE_SECONDS = 3600
_WORDS = ('sack', 'snow', 'jute', 'roof', 'hook', 'bale', 'crew', 'loom')
_PERCENT = 100


@attrs.frozen(kw_only=True)
class EngineFaults:
    """Pace and faults switched on now."""

    token_interval_ms: float = 20
    first_token_ms: int = 50
    fail_percent: int = 0  # requests that fail after their first token
    refuse: bool = False  # every request is refused before it runs
    hang: bool = False  # streams go silent after their first token
    silent_connections: bool = False  # nothing at all is answered
    wrong_answers: bool = False  # events carry another request's id
    overrun_tokens: int = 0  # tokens sent beyond the limit asked for
    crash_word: str = ''  # a prompt with this word breaks all streams
    load_lag_ms: int = 0  # age of load reports


@attrs.frozen(kw_only=True)
class _Prompt:
    messages: list[dict[str, object]]
    max_tokens: int = 64


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Order to load a version or change role."""

    order_id: str
    fencing_number: int
    action: str
    version: str


@attrs.frozen(kw_only=True)
class _Run:
    request_id: str
    offset: int
    prompt: str
    output_tokens: int


class EngineStandin:
    """Answers exchanges of engine clients."""

    def __init__(
        self,
        *,
        name: str,
        slot_count: int,
        checks_fencing: bool,
        faults: EngineFaults,
    ) -> None:
        """Creates an idle engine."""
        self._name = name
        self._slot_count = slot_count
        self._checks_fencing = checks_fencing
        self._faults = faults
        self._fencing_number = 0
        self._orders: dict[str, EngineOrder] = {}
        self._running: Counter[str] = Counter()
        self._cancelled: set[str] = set()
        self._runs: Counter[str] = Counter()
        self._crash_count = 0
        self._largest_running = 0
        self._down_until = float(0)
        self._test_paths = {
            '/faults': self._set_faults,
            '/statistics': self._statistics,
        }
        self._load: deque[tuple[float, int]] = deque([(float(0), 0)])

    async def respond(self, exchange: Exchange) -> None:
        """Answers one exchange under the faults switched on."""
        always = self._test_paths.get(exchange.path)
        if always:
            await always(exchange)
        elif self._faults.silent_connections:
            await anyio.sleep(_SILENCE_SECONDS)
        elif time.monotonic() < self._down_until or self._faults.refuse:
            await exchange.answer_json(_STATUS_UNAVAILABLE, None)
        else:
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        if exchange.path == '/v1/chat/completions':
            await self._complete(exchange)
        else:
            await self._control(exchange)

    async def _control(self, exchange: Exchange) -> None:
        if exchange.path == '/load':
            await self._report_load(exchange)
        elif exchange.path == '/orders':
            await self._take_order(exchange)
        elif exchange.path.startswith('/v1/requests/'):
            request_id = exchange.path.removeprefix('/v1/requests/')
            self._cancelled.add(request_id)
            await exchange.answer_json(_STATUS_OK, None)
        else:
            await exchange.answer_json(_STATUS_NOT_FOUND, None)

    async def _set_faults(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            body = await exchange.body(_BODY_LIMIT_BYTES)
            self._faults = msgspec.json.decode(body, type=EngineFaults)
        await exchange.answer_json(_STATUS_OK, self._faults)

    async def _statistics(self, exchange: Exchange) -> None:
        await exchange.answer_json(
            _STATUS_OK,
            {
                'runs': dict(self._runs),
                'crashes': self._crash_count,
                'running': self._running.total(),
                'largest_running': self._largest_running,
                'orders': list(self._orders.values()),
            },
        )

    async def _report_load(self, exchange: Exchange) -> None:
        visible = time.monotonic() - self._faults.load_lag_ms / _MS_PER_SECOND
        while len(self._load) > 1 and self._load[1][0] <= visible:
            self._load.popleft()
        await exchange.answer_json(
            _STATUS_OK,
            {'running': self._load[0][1], 'slot_count': self._slot_count},
        )

    async def _take_order(self, exchange: Exchange) -> None:
        body = await exchange.body(_BODY_LIMIT_BYTES)
        order = msgspec.json.decode(body, type=EngineOrder)
        if self._checks_fencing and order.fencing_number < self._fencing_number:
            await exchange.answer_json(_STATUS_CONFLICT, None)
            return
        self._fencing_number = max(self._fencing_number, order.fencing_number)
        self._orders[order.order_id] = order
        await exchange.answer_json(_STATUS_OK, order)

    async def _complete(self, exchange: Exchange) -> None:
        prompt = msgspec.json.decode(
            await exchange.body(_BODY_LIMIT_BYTES),
            type=_Prompt,
        )
        run = _Run(
            request_id=exchange.header(b'x-request-id') or 'none',
            offset=int(exchange.header(b'x-resume-offset') or 0),
            prompt=' '.join(
                str(message.get('content')) for message in prompt.messages
            ),
            output_tokens=prompt.max_tokens + self._faults.overrun_tokens,
        )
        self._runs[run.request_id] += 1
        self._change_running(run, 1)
        try:
            await self._stream(exchange, run)
        finally:
            self._change_running(run, -1)

    def _change_running(self, run: _Run, change: int) -> None:
        self._running[run.request_id] += change
        total = self._running.total()
        self._largest_running = max(self._largest_running, total)
        self._load.append((time.monotonic(), total))
        if total > self._slot_count:
            self._crash()

    def _crash(self) -> None:
        self._crash_count += 1
        self._down_until = time.monotonic() + _RECOVERY_SECONDS

    async def _stream(self, exchange: Exchange, run: _Run) -> None:
        await anyio.sleep(self._faults.first_token_ms / _MS_PER_SECOND)
        if self._faults.crash_word and self._faults.crash_word in run.prompt:
            self._crash()
        await exchange.start(
            _STATUS_OK,
            ((b'content-type', b'text/event-stream'),),
        )
        start = time.monotonic()
        for offset in range(run.offset, run.output_tokens):
            if self._broken(run, offset):
                raise ConnectionAbortedError
            await exchange.write(self._event(run, offset))
            if self._faults.hang:
                await anyio.sleep(_SILENCE_SECONDS)
            elapsed_tokens = offset - run.offset + 1
            due = elapsed_tokens * self._faults.token_interval_ms
            wait = start + due / _MS_PER_SECOND - time.monotonic()
            await anyio.sleep(max(wait, 0))
        await exchange.write(_last_event(run), last=True)

    def _broken(self, run: _Run, offset: int) -> bool:
        if time.monotonic() < self._down_until:
            return True
        if run.request_id in self._cancelled:
            return True
        drawn = xxhash.xxh3_64_intdigest(run.request_id.encode()) % _PERCENT
        return offset > run.offset and drawn < self._faults.fail_percent

    def _event(self, run: _Run, offset: int) -> bytes:
        request_id = run.request_id
        if self._faults.wrong_answers:
            request_id = f'{request_id}-other'
        return _sse(
            {
                'id': request_id,
                'offset': offset,
                'choices': [{'delta': {'content': _word(run, offset)}}],
            }
        )


def _word(run: _Run, offset: int) -> str:
    seed = f'{run.request_id}{run.prompt}{offset}'
    index = xxhash.xxh3_64_intdigest(seed.encode()) % len(_WORDS)
    return f'{_WORDS[index]} '


def _last_event(run: _Run) -> bytes:
    usage = {
        'prompt_tokens': len(run.prompt.split()),
        'completion_tokens': run.output_tokens,
    }
    last = _sse(
        {
            'id': run.request_id,
            'choices': [{'delta': {}, 'finish_reason': 'stop'}],
            'usage': usage,
        }
    )
    return b''.join((last, b'data: [DONE]\n\n'))


def _sse(document: dict[str, object]) -> bytes:
    return b''.join((b'data: ', msgspec.json.encode(document), b'\n\n'))
