"""Simulated VMs: real routers and completion code, simulated runners."""

import random
from collections import Counter
from collections.abc import Callable

import anyio
import attrs
import msgspec

from benchmarks.simulated_runners import (
    SimulatedEngineClient,
    SimulatedReports,
    SimulatedRunner,
)
from teaseldale.answers import AnswerLog, AnswerMemory
from teaseldale.budgets import BaseSpending, Reservation
from teaseldale.clock import BaseClock
from teaseldale.entry._completion import CompletionJob, CompletionRunner
from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.fakes import FakePeerFabric, VirtualClock
from teaseldale.metrics import Metrics
from teaseldale.moves import ConfiguredVersion
from teaseldale.notes import (
    BaseConfigurationSource,
    ClientAccount,
    Configuration,
    ItemKind,
    Route,
    RouteKind,
    Upstream,
)
from teaseldale.outcomes import Refusal
from teaseldale.peers import VmIdentity
from teaseldale.requests import (
    BaseRequestRegistry,
    OpenedRequest,
    RequestIdentity,
    RequestStatus,
    Settlement,
)
from teaseldale.routing import (
    AffinityChoice,
    BaseUpstreamChoice,
    FleetRouter,
    LocalRouter,
    PrefixIndex,
    RunnerWatch,
)
from teaseldale.tables import BaseMembershipList, MemberState, VmMember
from teaseldale.upstreams import CrashQuarantine

ZONES = ('mill', 'port', 'office')
ROUTE = 'drafts'
_REPORT_INTERVAL_MS = 500


class FixedConfiguration(BaseConfigurationSource):
    """A configuration source with a configuration that tests can replace."""

    def __init__(self, configuration: Configuration) -> None:
        """Starts with ``configuration``."""
        self.configuration = configuration

    def current(self) -> Configuration:
        """Returns the configuration in force."""
        return self.configuration


class FixedMembership(BaseMembershipList):
    """An in-memory membership list that tests can change."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self.entries: dict[str, VmMember] = {}

    async def announce(self, member: VmMember) -> None:
        """Adds or replaces the entry of a member."""
        self.entries[member.name] = member

    async def members(self) -> tuple[VmMember, ...]:
        """Returns all entries."""
        return tuple(self.entries.values())

    def mark_leaving(self, upstream: str) -> None:
        """Adds an entry for an upstream in the leaving state."""
        self.entries[upstream] = VmMember(
            name=upstream,
            incarnation='1',
            address='10.0.0.1:1',
            availability_zone=ZONES[0],
            state=MemberState.LEAVING,
        )


class UnlimitedSpending(BaseSpending):
    """Grants every reservation and counts the billed tokens."""

    def __init__(self) -> None:
        """Starts without billed tokens."""
        self.billed: Counter[str] = Counter()

    async def reserve(self, *, request, budgets, tokens):
        """Returns a reservation without checking any budget."""
        return Reservation(request=request, budgets=budgets, tokens=tokens)

    async def settle(self, reservation, *, used_tokens):
        """Adds the used tokens to the bill of the request."""
        self.billed[reservation.request.text] += used_tokens
        return Settlement(
            holder='',
            sequence=0,
            budgets=reservation.budgets,
            used_tokens=used_tokens,
        )


class NullRequestRegistry(BaseRequestRegistry):
    """A request registry that admits every request and stores nothing."""

    async def open(self, *, request, digest, repeatable):
        """Returns a new open request."""
        return OpenedRequest(
            request=request,
            digest=digest,
            answer=AnswerLog(),
            repeatable=repeatable,
        )

    async def record_dispatch(self, opened, *, upstream, reserved_tokens):
        """Allows every dispatch."""
        return None

    async def finish(self, opened, stored, settlement):
        """Accepts the completion without storing it."""
        return None

    async def abandon(self, opened, *, not_run, settlement=None):
        """Accepts the abandonment without storing it."""

    async def status(self, request):
        """Returns UNKNOWN, as no request is stored."""
        return RequestStatus.UNKNOWN


@attrs.define(kw_only=True)
class CallerOutcome:
    """Outcome of a request as its caller observed it."""

    started_ms: int
    text: str = ''
    first_token_ms: int | None = None  # after the start
    ended_ms: int = 0
    refusal: Refusal | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the answer was complete."""
        return self.refusal is None and bool(self.ended_ms)


