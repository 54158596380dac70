"""Spending of several VMs from one account, against naive strategies.

All runs use virtual time.
"""

import random

import anyio
import attrs

from benchmarks.naive_accounts import (
    BaseSpending,
    FixedShares,
    TransactionalSpending,
)
from benchmarks.rows import BenchmarkRow
from teaseldale.budgets import AccountReservation
from teaseldale.budgets.tests.account_fleet import (
    ACCOUNT,
    AccountFleet,
    sleep_ms,
)
from teaseldale.fakes import run_in_virtual_time
from teaseldale.outcomes import Refusal

_SEED = 11
_VMS = 8
_REQUESTS_PER_SECOND = 40
_RESERVED_TOKENS = 800
_USED_TOKENS = 500
_REQUEST_DURATION_MS = 300
_SECONDS = 30
_BUSY_SHARE = 0.5  # of the requests go to one VM: the load is uneven
_PREPAID_RATIO = 1.3  # ratio of prepaid tokens to those that the run needs
# A refusal counts as false while more than this share of the account is left.
_FALSE_REFUSAL_SHARE = 0.03
_OUTAGE_S = (8, 16)
_POWER_FAILURE_S = (22, 23)
_PERCENT = 100


class GrantedSpending(BaseSpending):
    """Spending from the account grants of the product."""

    def __init__(self, *, fleet: AccountFleet) -> None:
        """Spends through the grants of the fleet's VMs."""
        self._fleet = fleet
        self._reserved: dict[int, list[AccountReservation]] = {}

    async def pay(self, vm_number: int, tokens: int) -> bool:
        """Reserves from the VM's grant."""
        grants = self._fleet.vms[vm_number - 1].grants
        outcome = await grants.reserve(account=ACCOUNT, most_tokens=tokens)
        if isinstance(outcome, Refusal):
            return False
        self._reserved.setdefault(vm_number, []).append(outcome)
        return True

    def settle(self, vm_number: int, unused_tokens: int) -> None:
        """Settles the oldest reservation; all have the same size."""
        reserved = self._reserved[vm_number].pop(0)
        self._fleet.vms[vm_number - 1].grants.settle(
            reserved,
            used_tokens=reserved.most_tokens - unused_tokens,
        )

    def restart(self, vm_number: int) -> None:
        """Discards the reservations of the killed VM process."""
        self._reserved.pop(vm_number, None)


