"""Offers load to a simulated fleet and records the outcomes."""

import random

import anyio
import attrs

from benchmarks.simulated_fleet import (
    CallerOutcome,
    SimulatedFleet,
)
from teaseldale.fakes import run_in_virtual_time

_HIGH_PRIORITY_SHARE = 0.1
_ACCOUNT_WEIGHTS = (30, 20, 10, 10, 5, 5, 5, 5, 5, 5)
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Load:
    """Requests with random arrival times, spread over all VMs."""

    requests_per_second: float
    duration_ms: int
    tokens: int = 32  # mean answer length; lengths vary by half
    deadline_ms: int = 10_000
    seed: int = 1
    prompts: tuple[str, ...] = ('',)  # shared prefixes, one drawn per request
    unique_word_count: int = 4  # unique words after the shared prefix


@attrs.define(kw_only=True)
class LoadOutcome:
    """Outcomes by priority, and the final state of the fleet."""

    load: Load
    fleet: SimulatedFleet
    outcomes: list[tuple[int, CallerOutcome]] = attrs.field(factory=list)

    @property
    def goodput(self) -> float:
        """Complete answers within their deadlines, per second."""
        good = sum(
            outcome.is_complete
            and outcome.ended_ms - outcome.started_ms <= self.load.deadline_ms
            for _, outcome in self.outcomes
        )
        return good * _MS_PER_SECOND / self.load.duration_ms

    @property
    def largest_running(self) -> int:
        """Most concurrent requests at any runner, by its own count."""
        return max(
            runner.largest_running for runner in self.fleet.runners.values()
        )

    @property
    def crash_count(self) -> int:
        """Number of crashes of all runners."""
        return sum(runner.crash_count for runner in self.fleet.runners.values())

    @property
    def cached_share(self) -> float:
        """Share of the prompts' blocks that were found in caches."""
        runners = self.fleet.runners.values()
        blocks = sum(runner.prompt_blocks for runner in runners)
        return sum(runner.cached_blocks for runner in runners) / max(blocks, 1)

    def first_token_p95_ms(self, priority: int | None = None) -> float:
        """Returns the p95 time to first token of requests that got one."""
        times = sorted(
            outcome.first_token_ms
            for level, outcome in self.outcomes
            if outcome.first_token_ms is not None and priority in (None, level)
        )
        return times[int(len(times) * 0.95)] if times else 0

    def refused_share(self, priority: int) -> float:
        """Returns the share of a priority's requests that were refused."""
        refused = [
            outcome.refusal is not None
            for level, outcome in self.outcomes
            if level == priority
        ]
        return sum(refused) / max(len(refused), 1)


def run_load(load: Load, **fleet_options) -> LoadOutcome:
    """Runs a load to completion in virtual time."""

    async def main() -> LoadOutcome:
        fleet = SimulatedFleet(**fleet_options)
        outcome = LoadOutcome(load=load, fleet=fleet)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            await offer_load(load, outcome)
            tasks.cancel_scope.cancel()
        return outcome

    return run_in_virtual_time(main)


async def offer_load(load: Load, outcome: LoadOutcome) -> None:
    """Offers the load and returns after every request has ended."""
    fleet = outcome.fleet
    rng = random.Random(load.seed)
    start_ms = fleet.clock.monotonic_ms()
    next_ms = float(start_ms)

    async def send_request(vm, priority, account, prompt, tokens):
        result = await fleet.ask(
            vm,
            prompt,
            tokens=tokens,
            priority=priority,
            account=account,
            deadline_ms=load.deadline_ms,
        )
        outcome.outcomes.append((priority, result))

    async with anyio.create_task_group() as callers:
        while next_ms - start_ms < load.duration_ms:
            wait_ms = next_ms - fleet.clock.monotonic_ms()
            await fleet.clock.sleep_ms(max(wait_ms, 0))
            priority = 0 if rng.random() < _HIGH_PRIORITY_SHARE else 1
            accounts = range(len(_ACCOUNT_WEIGHTS))
            account = rng.choices(accounts, _ACCOUNT_WEIGHTS)[0]
            prefix = rng.choice(load.prompts)
            unique_words = ' '.join(
                f'{rng.getrandbits(32):08x}'
                for _ in range(load.unique_word_count)
            )
            callers.start_soon(
                send_request,
                rng.choice(fleet.vms),
                priority,
                f'account-{account}',
                f'{prefix}{unique_words}',
                rng.randint(load.tokens // 2, load.tokens * 3 // 2),
            )
            next_ms += rng.expovariate(
                load.requests_per_second / _MS_PER_SECOND,
            )
