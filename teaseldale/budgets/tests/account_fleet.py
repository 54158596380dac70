"""Fleet of VMs that spend from accounts of one store in virtual time."""

import asyncio
import random

import anyio

from teaseldale.budgets import (
    AccountGrants,
    HolderKey,
    StoreAccess,
    VmIncarnation,
)
from teaseldale.fakes import FakeTableService, VirtualClock
from teaseldale.members import AccountKeepers, FixedMembers, VmEntry
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.tables import InMemoryTable

ACCOUNT = 'ben-salah'
_STARTUP_MS = 1500
_FIRST_PORT = 7000


class AccountVm:
    """One VM, which counts the tokens that its requests may have used."""

    def __init__(self, *, number, fleet):
        self.number = number
        self.name = f'vm-{number}'
        self.address = f'10.0.0.1:{_FIRST_PORT + number}'
        self.fleet = fleet
        self.starts = 0
        self.grants = None
        self.scope = None
        self.table = None
        self.metrics = Metrics()
        self.sent_count = 0  # datagrams

    async def run(self, started):
        self.starts += 1
        fleet = self.fleet
        clock = VirtualClock()
        self.table = FakeTableService(
            state=fleet.state,
            random_source=fleet.random,
        )
        self.grants = AccountGrants(
            start=VmIncarnation(
                holder=HolderKey(
                    vm_name=self.name,
                    incarnation=f'start-{self.starts}',
                ),
                address=self.address,
                started_ms=clock.monotonic_ms(),
                is_first=self.starts == 1,
            ),
            keepers=AccountKeepers(members=fleet.members, vm_name=self.name),
            store=StoreAccess(
                table=self.table,
                feed=self.table,
                clock=clock,
                metrics=self.metrics,
                eras=self.table.eras,
            ),
        )
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                self.grants.set_datagram_sender(self._send)
                self.grants.update_prepaid_accounts(fleet.prepaid_by_account)
                await self.grants.start(tasks)
                started.set()
                await anyio.sleep_forever()
        self.grants = None

    def _send(self, address, datagram):
        """Delivers a datagram with a delay; may duplicate or drop it."""
        self.sent_count += 1
        number = int(address.rpartition(':')[2]) - _FIRST_PORT
        fleet = self.fleet
        target = fleet.vms[number - 1]
        if fleet.loses_datagrams and fleet.random.random() < 0.2:
            return
        copies = 1
        if fleet.loses_datagrams and fleet.random.random() < 0.2:
            copies = 2
        for _ in range(copies):
            asyncio.get_running_loop().call_later(
                fleet.random.choice(fleet.datagram_seconds),
                target.deliver,
                datagram,
            )

    def deliver(self, datagram):
        """Handles a datagram if the VM is running."""
        if self.grants is None:
            return
        self.grants.handlers[datagram[:1]](datagram[1:])

    def kill(self):
        """Kills the VM; its reservations count as used."""
        self.scope.cancel()


class AccountFleet:
    """Several VMs with an exact record of the use of their accounts."""

    def __init__(
        self,
        *,
        vm_count,
        prepaid_tokens,
        seed=1,
        accounts=(ACCOUNT,),
    ):
        self.accounts = accounts  # ``prepaid_tokens`` each
        self.random = random.Random(seed)
        self.state = InMemoryTable()
        self.prepaid_tokens = prepaid_tokens
        self.prepaid_by_account = dict.fromkeys(accounts, prepaid_tokens)
        self.vms = [
            AccountVm(number=number + 1, fleet=self)
            for number in range(vm_count)
        ]
        self.members = FixedMembers(
            entries={
                vm.name: VmEntry(address=vm.address, incarnation='any')
                for vm in self.vms
            },
        )
        self.used_tokens = 0
        self.used_by_account = dict.fromkeys(accounts, 0)
        self.served_count = 0
        self.refusals = []
        self.tasks = None
        self.loses_datagrams = False  # drops some and duplicates some
        self.datagram_seconds = (0.002, 0.01, 0.3)  # one-way, chosen at random

    async def run_workload(self, workload):
        """Runs a workload with all VMs started, then stops them."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for vm in self.vms:
                await self.start(vm)
            await sleep_ms(_STARTUP_MS)
            await workload()
            tasks.cancel_scope.cancel()

    async def start(self, vm):
        """Starts a VM and waits until it runs."""
        started = anyio.Event()
        self.tasks.start_soon(vm.run, started)
        await started.wait()

    async def request(
        self,
        vm,
        tokens,
        *,
        used=None,
        lasts_ms=200,
        account=ACCOUNT,
    ):
        """Runs one request and returns its refusal, if any.

        Its reservation counts as used until it ends.
        """
        grants = vm.grants
        if grants is None:
            return None
        outcome = await grants.reserve(account=account, most_tokens=tokens)
        if isinstance(outcome, Refusal):
            self.refusals.append(outcome)
            return outcome
        if vm.grants is not grants:
            return None  # the VM ended while the request waited in it
        self.used_tokens += tokens
        self.check()
        await sleep_ms(lasts_ms)
        if vm.grants is not grants:
            return None
        used = tokens if used is None else used
        self.used_tokens += used - tokens
        self.served_count += 1
        grants.settle(outcome, used_tokens=used)
        return None

    def check(self):
        """Fails if more tokens were used than prepaid."""
        paid_tokens = self.prepaid_tokens * len(self.accounts)
        assert self.used_tokens <= paid_tokens, (
            self.used_tokens,
            self.prepaid_tokens,
        )

    def use(self, account, tokens):
        """Records use of one account, which may not exceed its tokens."""
        used = self.used_by_account[account] + tokens
        assert used <= self.prepaid_by_account[account], (account, used)
        self.used_by_account[account] = used

    async def load(self, vm, *, tokens, per_s, duration_ms):
        """Sends requests to one VM at a constant rate."""
        for _ in range(per_s * duration_ms // 1000):
            self.tasks.start_soon(self.request, vm, tokens)
            await sleep_ms(1000 / per_s)


async def sleep_ms(duration_ms):
    """Sleeps in virtual time."""
    await anyio.sleep(duration_ms / 1000)
