"""Spending from grants, against one transaction per step, in virtual time."""

import random

import anyio

from benchmarks.rows import BenchmarkRow
from teaseldale.answers import StoredAnswer
from teaseldale.budgets import TransactionalSpending
from teaseldale.budgets.tests.fleet import (
    Call,
    EmbeddedFleet,
    EmbeddedVm,
    grants,
    ledgers,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.outcomes import Refusal
from teaseldale.requests import TableRequestRegistry

_SEED = 4
_VMS = 8
_BUDGETS = {'large': 2_000_000, 'nearly-empty': 900} | {
    f'small-{index}': 20_000 for index in range(6)
}
_INTERVAL_SECONDS = 0.05


class TransactionalVm(EmbeddedVm):
    """The naive version: one transaction for each step."""

    def __init__(self, *, fleet, identity):
        super().__init__(fleet=fleet, identity=identity)
        self.spending = TransactionalSpending(table=self.table)
        self.registry = TableRequestRegistry(table=self.table)
        self.lifecycle._parts = type(self.lifecycle._parts)(
            registry=self.registry,
            spending=self.spending,
            metrics=self.metrics,
        )

    async def run(self, *, task_status):
        with self.scope:
            async with anyio.create_task_group() as self.tasks:
                task_status.started()
                await anyio.sleep_forever()


class Measured:
    """Counters of one run of the workload."""

    def __init__(self):
        self.requests = 0
        self.false_refusals = 0
        self.overspent_tokens = 0
        self.writes = 0
        self.waits_ms = []
        self.frozen_ms = 0
        self.frozen_tokens = 0


async def _send_request(fleet, measured, index, call):
    started = anyio.current_time()
    outcome = await fleet.ask(index, call)
    measured.requests += 1
    waited = (anyio.current_time() - started) * 1000 - call.duration_ms
    if isinstance(outcome, StoredAnswer):
        measured.waits_ms.append(waited)
    elif isinstance(outcome, Refusal):
        remaining_tokens = ledgers(fleet.state)[
            call.budgets[0]
        ].topped_up_tokens - fleet.delivered_tokens(call.budgets[0])
        measured.false_refusals += remaining_tokens >= 2 * call.tokens


def _measure(vm_type, seconds):
    measured = Measured()
    workload = random.Random(_SEED)

    async def main():
        async with EmbeddedFleet(
            vm_count=_VMS,
            seed=_SEED,
            vm_type=vm_type,
        ) as fleet:
            for name, tokens in _BUDGETS.items():
                await fleet.ledger.create(name, tokens)
            commits = _commits(fleet)
            async with anyio.create_task_group() as tasks:
                for number in range(round(seconds / _INTERVAL_SECONDS)):
                    call = Call(
                        key=f'{number}',
                        budgets=(
                            workload.choices(
                                list(_BUDGETS),
                                [20, 1] + [1] * 6,
                            )[0],
                        ),
                        used_tokens=workload.randrange(10, 100),
                        duration_ms=workload.choice((50, 400)),
                    )
                    vm = workload.randrange(_VMS)
                    tasks.start_soon(_send_request, fleet, measured, vm, call)
                    await anyio.sleep(_INTERVAL_SECONDS)
            measured.writes = _commits(fleet) - commits
            for name, row in ledgers(fleet.state).items():
                overspent = fleet.delivered_tokens(name) - row.topped_up_tokens
                measured.overspent_tokens += max(0, overspent)
            if vm_type is EmbeddedVm:
                await _measure_vm_death(fleet, measured)

    run_in_virtual_time(main)
    return measured


async def _measure_vm_death(fleet, measured):
    fleet.kill('vm-0')
    started = anyio.current_time()
    while frozen := [
        grant.row.open_tokens
        for grant in grants(fleet.state)
        if grant.holder.startswith('vm-0.')
    ]:
        measured.frozen_tokens = max(measured.frozen_tokens, sum(frozen))
        await anyio.sleep(0.1)
    measured.frozen_ms = (anyio.current_time() - started) * 1000


def _commits(fleet):
    return sum(vm.table.commit_count for vm in fleet.vms.values())


def _quantile(waits_ms, share):
    return sorted(waits_ms)[int(share * (len(waits_ms) - 1))]


def rows(quick: bool) -> list[BenchmarkRow]:
    """Runs one workload on both versions, without the machine's clock."""
    seconds = 60 if quick else 600
    ours = _measure(EmbeddedVm, seconds)
    naive = _measure(TransactionalVm, seconds)

    def row(name, unit, figure_of, bound):
        return BenchmarkRow(
            name=f'spending.{name}',
            unit=unit,
            ours=figure_of(ours),
            naive=figure_of(naive),
            naive_name='a transaction for each step',
            bound=bound,
            deterministic=True,
            seed=_SEED,
        )

    return [
        row('overspent', 'tokens', lambda run: run.overspent_tokens, 0),
        row(
            'false_refusals_connected',
            '% of requests',
            lambda run: 100 * run.false_refusals / run.requests,
            0,
        ),
        row('table_writes', '1/s', lambda run: run.writes / seconds, 300),
        row(
            'added_p50',
            'ms',
            lambda run: _quantile(run.waits_ms, 0.5),
            330,
        ),
        row(
            'added_p95',
            'ms',
            lambda run: _quantile(run.waits_ms, 0.95),
            330,
        ),
        BenchmarkRow(
            name='spending.frozen_after_death',
            unit='s',
            ours=ours.frozen_ms / 1000,
            naive=None,
            bound=60,
            deterministic=True,
            seed=_SEED,
        ),
    ]
