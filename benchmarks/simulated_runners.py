"""Simulated runners: batching, prompt caches, delayed reports and faults."""

import random
from collections import OrderedDict, deque
from contextlib import asynccontextmanager

import anyio
import attrs
import msgspec
import xxhash

from teaseldale.answers import AnswerPart
from teaseldale.clock import BaseClock
from teaseldale.notes import Upstream
from teaseldale.outcomes import Step
from teaseldale.routing import prefix_hashes
from teaseldale.upstreams import (
    BaseEngineClient,
    BaseRunnerReports,
    CacheChange,
    CacheChanges,
    EngineCall,
    EngineFinished,
    FailureKind,
    LoadReport,
    UpstreamError,
)

_WORDS = ('sack ', 'snow ', 'jute ', 'roof ', 'hook ', 'bale ', 'crew ')
_RECOVERY_MS = 2000
_MS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class RunnerFaults:
    """Active faults of one runner."""

    refuse: bool = False
    hang: bool = False
    wrong_answers: bool = False
    slow_factor: float = 1
    crash_word: str = ''
    leaving: bool = False
    resume_early_tokens: int = 0  # tokens that a resumed stream repeats


@attrs.define(kw_only=True, eq=False)
class _Run:
    request_id: str
    vm: str
    broken: bool = False
    silent: bool = False


class SimulatedRunner:
    """A model engine that crashes if more requests run than it has slots."""

    def __init__(
        self,
        *,
        upstream: Upstream,
        clock: BaseClock,
        token_interval_ms: float = 20,
        tokens_per_event: int = 4,
        first_token_ms: int = 150,
        prefill_ms_per_block: float = 10,
        cache_blocks: int = 2000,
    ) -> None:
        """Creates an idle runner."""
        self.upstream = upstream
        self.faults = RunnerFaults()
        self.running: list[_Run] = []
        self.largest_running = 0
        self.crash_count = 0
        self.runs: dict[str, int] = {}
        self.started_ms: list[int] = []
        self.prompt_blocks = 0
        self.cached_blocks = 0
        self.cache_events: deque[tuple[int, CacheChange]] = deque(maxlen=20_000)
        self.load_history: deque[tuple[int, int]] = deque(
            [(0, 0)], maxlen=20_000
        )
        self.clock = clock
        self.token_interval_ms = token_interval_ms
        self.tokens_per_event = tokens_per_event
        self.first_token_ms = first_token_ms
        self.prefill_ms_per_block = prefill_ms_per_block
        self._cache_blocks = cache_blocks
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._down_until_ms = 0
        self._sequence = 0

    @property
    def is_down(self) -> bool:
        """Whether the runner is recovering from a crash."""
        return self.clock.monotonic_ms() < self._down_until_ms

    def crash(self) -> None:
        """Breaks all streams and refuses requests for the recovery time."""
        self.crash_count += 1
        self._down_until_ms = self.clock.monotonic_ms() + _RECOVERY_MS
        for run in self.running:
            run.broken = True
        for block_hash in self._cache:
            self._publish('evicted', block_hash)
        self._cache.clear()

    def silence(self) -> None:
        """Makes all connections that are open now permanently silent."""
        for run in self.running:
            run.silent = True

    def add_run(self, run: _Run) -> None:
        """Adds a run; the runner crashes if it exceeds the slots."""
        self.running.append(run)
        self.runs[run.request_id] = self.runs.get(run.request_id, 0) + 1
        self.started_ms.append(self.clock.monotonic_ms())
        self._record_load()
        if len(self.running) > self.upstream.slot_count:
            self.crash()

    def remove_run(self, run: _Run) -> None:
        """Removes a run."""
        self.running.remove(run)
        self._record_load()

    def use_cache(self, prompt: str) -> int:
        """Caches a prompt's blocks; returns the number of cache misses."""
        hashes = prefix_hashes(prompt)
        missing = 0
        for block_hash in hashes:
            if block_hash in self._cache:
                self._cache.move_to_end(block_hash)
                continue
            missing += 1
            self._cache[block_hash] = None
            self._publish('stored', block_hash)
        while len(self._cache) > self._cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._publish('evicted', evicted)
        self.prompt_blocks += len(hashes)
        self.cached_blocks += len(hashes) - missing
        return missing

    def load_at(self, at_ms: int) -> int:
        """Returns the number of requests that ran at an earlier time."""
        running = 0
        for changed_ms, count in self.load_history:
            if changed_ms > at_ms:
                break
            running = count
        return running

    def _record_load(self) -> None:
        self.largest_running = max(self.largest_running, len(self.running))
        now_ms = self.clock.monotonic_ms()
        self.load_history.append((now_ms, len(self.running)))

    def _publish(self, action: str, block_hash: int) -> None:
        self._sequence += 1
        change = CacheChange(
            sequence=self._sequence,
            action=action,
            block_hash=block_hash,
        )
        self.cache_events.append((self.clock.monotonic_ms(), change))


