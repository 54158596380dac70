"""Spending during an hour's partition of a zone, in virtual time."""

import random

import anyio

from benchmarks.measure_spending import TransactionalVm
from benchmarks.rows import BenchmarkRow
from teaseldale.answers import StoredAnswer
from teaseldale.budgets.tests.fleet import Call, EmbeddedFleet, EmbeddedVm
from teaseldale.fakes import run_in_virtual_time
from teaseldale.requests import HOLDER_VALIDITY_MS

_SEED = 5
_VMS = 8
_ZONE = 'port'
_BUDGET = 'large'
_BUDGET_TOKENS = 1_000_000
_CONNECTED_SECONDS = 120
_CUT_SECONDS = 3600
_REQUESTS_PER_SECOND = 2
_BOUND_PERCENT = 0.1


class PartitionRun:
    """One run, in which a zone loses the other zones and the table service."""

    def __init__(self, *, vm_type: type[EmbeddedVm]) -> None:
        """Prepares a run with VMs of ``vm_type``."""
        self._vm_type = vm_type
        self._workload = random.Random(_SEED)
        self._number = 0
        self.cut_requests = 0
        self.refused = 0

    async def run(self) -> None:
        """Runs the workload before and during the partition."""
        async with EmbeddedFleet(
            vm_count=_VMS,
            seed=_SEED,
            vm_type=self._vm_type,
            validity_ms=HOLDER_VALIDITY_MS,
        ) as fleet:
            await fleet.ledger.create(_BUDGET, _BUDGET_TOKENS)
            async with anyio.create_task_group() as tasks:
                await self._load(fleet, tasks, _CONNECTED_SECONDS)
                self._cut(fleet)
                await self._load(fleet, tasks, _CUT_SECONDS, counted=True)
            fleet.check_invariant()

    def refused_percent(self) -> float:
        """Returns the percentage of requests refused in the partition."""
        return 100 * self.refused / self.cut_requests

    def _cut(self, fleet: EmbeddedFleet) -> None:
        fleet.cut_zone(_ZONE)
        for name, vm in fleet.vms.items():
            if fleet.zone_of(name) == _ZONE:
                vm.table.down = True

    async def _load(
        self,
        fleet: EmbeddedFleet,
        tasks: anyio.abc.TaskGroup,
        seconds: int,
        *,
        counted: bool = False,
    ) -> None:
        for _ in range(seconds * _REQUESTS_PER_SECOND):
            self._number += 1
            tasks.start_soon(
                self._send_request, fleet, self._next_call(), counted
            )
            await anyio.sleep(1 / _REQUESTS_PER_SECOND)

    def _next_call(self) -> Call:
        return Call(
            key=f'{self._number}',
            budgets=(_BUDGET,),
            used_tokens=self._workload.randrange(10, 100),
            duration_ms=self._workload.choice((50, 400)),
        )

    async def _send_request(
        self, fleet: EmbeddedFleet, call: Call, counted: bool
    ) -> None:
        outcome = await fleet.ask(self._workload.randrange(_VMS), call)
        if counted:
            self.cut_requests += 1
            self.refused += not isinstance(outcome, StoredAnswer)


def deterministic_rows(quick: bool) -> list[BenchmarkRow]:
    """Runs one workload on both versions, without the machine's clock."""
    ours = PartitionRun(vm_type=EmbeddedVm)
    run_in_virtual_time(ours.run)
    naive = PartitionRun(vm_type=TransactionalVm)
    run_in_virtual_time(naive.run)
    return [
        BenchmarkRow(
            name='spending.false_refusals_zone_cut_off',
            unit='% of requests',
            ours=ours.refused_percent(),
            naive=naive.refused_percent(),
            naive_name='a transaction for each step',
            bound=_BOUND_PERCENT,
            deterministic=True,
            seed=_SEED,
        ),
    ]


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the deterministic rows; quick runs take the whole hour too."""
    return deterministic_rows(quick)
