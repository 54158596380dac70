"""Tokens that a fleet serves, beside a ledger that sees all VMs at once.

Three accounts with a high, a medium and a low rate of requests run out of
tokens shortly before the end of a run.
"""

import functools
import heapq
import itertools
import random

import anyio
import attrs

from teaseldale.budgets.tests.account_fleet import AccountFleet, sleep_ms
from teaseldale.budgets.tests.token_locations import TokenLocations
from teaseldale.fakes import run_in_virtual_time
from teaseldale.outcomes import Refusal

DURATION_S = 40
# Share of the expected demand that is prepaid.
PREPAID_SHARE = 0.9
REQUESTS_PER_S = {'large': 12, 'medium': 4, 'small': 1}
# Clients of a fleet of some 80 VMs: a few accounts send most of the requests.
LARGE_FLEET_REQUESTS_PER_S = {
    f'account-{number}': 60 if number < 3 else 16 if number < 8 else 4
    for number in range(24)
}
LONG_WAIT_S = 0.2
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Kind:
    """Kind of request with its share of the traffic."""

    weight: float
    mean_tokens: int
    lasts_ms: int
    used_share: float = 1


KINDS = (
    Kind(weight=0.35, mean_tokens=9200, lasts_ms=1000),
    Kind(weight=0.4, mean_tokens=2400, lasts_ms=600),
    Kind(weight=0.25, mean_tokens=1000, lasts_ms=3000, used_share=0.9),
)
MEAN_TOKENS = sum(kind.weight * kind.mean_tokens for kind in KINDS)


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of the workload."""

    at_ms: int
    vm_index: int
    account: str
    tokens: int
    kind: Kind


@attrs.frozen(kw_only=True)
class Cut:
    """VMs that do not reach the store for some time."""

    at_s: float
    for_s: float
    vm_count: int


@attrs.frozen(kw_only=True)
class PowerLoss:
    """All VMs, or the first few, end at once and start again."""

    at_s: float
    down_s: float
    vm_count: int | None = None
    is_final: bool = False  # they do not start again


@attrs.frozen(kw_only=True)
class Burst:
    """A client account that sends several times its usual requests."""

    account: str
    at_s: float
    for_s: float
    factor: float


@attrs.frozen(kw_only=True)
class Result:
    """Outcome of one run."""

    served_tokens: int
    owed_tokens: int  # served by the ideal ledger
    transactions: int
    first_refusals: int  # refused at the first try, later served or not
    delayed: int  # waited for tokens for over a fifth of a second

    @property
    def share(self):
        """Served tokens of the owed ones."""
        return self.served_tokens / self.owed_tokens


def prepaid_tokens(requests_per_s):
    """Tokens prepaid for an account with a rate of requests."""
    rate = requests_per_s * MEAN_TOKENS
    return int(rate * DURATION_S * PREPAID_SHARE)


def arrivals(*, seed, vm_count, bursts=(), rates=REQUESTS_PER_S):
    """Returns the requests of a run in the order of their arrival."""
    source = random.Random(seed)
    found = []
    for account, usual_per_s in rates.items():
        at_s = source.expovariate(usual_per_s)
        while at_s < DURATION_S:
            kind = source.choices(KINDS, [kind.weight for kind in KINDS])[0]
            found.append(
                Arrival(
                    at_ms=int(at_s * _MS_PER_SECOND),
                    vm_index=source.randrange(vm_count),
                    account=account,
                    tokens=int(kind.mean_tokens * source.uniform(0.4, 1.6)),
                    kind=kind,
                )
            )
            factor = max(
                (
                    burst.factor
                    for burst in bursts
                    if burst.account == account
                    and burst.at_s <= at_s < burst.at_s + burst.for_s
                ),
                default=1,
            )
            at_s += source.expovariate(usual_per_s * factor)
    return sorted(found, key=lambda arrival: arrival.at_ms)


def owed_tokens(requests, faults, prepaid_by_account):
    """Returns the tokens that one ledger without faults would serve.

    Requests that arrive while all VMs are down are not owed.
    """
    losses = [
        fault
        for fault in faults
        if isinstance(fault, PowerLoss) and fault.vm_count is None
    ]
    used = dict.fromkeys(prepaid_by_account, 0)
    ending = []
    numbers = itertools.count()
    served = 0
    for request in requests:
        at_s = request.at_ms / _MS_PER_SECOND
        if any(loss.at_s <= at_s < loss.at_s + loss.down_s for loss in losses):
            continue
        while ending and ending[0][0] <= request.at_ms:
            _, _, account, unused = heapq.heappop(ending)
            used[account] -= unused
        prepaid = prepaid_by_account[request.account]
        if used[request.account] + request.tokens > prepaid:
            continue
        used[request.account] += request.tokens
        served += request.tokens
        unused = int(request.tokens * (1 - request.kind.used_share))
        end_ms = request.at_ms + request.kind.lasts_ms
        heapq.heappush(ending, (end_ms, next(numbers), request.account, unused))
    return served


class OwedRun:
    """Plays a workload with faults on a fleet."""

    def __init__(
        self,
        *,
        vm_count,
        seed,
        faults,
        fleet_class=AccountFleet,
        prepaid_factor=1,
        rates=REQUESTS_PER_S,
    ):
        self.fleet = fleet_class(
            vm_count=vm_count,
            prepaid_tokens=0,
            seed=seed,
            accounts=tuple(rates),
        )
        self._prepaid_by_account = {
            account: int(prepaid_tokens(per_s) * prepaid_factor)
            for account, per_s in rates.items()
        }
        self.fleet.prepaid_by_account = dict(self._prepaid_by_account)
        bursts = [fault for fault in faults if isinstance(fault, Burst)]
        self.requests = arrivals(
            seed=seed, vm_count=vm_count, bursts=bursts, rates=rates
        )
        self.faults = [fault for fault in faults if fault not in bursts]
        self.served_tokens = 0
        self.refused = []  # second, account, tokens, code
        self.transactions = 0
        self.first_refusals = 0
        self.delayed = 0
        self.locations = TokenLocations(fleet=self.fleet)
        self.found = {}  # location of tokens by account, at the end

    def play(self):
        """Plays the run in virtual time and returns its result."""
        run_in_virtual_time(
            functools.partial(self.fleet.run_workload, self._workload)
        )
        return Result(
            served_tokens=self.served_tokens,
            owed_tokens=owed_tokens(
                self.requests, self.faults, self._prepaid_by_account
            ),
            transactions=self.transactions,
            first_refusals=self.first_refusals,
            delayed=self.delayed,
        )

    def missed_tokens(self, account):
        """Unspent tokens of an account that refused requests would have used.

        A request that was refused at both tries counts once.
        """
        found = self.found[account]
        refused = sum(
            tokens for _, name, tokens, _ in self.refused if name == account
        )
        return min(refused, found.prepaid - found.spent)

    async def _workload(self):
        tasks = self.fleet.tasks
        for fault in self.faults:
            tasks.start_soon(self._apply, fault)
        now_ms = 0
        for request in self.requests:
            await sleep_ms(request.at_ms - now_ms)
            now_ms = request.at_ms
            tasks.start_soon(self._send, request)
        await sleep_ms(4000)
        self.found = self.locations.find_all()
        for vm in self.fleet.vms:
            self._count(vm)

    def _count(self, vm):
        if vm.grants is not None:
            self.transactions += vm.table.commit_count

    async def _apply(self, fault):
        await sleep_ms(fault.at_s * _MS_PER_SECOND)
        vms = self.fleet.vms[: fault.vm_count]
        if isinstance(fault, Cut):
            for vm in vms:
                vm.table.down = True
            await sleep_ms(fault.for_s * _MS_PER_SECOND)
            for vm in vms:
                vm.table.down = False
            return
        for vm in vms:
            self._count(vm)
            self.locations.record_end(vm)
            vm.kill()
        if fault.is_final:
            return
        await sleep_ms(fault.down_s * _MS_PER_SECOND)
        for vm in vms:
            await self.fleet.start(vm)

    async def _send(self, request):
        vm = self.fleet.vms[request.vm_index]
        refusal = await self._try(vm, request)
        if isinstance(refusal, Refusal):
            self.first_refusals += 1
        if isinstance(refusal, Refusal) and refusal.retry_after_ms:
            await sleep_ms(refusal.retry_after_ms)
            other = self.fleet.random.choice(self.fleet.vms)
            refusal = await self._try(other, request)
        if isinstance(refusal, Refusal):
            self.refused.append(
                (
                    request.at_ms // _MS_PER_SECOND,
                    request.account,
                    request.tokens,
                    refusal.code.value,
                )
            )

    async def _try(self, vm, request):
        """Returns a refusal; None if the request ran or met no VM."""
        grants = vm.grants
        if grants is None:
            return None
        started_s = anyio.current_time()
        outcome = await grants.reserve(
            account=request.account,
            most_tokens=request.tokens,
        )
        if anyio.current_time() - started_s > LONG_WAIT_S:
            self.delayed += 1
        if isinstance(outcome, Refusal):
            return outcome
        if vm.grants is not grants:
            return None
        self.fleet.use(request.account, request.tokens)
        self.served_tokens += request.tokens
        await sleep_ms(request.kind.lasts_ms)
        if vm.grants is grants:
            used = int(request.tokens * request.kind.used_share)
            self.fleet.use(request.account, used - request.tokens)
            grants.settle(outcome, used_tokens=used)
        return None