class SimulatedEngineClient(BaseEngineClient):
    """One VM's client for all runners."""

    def __init__(
        self,
        *,
        runners: dict[str, SimulatedRunner],
        clock: BaseClock,
        vm: str,
    ) -> None:
        """Creates the client of the VM named ``vm``."""
        self._runners = runners
        self._clock = clock
        self._vm = vm
        self.silent_links: set[str] = set()  # pooled connections hang

    @asynccontextmanager
    async def stream(self, upstream: Upstream, call: EngineCall):
        """Runs a request at a runner and provides its events."""
        runner = self._runners[upstream.name]
        if upstream.name in self.silent_links and not call.fresh_connection:
            await self._clock.sleep_ms(call.progress_timeout_ms)
            raise _upstream_error(upstream, FailureKind.SILENT)
        if runner.is_down or runner.faults.refuse:
            raise _upstream_error(upstream, FailureKind.REFUSED)
        run = _Run(request_id=call.request_id, vm=self._vm)
        runner.add_run(run)
        try:
            yield self._events(runner, run, call)
        finally:
            runner.remove_run(run)

    async def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Breaks the stream of a request that is still running."""
        for run in self._runners[upstream.name].running:
            if run.request_id == request_id:
                run.broken = True

    async def _events(self, runner, run, call):
        document = msgspec.json.decode(call.body)
        prompt = document['messages'][0]['content']
        limit = document['max_tokens']
        faults = runner.faults
        prefill = runner.use_cache(prompt) * runner.prefill_ms_per_block
        await self._wait(runner, run, call, runner.first_token_ms + prefill)
        if faults.crash_word and faults.crash_word in prompt:
            runner.crash()
            raise _upstream_error(runner.upstream, FailureKind.BROKEN)
        step = runner.tokens_per_event
        start = max(call.offset - faults.resume_early_tokens, 0)
        for offset in range(start, limit, step):
            if faults.wrong_answers:
                raise _upstream_error(runner.upstream, FailureKind.CROSSED)
            count = min(step, limit - offset)
            yield AnswerPart(
                offset=offset,
                token_count=count,
                text=words(call.request_id, prompt, offset, count),
            )
            if faults.hang:
                await self._clock.sleep_ms(call.progress_timeout_ms)
                raise _upstream_error(runner.upstream, FailureKind.SILENT)
            utilization = len(runner.running) / runner.upstream.slot_count
            interval = runner.token_interval_ms * (1 + 0.5 * utilization)
            await self._wait(runner, run, call, interval * count)
        yield EngineFinished(
            prompt_tokens=len(prompt.split()),
            output_tokens=limit,
            finish_reason='stop',
        )

    async def _wait(self, runner, run, call, duration_ms):
        duration_ms *= runner.faults.slow_factor
        timeout_ms = call.progress_timeout_ms
        await self._clock.sleep_ms(min(duration_ms, timeout_ms))
        if run.broken:
            raise _upstream_error(runner.upstream, FailureKind.BROKEN)
        if run.silent:
            await self._clock.sleep_ms(timeout_ms)
            raise _upstream_error(runner.upstream, FailureKind.SILENT)
        if duration_ms > timeout_ms:
            raise _upstream_error(runner.upstream, FailureKind.SILENT)


class SimulatedReports(BaseRunnerReports):
    """Load and cache reports with delays and lost events."""

    def __init__(
        self,
        *,
        runners: dict[str, SimulatedRunner],
        clock: BaseClock,
        load_lag_ms: int = 2000,
        event_lag_ms: int = 1000,
        event_loss: float = 0.05,
        seed: int = 1,
    ) -> None:
        """Reads from ``runners``; all VMs lose the same events."""
        self._runners = runners
        self._clock = clock
        self._load_lag_ms = load_lag_ms
        self._event_lag_ms = event_lag_ms
        self._event_loss = event_loss
        self._seed = seed

    async def is_up(self, upstream: Upstream) -> bool:
        """Returns whether the runner is not recovering from a crash."""
        return not self._runners[upstream.name].is_down

    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Returns the load as it was ``load_lag_ms`` ago."""
        runner = self._runners[upstream.name]
        at_ms = self._clock.monotonic_ms() - self._load_lag_ms
        return LoadReport(
            running=runner.load_at(at_ms),
            slot_count=upstream.slot_count,
            leaving=runner.faults.leaving,
        )

    async def cache_changes(self, upstream: Upstream, *, after: int):
        """Returns the cache events that are old enough and not lost."""
        latest_ms = self._clock.monotonic_ms() - self._event_lag_ms
        visible = []
        for published_ms, change in reversed(
            self._runners[upstream.name].cache_events
        ):
            if change.sequence <= after:
                break
            if published_ms <= latest_ms and not self._is_lost(change):
                visible.append(change)
        return CacheChanges(events=tuple(reversed(visible)))

    def _is_lost(self, change: CacheChange) -> bool:
        rng = random.Random(self._seed * 1_000_003 + change.sequence)
        return rng.random() < self._event_loss


def words(request_id: str, prompt: str, offset: int, count: int) -> str:
    """Returns an answer's words, which every runner derives identically."""
    return ''.join(
        _WORDS[
            xxhash.xxh3_64_intdigest(f'{request_id}{prompt}{at}'.encode())
            % len(_WORDS)
        ]
        for at in range(offset, offset + count)
    )


async def sleep_ms(duration_ms: float) -> None:
    """Sleeps by the clock of the running event loop."""
    await anyio.sleep(duration_ms / _MS_PER_SECOND)


def _upstream_error(upstream: Upstream, kind: FailureKind) -> UpstreamError:
    return UpstreamError(
        step=Step.STREAM,
        peer=upstream.name,
        reason=kind,
        may_have_run=kind is not FailureKind.REFUSED,
        kind=kind,
    )