@attrs.define(kw_only=True, eq=False)
class SimulatedVm:
    """Components of one VM."""

    identity: VmIdentity
    router: FleetRouter | LocalRouter
    watch: RunnerWatch
    quarantine: CrashQuarantine
    completions: CompletionRunner
    engines: SimulatedEngineClient
    metrics: Metrics
    memory: AnswerMemory
    versions: ConfiguredVersion
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


ChoiceFactory = Callable[[str, PrefixIndex, BaseClock, int], BaseUpstreamChoice]


def make_affinity_choice(zone, index, clock, seed):
    """Returns the upstream choice that the program uses."""
    return AffinityChoice(
        index=index,
        clock=clock,
        zone=zone,
        random_source=random.Random(seed),
    )


class SimulatedFleet:
    """VMs of one fleet, for use within ``run_in_virtual_time``."""

    def __init__(
        self,
        *,
        vm_count: int = 8,
        runner_count: int = 6,
        slot_count: int = 16,
        choice: ChoiceFactory = make_affinity_choice,
        naive_slots: bool = False,
        retry_share_percent: int = 10,
        runner_options: dict[str, object] | None = None,
    ) -> None:
        """Creates the runners and VMs without starting them.

        With ``naive_slots``, each VM counts only its own requests.
        """
        self.clock = VirtualClock()
        self.fabric = FakePeerFabric()
        self.membership = FixedMembership()
        self.spending = UnlimitedSpending()
        self.route = Route(
            name=ROUTE,
            kind=RouteKind.COMPLETION,
            version='v1',
            retry_share_percent=retry_share_percent,
        )
        upstreams = [
            Upstream(
                name=f'runner-{index}',
                route=ROUTE,
                version='v1',
                url='http://10.0.0.1:1',
                availability_zone=ZONES[index % len(ZONES)],
                slot_count=slot_count,
            )
            for index in range(runner_count)
        ]
        self.runners = {
            upstream.name: SimulatedRunner(
                upstream=upstream,
                clock=self.clock,
                **(runner_options or {}),
            )
            for upstream in upstreams
        }
        self.configuration = FixedConfiguration(
            self.make_configuration(upstreams)
        )
        self._choice = choice
        self._naive_slots = naive_slots
        self._account = ClientAccount(name='a', key_hash='', budgets=())
        self.vms = [self.make_vm(index) for index in range(vm_count)]
        self.tasks = None
        self._key_count = 0

    def make_configuration(self, upstreams) -> Configuration:
        """Returns a configuration with the route and ``upstreams``."""
        items = {(ItemKind.ROUTE, ROUTE): self.route}
        for upstream in upstreams:
            items[ItemKind.UPSTREAM, upstream.name] = upstream
        return Configuration.build(1, items)

    def make_vm(self, index: int, incarnation: str = '1') -> SimulatedVm:
        """Creates a VM that joins the peer network."""
        identity = VmIdentity(
            name=f'vm-{index}',
            incarnation=incarnation,
            availability_zone=ZONES[index % len(ZONES)],
            address=f'10.0.0.{index}:7201',
        )
        network = self.fabric.join(identity)
        metrics = Metrics()
        prefixes = PrefixIndex()
        choice = self._choice(
            identity.availability_zone, prefixes, self.clock, index
        )
        router = self._make_router(choice, network, metrics)
        reports = SimulatedReports(runners=self.runners, clock=self.clock)
        quarantine = CrashQuarantine(
            reports=reports, network=network, clock=self.clock, metrics=metrics
        )
        engines = SimulatedEngineClient(
            runners=self.runners, clock=self.clock, vm=identity.name
        )
        memory = AnswerMemory()
        versions = ConfiguredVersion()
        parts = RequestDependencies(
            configuration=self.configuration,
            registry=NullRequestRegistry(),
            spending=self.spending,
            versions=versions,
            router=router,
            engines=engines,
            services=None,
            clock=self.clock,
            metrics=metrics,
            quarantine=quarantine,
            answer_memory=memory,
        )
        watch = RunnerWatch(
            table=router.table,
            index=prefixes,
            reports=reports,
            membership=self.membership,
            clock=self.clock,
            metrics=metrics,
        )
        return SimulatedVm(
            identity=identity,
            router=router,
            watch=watch,
            quarantine=quarantine,
            completions=CompletionRunner(parts=parts),
            engines=engines,
            metrics=metrics,
            memory=memory,
            versions=versions,
        )

    def _make_router(self, choice, network, metrics):
        if self._naive_slots:
            return LocalRouter(configuration=self.configuration, choice=choice)
        return FleetRouter(
            configuration=self.configuration,
            choice=choice,
            network=network,
            clock=self.clock,
            metrics=metrics,
        )

    async def start(self, tasks) -> None:
        """Starts all VMs and waits 8 s for runner slots to be lent."""
        self.tasks = tasks
        for vm in self.vms:
            self.start_vm(vm)
        await self.clock.sleep_ms(8000)

    def start_vm(self, vm: SimulatedVm) -> None:
        """Starts the background tasks of one VM."""
        self.tasks.start_soon(self._run_vm, vm)

    async def _run_vm(self, vm: SimulatedVm) -> None:
        with vm.scope:
            async with anyio.create_task_group() as tasks:
                if isinstance(vm.router, FleetRouter):
                    await vm.router.start(tasks)
                await vm.watch.start(tasks)

    async def ask(
        self,
        vm: SimulatedVm,
        prompt: str,
        *,
        tokens: int = 32,
        priority: int = 1,
        deadline_ms: int = 60_000,
        account: str = 'a',
        key: str = '',
        reader_bytes_per_second: int = 0,
        answers: list[AnswerLog] | None = None,
    ) -> CallerOutcome:
        """Sends a request, reads its answer to the end, returns the outcome."""
        self._key_count += 1
        job = self._make_job(
            key or f'key-{self._key_count}',
            prompt,
            tokens=tokens,
            priority=priority,
            deadline_ms=self.clock.monotonic_ms() + deadline_ms,
            account=account,
        )
        outcome = CallerOutcome(started_ms=self.clock.monotonic_ms())
        answer = job.opened.answer
        if answers is not None:
            answers.append(answer)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(vm.completions.run, job)
            async for batch in answer.batches():
                if outcome.first_token_ms is None:
                    now_ms = self.clock.monotonic_ms()
                    outcome.first_token_ms = now_ms - outcome.started_ms
                for part in batch:
                    outcome.text += part.text
                if reader_bytes_per_second:
                    size = sum(len(part.text) for part in batch)
                    await self.clock.sleep_ms(
                        1000 * size / reader_bytes_per_second
                    )
        outcome.ended_ms = self.clock.monotonic_ms()
        outcome.refusal = answer.refusal
        return outcome

    def _make_job(self, key, prompt, *, tokens, priority, deadline_ms, account):
        body = {
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
        }
        return CompletionJob(
            opened=OpenedRequest(
                request=RequestIdentity(client_account=account, key=key),
                digest='',
                answer=AnswerLog(),
                repeatable=True,
            ),
            account=attrs.evolve(self._account, name=account),
            route=self.route,
            engine_body=msgspec.json.encode(body),
            prompt=prompt,
            prompt_bound_tokens=len(prompt),
            output_limit_tokens=tokens,
            priority=priority,
            deadline_ms=deadline_ms,
        )
