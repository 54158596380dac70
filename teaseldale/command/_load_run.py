"""Load generator that streams completions and measures latencies."""

import time
from collections import Counter

import anyio
import attrs
import httpcore
import msgspec
from hdrh.histogram import HdrHistogram

from teaseldale.upstreams import UpstreamPool

_STATUS_OK = 200
_US_PER_SECOND = 1_000_000
_US_PER_MS = 1000
_MS_PER_SECOND = 1000
_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_READ_TIMEOUT_SECONDS = 60
_DONE = b'data: [DONE]\n\n'
_P50 = 50
_P95 = 95
_P99 = 99
_ROUNDING_DIGITS = 3


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Requests of a load test and its limits."""

    urls: tuple[str, ...]  # callers' interfaces, used in rotation
    keys: tuple[str, ...] = attrs.field(repr=False)  # accounts, in rotation
    route: str
    stream_count: int  # concurrent streams
    request_count: int
    duration_seconds: float  # no request is started afterwards
    output_tokens: int  # per request
    prompt: str = 'a chestnut sack'
    start_interval_ms: float = 0  # delay between the starts of streams


@attrs.frozen(kw_only=True)
class LoadReport:
    """Latencies and throughput of complete answers."""

    whole_answers: int
    failures: dict[str, int]  # by refusal code or exception class
    output_tokens: int
    duration_seconds: float
    tokens_per_second: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    request_p50_ms: float
    request_p95_ms: float
    request_p99_ms: float


class LoadRun:
    """Runs a load test with one task per concurrent stream."""

    def __init__(self, *, plan: LoadPlan) -> None:
        """Creates the load test; ``run`` starts it."""
        self._plan = plan
        self._sent_count = 0
        self._completed_count = 0
        self._failures: Counter[str] = Counter()
        self._first_token = _histogram()
        self._request = _histogram()
        self._started = float(0)
        self._duration = float(0)
        self._pool = UpstreamPool(max_connections=plan.stream_count)

    async def run(self) -> None:
        """Sends requests until the count or the duration is reached."""
        self._started = time.perf_counter()
        async with self._pool, anyio.create_task_group() as tasks:
            for _ in range(self._plan.stream_count):
                tasks.start_soon(self._send_requests)
                await anyio.sleep(
                    self._plan.start_interval_ms / _MS_PER_SECOND,
                )
        self._duration = time.perf_counter() - self._started

    def report(self) -> LoadReport:
        """Returns the measurements of the answers received so far."""
        duration = self._duration or time.perf_counter() - self._started
        tokens = self._completed_count * self._plan.output_tokens
        return LoadReport(
            whole_answers=self._completed_count,
            failures=dict(self._failures),
            output_tokens=tokens,
            duration_seconds=round(duration, _ROUNDING_DIGITS),
            tokens_per_second=round(tokens / duration, _ROUNDING_DIGITS),
            first_token_p50_ms=_quantile_ms(self._first_token, _P50),
            first_token_p95_ms=_quantile_ms(self._first_token, _P95),
            first_token_p99_ms=_quantile_ms(self._first_token, _P99),
            request_p50_ms=_quantile_ms(self._request, _P50),
            request_p95_ms=_quantile_ms(self._request, _P95),
            request_p99_ms=_quantile_ms(self._request, _P99),
        )

    async def _send_requests(self) -> None:
        deadline = self._started + self._plan.duration_seconds
        while self._sent_count < self._plan.request_count:
            if time.perf_counter() > deadline:
                return
            number = self._sent_count
            self._sent_count += 1
            try:
                await self._send(number)
            except (
                httpcore.TimeoutException,
                httpcore.NetworkError,
                httpcore.ProtocolError,
            ) as error:
                self._failures[type(error).__name__] += 1

    async def _send(self, number: int) -> None:
        plan = self._plan
        base_url = plan.urls[number % len(plan.urls)]
        key = plan.keys[number % len(plan.keys)]
        sent = time.perf_counter()
        async with self._pool.stream(
            'POST',
            f'{base_url}/v1/chat/completions',
            headers={'authorization': f'Bearer {key}'},
            content=_body(plan),
            extensions={'timeout': {'read': _READ_TIMEOUT_SECONDS}},
        ) as response:
            if response.status == _STATUS_OK:
                await self._read_answer(response, sent)
                return
            refusal = msgspec.json.decode(await response.aread())
            self._failures[refusal['error']['code']] += 1

    async def _read_answer(
        self, response: httpcore.Response, sent: float
    ) -> None:
        tail = b''
        async for chunk in response.aiter_stream():
            if not tail:
                _record(self._first_token, sent)
            tail = (tail + chunk)[-len(_DONE) :]
        if tail == _DONE:
            self._completed_count += 1
            _record(self._request, sent)
        else:
            self._failures['not_whole'] += 1


def _body(plan: LoadPlan) -> bytes:
    return msgspec.json.encode(
        {
            'model': plan.route,
            'messages': [{'role': 'user', 'content': plan.prompt}],
            'max_tokens': plan.output_tokens,
            'stream': True,
        },
    )


def _histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, since: float) -> None:
    elapsed_us = (time.perf_counter() - since) * _US_PER_SECOND
    histogram.record_value(max(_MIN_US, int(elapsed_us)))


def _quantile_ms(histogram: HdrHistogram, percent: int) -> float:
    latency_us = histogram.get_value_at_percentile(percent)
    return round(int(latency_us) / _US_PER_MS, _ROUNDING_DIGITS)
