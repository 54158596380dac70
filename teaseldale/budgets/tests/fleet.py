"""Fleet of VMs that spend from budgets on fakes in virtual time."""

import random
from collections import Counter

import anyio
import attrs

from teaseldale.answers import StoredAnswer
from teaseldale.budgets import GrantedSpending, TableLedger
from teaseldale.entry._lifecycle import RequestLifecycle, WorkOutcome
from teaseldale.fakes import (
    FakePeerFabric,
    FakeTableService,
    PauseGate,
    VirtualClock,
)
from teaseldale.metrics import Metrics
from teaseldale.outcomes import Refusal
from teaseldale.peers import VmIdentity
from teaseldale.requests import (
    HolderDependencies,
    OpenedRequest,
    RequestIdentity,
    WitnessedRegistry,
)
from teaseldale.tables import InMemoryTable


@attrs.frozen(kw_only=True)
class Call:
    """A caller's request; its use of tokens does not depend on the VM."""

    key: str
    budgets: tuple[str, ...] = ('drafting',)
    tokens: int = 100  # reserved
    used_tokens: int = 60
    duration_ms: int = 50
    repeatable: bool = True
    body: str = 'body'

    @property
    def request(self):
        return RequestIdentity(client_account='ben-salah', key=self.key)


@attrs.frozen(kw_only=True)
class LifecycleDependencies:
    """The parts that a request's life cycle needs."""

    registry: object
    spending: object
    metrics: Metrics


class EmbeddedVm:
    """Spending and registry of one VM on the fakes of a fleet."""

    registry_type = WitnessedRegistry
    spending_type = GrantedSpending

    def __init__(self, *, fleet, identity):
        self.fleet = fleet
        self.identity = identity
        self.gate = PauseGate()
        self.clock = VirtualClock(gate=self.gate)
        self.peers = fleet.fabric.join(identity, self.gate)
        self.table = FakeTableService(
            state=fleet.state,
            random_source=fleet.random,
            gate=self.gate,
        )
        self.metrics = Metrics()
        self.parts = HolderDependencies.build(
            table=self.table,
            peers=self.peers,
            clock=self.clock,
            metrics=self.metrics,
            random_source=fleet.random,
            validity_ms=fleet.validity_ms,
        )
        self.spending = self.spending_type(parts=self.parts)
        self.registry = self.registry_type(parts=self.parts)
        self.lifecycle = RequestLifecycle(
            parts=LifecycleDependencies(
                registry=self.registry,
                spending=self.spending,
                metrics=self.metrics,
            ),
        )
        self.scope = anyio.CancelScope()
        self.tasks = None
        self.exchanges = set()

    async def run(self, *, task_status):
        with self.scope:
            async with anyio.create_task_group() as self.tasks:
                await self.spending.start(self.tasks)
                await self.registry.start(self.tasks)
                task_status.started()
                await anyio.sleep_forever()

    async def ask(self, call):
        """Returns the answer or refusal; None if the VM is killed meanwhile."""
        if self.scope.cancel_called:
            return None
        outcomes = []
        ended = anyio.Event()
        self.exchanges.add(ended)
        self.tasks.start_soon(self.serve, call, outcomes, ended)
        await ended.wait()
        self.exchanges.discard(ended)
        return outcomes[0] if outcomes else None

    def kill(self):
        self.scope.cancel()
        for ended in self.exchanges:
            ended.set()

    async def serve(self, call, outcomes, ended):
        opened = await self.registry.open(
            request=call.request,
            digest=call.body,
            repeatable=call.repeatable,
        )
        if isinstance(opened, OpenedRequest):
            self.tasks.start_soon(self.execute, opened, call)
        if not isinstance(opened, Refusal):
            await opened.answer.wait_for_end()
            opened = opened.answer.stored or opened.answer.refusal
        await self.gate.wait_while_paused()
        outcomes.append(opened)
        ended.set()

    async def execute(self, opened, call):
        async def work(reserved):
            refused = await self.registry.record_dispatch(
                opened,
                upstream='runner',
                reserved_tokens=reserved.tokens,
            )
            if refused is not None:
                return WorkOutcome(answer=refused)
            self.fleet.executions[call.key] += 1
            await self.clock.sleep_ms(call.duration_ms)
            return WorkOutcome(
                answer=StoredAnswer(
                    status=200,
                    body=call.key.encode(),
                    content_type='text/plain',
                    prompt_tokens=0,
                    output_tokens=call.used_tokens,
                ),
                used_tokens=call.used_tokens,
            )

        await self.lifecycle.run(
            opened,
            budgets=call.budgets,
            tokens=call.tokens,
            work=work,
        )