@attrs.define(kw_only=True)
class AccountRun:
    """One run of the workload with one spending strategy."""

    with_faults: bool
    request_count: int = 0
    falsely_refused: int = 0
    used_tokens: int = 0
    write_count: int = 0
    _rng: random.Random = attrs.field(factory=lambda: random.Random(_SEED))

    def play(self, kind: type[BaseSpending]) -> 'AccountRun':
        """Runs the workload with a spending strategy in virtual time."""
        needed_tokens = _SECONDS * _REQUESTS_PER_SECOND * _USED_TOKENS
        fleet = AccountFleet(
            vm_count=_VMS,
            prepaid_tokens=int(needed_tokens * _PREPAID_RATIO),
            seed=_SEED,
        )

        async def workload() -> None:
            await self._run(fleet, kind(fleet=fleet))

        async def main() -> None:
            await fleet.run_workload(workload)

        run_in_virtual_time(main)
        self.write_count += sum(vm.table.commit_count for vm in fleet.vms)
        return self

    @property
    def falsely_refused_percent(self) -> float:
        """Percentage of requests refused although enough was left."""
        return _PERCENT * self.falsely_refused / self.request_count

    @property
    def writes_per_second(self) -> float:
        """Transactions that all VMs committed, per second."""
        return self.write_count / _SECONDS

    async def _run(self, fleet: AccountFleet, spending: BaseSpending) -> None:
        async with anyio.create_task_group() as tasks:
            if self.with_faults:
                tasks.start_soon(self._inject_faults, fleet, spending)
            for _ in range(_SECONDS * _REQUESTS_PER_SECOND):
                number = 1
                if self._rng.random() > _BUSY_SHARE:
                    number = self._rng.randint(2, _VMS)
                if fleet.vms[number - 1].grants is not None:
                    tasks.start_soon(
                        self._send_request, fleet, spending, number
                    )
                await sleep_ms(1000 / _REQUESTS_PER_SECOND)

    async def _send_request(
        self,
        fleet: AccountFleet,
        spending: BaseSpending,
        number: int,
    ) -> None:
        self.request_count += 1
        vm = fleet.vms[number - 1]
        grants_at_start = vm.grants
        false_refusal_threshold = fleet.prepaid_tokens * _FALSE_REFUSAL_SHARE
        is_paid = await spending.pay(number, _RESERVED_TOKENS)
        if not is_paid:
            remaining_tokens = fleet.prepaid_tokens - self.used_tokens
            self.falsely_refused += (
                remaining_tokens - _RESERVED_TOKENS >= false_refusal_threshold
            )
            return
        self.used_tokens += _RESERVED_TOKENS
        assert self.used_tokens <= fleet.prepaid_tokens
        await sleep_ms(_REQUEST_DURATION_MS)
        if vm.grants is not grants_at_start:
            return  # the VM was killed during the request
        unused = _RESERVED_TOKENS - _USED_TOKENS
        self.used_tokens -= unused
        spending.settle(number, unused)

    async def _inject_faults(
        self,
        fleet: AccountFleet,
        spending: BaseSpending,
    ) -> None:
        await anyio.sleep(_OUTAGE_S[0])
        for vm in fleet.vms:
            vm.table.down = True
        await anyio.sleep(_OUTAGE_S[1] - _OUTAGE_S[0])
        for vm in fleet.vms:
            vm.table.down = False
        await anyio.sleep(_POWER_FAILURE_S[0] - _OUTAGE_S[1])
        for vm in fleet.vms:
            self.write_count += vm.table.commit_count
            vm.kill()
            spending.restart(vm.number)
        await anyio.sleep(_POWER_FAILURE_S[1] - _POWER_FAILURE_S[0])
        for vm in fleet.vms:
            await fleet.start(vm)


def deterministic_rows(quick: bool) -> list[BenchmarkRow]:
    """Runs without faults, and with a table outage and a power failure."""
    rows: list[BenchmarkRow] = []
    for with_faults in (False, True):
        runs = {
            kind: AccountRun(with_faults=with_faults).play(kind)
            for kind in (GrantedSpending, FixedShares, TransactionalSpending)
        }
        rows.extend(_rows_of(runs, 'faults' if with_faults else 'calm'))
    return rows


def _rows_of(
    runs: dict[type[BaseSpending], AccountRun],
    name: str,
) -> list[BenchmarkRow]:
    ours = runs[GrantedSpending]
    rows = [
        BenchmarkRow(
            name=f'account_grants.{name}.false_refusals_{naive_name}',
            unit='% of requests',
            ours=ours.falsely_refused_percent,
            naive=runs[kind].falsely_refused_percent,
            naive_name=naive_name.replace('_', ' '),
            bound=0,
            deterministic=True,
            seed=_SEED,
        )
        for naive_name, kind in (
            ('fixed_shares', FixedShares),
            ('transaction_for_each', TransactionalSpending),
        )
    ]
    naive = runs[TransactionalSpending].writes_per_second
    rows.append(
        BenchmarkRow(
            name=f'account_grants.{name}.writes_per_second',
            unit='transactions/s',
            ours=ours.writes_per_second,
            naive=naive,
            naive_name='transaction for each',
            bound=_REQUESTS_PER_SECOND,
            deterministic=True,
            seed=_SEED,
        ),
    )
    return rows


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the deterministic rows; there are no others."""
    return deterministic_rows(quick)
