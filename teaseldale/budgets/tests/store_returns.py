"""Accounts while the store returns from copies some seconds old."""

import random

import attrs

from teaseldale.budgets.tests.account_fleet import AccountFleet, sleep_ms
from teaseldale.budgets.tests.owed_requests import (
    DURATION_S,
    Burst,
    Cut,
    OwedRun,
    PowerLoss,
)

LONGEST_COPY_AGE_S = 10
_COPY_INTERVAL_S = 0.1
_FIRST_ERA = 7
_MS_PER_SECOND = 1000
# Loss of power of all VMs, of two for good, or of one that starts again.
_LOSSES = ((None, False), (2, True), (1, False))


@attrs.frozen(kw_only=True)
class StoreReturn:
    """The store is away, then continues from a copy of ``copy_age_s`` ago."""

    at_s: float
    away_s: float
    copy_age_s: float


@attrs.frozen(kw_only=True)
class UnansweredCommits:
    """Commits of the first VMs get no answer and are applied, perhaps late."""

    at_s: float
    for_s: float
    vm_count: int
    late_s: float | None = None


@attrs.frozen(kw_only=True)
class TopUp:
    """An account is prepaid more; each VM learns it up to 2 s later."""

    account: str
    at_s: float
    factor: float


class ReturningStoreFleet(AccountFleet):
    """Fleet that records by how much accounts are overspent."""

    def __init__(self, **options):
        super().__init__(**options)
        self.state.era = _FIRST_ERA
        self.copies = []
        self.overspent_share = 0

    def use(self, account, tokens):
        used = self.used_by_account[account] + tokens
        self.used_by_account[account] = used
        over = used / self.prepaid_by_account[account] - 1
        self.overspent_share = max(self.overspent_share, over)


class ReturnsRun(OwedRun):
    """Plays a workload while the store returns from copies."""

    def __init__(
        self, *, vm_count, seed, faults, prepaid_factor=1, keeps_rows=False
    ):
        super().__init__(
            vm_count=vm_count,
            seed=seed,
            faults=faults,
            fleet_class=ReturningStoreFleet,
            prepaid_factor=prepaid_factor,
        )
        self._keeps_rows = keeps_rows  # the copies are as of the return

    async def _workload(self):
        self.fleet.tasks.start_soon(self._copy_store)
        await super()._workload()

    async def _copy_store(self):
        copies = self.fleet.copies
        while True:
            copies.append(self.fleet.state.copy())
            del copies[: -int(LONGEST_COPY_AGE_S / _COPY_INTERVAL_S)]
            await sleep_ms(_COPY_INTERVAL_S * _MS_PER_SECOND)

    async def _apply(self, fault):
        if isinstance(fault, StoreReturn):
            await self._return_store(fault)
        elif isinstance(fault, UnansweredCommits):
            await self._lose_answers(fault)
        elif isinstance(fault, TopUp):
            await self._top_up(fault)
        else:
            await super()._apply(fault)

    async def _return_store(self, fault):
        await sleep_ms(fault.at_s * _MS_PER_SECOND)
        state = self.fleet.state
        state.is_away = True
        if self._keeps_rows:
            state.return_from(state.copy())
        else:
            index = -1 - int(fault.copy_age_s / _COPY_INTERVAL_S)
            copies = self.fleet.copies
            state.return_from(copies[max(index, -len(copies))])
        await sleep_ms(fault.away_s * _MS_PER_SECOND)
        state.is_away = False

    async def _lose_answers(self, fault):
        await sleep_ms(fault.at_s * _MS_PER_SECOND)
        tables = [vm.table for vm in self.fleet.vms[: fault.vm_count]]
        for table in tables:
            if fault.late_s is None:
                table.lose_answers = True
            else:
                table.late_commits = True
                table.late_commit_ms = int(fault.late_s * _MS_PER_SECOND)
        await sleep_ms(fault.for_s * _MS_PER_SECOND)
        for ended in tables:
            ended.lose_answers = False
            ended.late_commits = False

    async def _top_up(self, fault):
        await sleep_ms(fault.at_s * _MS_PER_SECOND)
        fleet = self.fleet
        prepaid = int(fleet.prepaid_by_account[fault.account] * fault.factor)
        fleet.prepaid_by_account[fault.account] = prepaid
        for vm in fleet.vms:
            await sleep_ms(2 * _MS_PER_SECOND / len(fleet.vms))
            if vm.grants is not None:
                vm.grants.update_prepaid_accounts({fault.account: prepaid})


def random_run(seed, *, vm_count, keeps_rows=False):
    """Returns a run with random returns and other faults."""
    source = random.Random(f'store returns {seed}')
    faults = [
        StoreReturn(
            at_s=source.uniform(1, DURATION_S),
            away_s=source.uniform(0.1, 2),
            copy_age_s=source.uniform(0, LONGEST_COPY_AGE_S),
        )
        for _ in range(source.choice((1, 2, 3, 3, 4)))
    ]
    for _ in range(source.randrange(3)):
        faults.append(_other_fault(source, vm_count, faults[0]))
    return ReturnsRun(
        vm_count=vm_count,
        seed=seed,
        faults=tuple(faults),
        prepaid_factor=source.uniform(1 / 3, 1),
        keeps_rows=keeps_rows,
    )


def _other_fault(source, vm_count, first_return):
    near_s = first_return.at_s + source.uniform(-8, 4)
    at_s = max(0.5, source.choice((near_s, source.uniform(1, DURATION_S))))
    kind = source.randrange(5)
    if kind == 0:
        lost_count, is_final = source.choice(_LOSSES)
        return PowerLoss(
            at_s=at_s,
            down_s=source.uniform(0.3, 3),
            vm_count=lost_count,
            is_final=is_final,
        )
    if kind == 1:
        return Cut(
            at_s=at_s,
            for_s=source.uniform(1, 9),
            vm_count=source.randrange(1, vm_count),
        )
    if kind == 2:
        return Burst(
            account='medium', at_s=at_s, for_s=6, factor=source.uniform(2, 7)
        )
    if kind == 3:
        return TopUp(
            account=source.choice(('large', 'medium', 'small')),
            at_s=at_s,
            factor=source.uniform(1.05, 1.5),
        )
    return UnansweredCommits(
        at_s=at_s,
        for_s=source.uniform(0.5, 3),
        vm_count=source.randrange(1, vm_count),
        late_s=source.choice((None, source.uniform(0.6, 6))),
    )