class EmbeddedFleet:
    """VMs over one table, with an exact ledger of delivered answers."""

    def __init__(
        self,
        *,
        vm_count=4,
        zones=('mill', 'port', 'office'),
        seed=0,
        validity_ms=60_000,
        vm_type=EmbeddedVm,
    ):
        self.random = random.Random(seed)
        self.state = InMemoryTable()
        self.fabric = FakePeerFabric(random_source=self.random)
        self.fabric.count_bytes = False
        self.validity_ms = validity_ms
        self.vm_type = vm_type
        self.vms = {}
        self.executions = Counter()  # runs at the upstream, by key
        self.delivered = {}  # call by key, for complete answers
        self.wrong_answers = []
        self.zones = zones
        self.vm_count = vm_count
        self.tasks = None
        self._incarnations = 0
        self.ledger = TableLedger(
            table=FakeTableService(
                state=self.state,
                random_source=self.random,
            ),
        )

    async def __aenter__(self):
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        for index in range(self.vm_count):
            await self.start_vm(f'vm-{index}')
        await anyio.sleep(0.1)
        return self

    async def __aexit__(self, kind, error, trace):
        self.tasks.cancel_scope.cancel()
        return await self.tasks.__aexit__(kind, error, trace)

    def __getitem__(self, index):
        return self.vms[f'vm-{index}']

    async def start_vm(self, name):
        """Starts a VM; replaces a running VM of the same name."""
        index = int(name.partition('-')[2])
        self._incarnations += 1
        vm = self.vm_type(
            fleet=self,
            identity=VmIdentity(
                name=name,
                incarnation=str(self._incarnations),
                availability_zone=self.zones[index % len(self.zones)],
                address=f'10.0.0.{index}:1',
            ),
        )
        self.vms[name] = vm
        await self.tasks.start(
            lambda task_status: vm.run(task_status=task_status)
        )
        return vm

    def kill(self, name):
        vm = self.vms.pop(name)
        self.fabric.remove(name)
        vm.kill()

    async def ask(self, index, call):
        """Sends a call to a VM and records the delivered answer."""
        name = index if isinstance(index, str) else f'vm-{index}'
        vm = self.vms.get(name)
        if vm is None:
            return None
        outcome = await vm.ask(call)
        if isinstance(outcome, StoredAnswer):
            if outcome.body != call.key.encode():
                self.wrong_answers.append((call, outcome))
            self.delivered[call.key] = call
        return outcome

    def cut_zone(self, zone):
        """Cuts all links between a zone and the others."""
        inside = [name for name in self.vms if self.zone_of(name) == zone]
        for name in inside:
            for other in self.vms:
                if other not in inside:
                    self.fabric.cut(name, other)

    def zone_of(self, name):
        return self.vms[name].identity.availability_zone

    def set_table(self, **faults):
        for vm in self.vms.values():
            for fault, switched in faults.items():
                setattr(vm.table, fault, switched)

    async def settle_down(self, duration_ms=20_000):
        await anyio.sleep(duration_ms / 1000)

    def check_invariant(self):
        """Checks that no more was granted or billed than topped up."""
        problems = ledger_problems(self.state)
        assert not problems, problems
        for budget, row in ledgers(self.state).items():
            spent = self.delivered_tokens(budget)
            assert spent <= row.topped_up_tokens, (budget, spent, row)
        assert not self.wrong_answers, self.wrong_answers

    def delivered_tokens(self, budget):
        return sum(
            call.used_tokens
            for call in self.delivered.values()
            if budget in call.budgets
        )


def ledgers(state):
    """Returns the ledger rows by budget."""
    from teaseldale.budgets._ledger import decode_ledger_row

    return {
        row.key: decode_ledger_row(row).row
        for row in state.scan(table='ledger', prefix='', after_revision=0)
    }


def grants(state):
    """Returns the grant rows."""
    from teaseldale.budgets._grant_rows import decode_grant

    return [
        decode_grant(row)
        for row in state.scan(table='grants', prefix='', after_revision=0)
    ]


def billed_tokens(state, budget):
    """Returns the tokens billed to a budget in its ledger and grants."""
    return ledgers(state)[budget].billed_tokens + sum(
        grant.row.billed_tokens
        for grant in grants(state)
        if grant.budget == budget
    )


def ledger_problems(state):
    """Returns an inconsistent grant, or the budgets that do not add up."""
    held = Counter()
    for grant in grants(state):
        row = grant.row
        held[grant.budget] += row.open_tokens + row.billed_tokens
        if row.open_tokens < 0 or row.billed_tokens < 0:
            return [grant]
    return [
        (budget, row, held[budget])
        for budget, row in ledgers(state).items()
        if held[budget] != row.open_tokens
        or row.billed_tokens + row.open_tokens > row.topped_up_tokens
    ]
