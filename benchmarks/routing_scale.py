"""Cost of routing on one VM by the number of runners, VMs and streams."""

import gc
import random
import time
import tracemalloc

import anyio

from benchmarks.simulated_fleet import SimulatedFleet, make_affinity_choice
from teaseldale.answers import AnswerLog, AnswerPart
from teaseldale.clock import SystemClock
from teaseldale.fakes import run_in_virtual_time
from teaseldale.notes import Upstream
from teaseldale.routing import (
    BaseUpstreamChoice,
    CacheAction,
    CacheEvent,
    PrefixIndex,
    RoutingRequest,
    Runner,
    UpstreamPool,
    prefix_hashes,
)

_ZONES = ('z1', 'z2', 'z3', 'z4', 'z5', 'z6', 'z7')
_PROMPT_WORDS = 250
_DECISIONS = 600
_SLOTS = 16
_TOKENS_PER_STREAM = 400
_US_PER_SECOND = 1_000_000
_WARM_UP_MS = 10_000
_MEASURED_MS = 10_000


def make_pool(runner_count: int, *, limit: int = _SLOTS) -> UpstreamPool:
    """Returns a pool of partly loaded runners that all have free slots."""
    rng = random.Random(runner_count)
    return UpstreamPool(
        runners=[
            Runner(
                upstream=_upstream(index),
                limit=limit,
                in_flight=rng.randrange(limit // 2),
                reported_running=rng.randrange(_SLOTS),
            )
            for index in range(runner_count)
        ],
    )


def decision_us(
    runner_count: int,
    choice: BaseUpstreamChoice | None = None,
) -> float:
    """Returns the median time of one decision, index updates included."""
    pool = make_pool(runner_count)
    rng = random.Random(1)
    index = PrefixIndex()
    clock = SystemClock()
    prompts = [_prompt(rng) for _ in range(50)]
    _fill_index(index, pool, prompts, rng)
    choice = choice or make_affinity_choice(_ZONES[0], index, clock, 1)
    times = []
    for _ in range(_DECISIONS):
        request = RoutingRequest(
            route='drafts',
            version='v1',
            prompt=rng.choice(prompts),
            priority=1,
            deadline_ms=clock.monotonic_ms() + 1000,
        )
        started = time.perf_counter()
        choice.slot_request_target(request, pool)
        runner = choice.choose(request, pool)
        runner.in_flight += 1
        pool.update(runner)
        times.append(time.perf_counter() - started)
        runner.in_flight -= 1
        pool.update(runner)
    return sorted(times)[len(times) // 2] * _US_PER_SECOND


def pool_memory_bytes(runner_count: int) -> float:
    """Returns the total memory of a pool of ``runner_count`` runners."""
    gc.collect()
    tracemalloc.start()
    pool = make_pool(runner_count)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(pool.runners) == runner_count
    return used


def renewal_cpu_ms_per_second(runner_count: int) -> float:
    """Returns the CPU time of one VM's slot renewals, in ms per second.

    The fleet has 161 VMs, of which at most 16, one for each slot, share a
    runner. Only the work of the first VM is timed, for four renewals, which are
    due in two seconds.
    """

    async def main() -> float:
        fleet = SimulatedFleet(
            vm_count=1, runner_count=runner_count, slot_count=_SLOTS
        )
        vm = fleet.vms[0]
        for number in range(_SLOTS * 10):
            fleet.fabric.join(
                fleet.vms[0].identity.__class__(
                    name=f'other-{number}',
                    incarnation='1',
                    availability_zone='mill',
                    address='10.0.0.1:1',
                ),
            )
        slots = vm.router.slots
        slots._update_members()
        demand = vm.router._slot_demand()
        started = time.process_time()
        for _ in range(4):
            slots._wants_by_owner(demand)
            slots.apply_limits(demand.runners)
        return (time.process_time() - started) / 2 * 1000

    return run_in_virtual_time(main)


def message_bytes_per_second(vm_count: int) -> float:
    """Returns the bytes that one VM sends per second at half load."""

    async def main() -> float:
        fleet = SimulatedFleet(vm_count=vm_count, runner_count=vm_count)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            before = fleet.fabric.byte_count
            async with anyio.create_task_group() as callers:
                for number in range(vm_count * 50):
                    vm = fleet.vms[number % vm_count]
                    callers.start_soon(fleet.ask, vm, f'a sack {number}')
                    await fleet.clock.sleep_ms(_MEASURED_MS / vm_count / 50)
            used = fleet.fabric.byte_count - before
            tasks.cancel_scope.cancel()
        return used / vm_count * 1000 / _MEASURED_MS

    return run_in_virtual_time(main)


def stream_cpu_us_per_token(stream_count: int) -> float:
    """Returns the CPU time to append and read one token."""

    async def read(answer: AnswerLog) -> None:
        async for _ in answer.batches():
            await anyio.sleep(0)

    async def main() -> float:
        answers = [AnswerLog() for _ in range(stream_count)]
        started = time.process_time()
        async with anyio.create_task_group() as tasks:
            for answer in answers:
                tasks.start_soon(read, answer)
            for offset in range(_TOKENS_PER_STREAM):
                for answer in answers:
                    answer.append(
                        AnswerPart(offset=offset, token_count=1, text='sack ')
                    )
                    assert answer.has_room
                await anyio.sleep(0)
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        used = time.process_time() - started
        return used * _US_PER_SECOND / stream_count / _TOKENS_PER_STREAM

    return run_in_virtual_time(main)


def _upstream(index: int) -> Upstream:
    return Upstream(
        name=f'runner-{index}',
        route='drafts',
        version='v1',
        url='http://10.0.0.1:1',
        availability_zone=_ZONES[index % len(_ZONES)],
        slot_count=_SLOTS,
    )


def _prompt(rng: random.Random) -> str:
    return ' '.join(f'{rng.getrandbits(28):07x}' for _ in range(_PROMPT_WORDS))


def _fill_index(index, pool, prompts, rng) -> None:
    sequences = dict.fromkeys(pool.names, 0)
    for prompt in prompts:
        name = rng.choice(pool.names)
        for block_hash in prefix_hashes(prompt):
            sequences[name] += 1
            event = CacheEvent(
                sequence=sequences[name],
                action=CacheAction.STORED,
                block_hash=block_hash,
            )
            index.apply_event(name, event, SystemClock().monotonic_ms())
