"""VMs before runners that end when they reject too much, in virtual time."""

import random
from collections import deque

import anyio
import attrs

from teaseldale.forwarding.tests.entry_world import make_runner
from teaseldale.forwarding.tests.fleet_world import (
    CONTACT_MS,
    Arrival,
    LinkedFleet,
    now_ms,
)
from teaseldale.forwarding.tests.scripted_runners import (
    ScriptedAnswer,
    failure,
)
from teaseldale.platform.tests.wire_names import (
    NOT_RUN,
    brittle_header,
    load_header,
    request_id_of,
    usage_header,
)
from teaseldale.upstreams import FailureKind

WORK_MS = 200
SLOT_COUNT = 4
_QUEUE_COUNT = 8
_BRITTLE_QUEUE_COUNT = 1
_TOLERATED = 5
# From the first answer that says so until rejections end a brittle runner.
# Bounds hold ``CONTACT_MS`` later only.
_FRAGILE_MS = 1500
_DOWN_S = 3


@attrs.frozen(kw_only=True)
class RunnerModel:
    """What the runners of a fleet can hold, and what they say of it."""

    slot_count: int = SLOT_COUNT
    queue_count: int = _QUEUE_COUNT
    brittle_queue_count: int = _BRITTLE_QUEUE_COUNT
    tolerated: int = _TOLERATED
    # Memory for all running requests together; None if only slots bind.
    memory_tokens: int | None = None
    # Memory that the configuration names; None for the same.
    named_memory_tokens: int | None = None
    least_tokens: int = 1  # that a request needs
    most_tokens: int = 1
    tells_load: bool = False
    names_tokens: bool = False  # whether callers name what requests need
    # Share of the requests that run on after their connection has closed.
    runs_on_share: float = 0

    @property
    def mean_tokens(self):
        """Returns what a request needs on average."""
        return (self.least_tokens + self.most_tokens) / 2

    @property
    def room_count(self):
        """Returns how many requests of mean size run concurrently."""
        if self.memory_tokens is None:
            return self.slot_count
        return min(self.slot_count, self.memory_tokens / self.mean_tokens)


@attrs.define(kw_only=True, eq=False)
class _Turn:
    """A request that waits at a runner."""

    tokens: int
    begins: anyio.Event = attrs.field(factory=anyio.Event)


class BrittleRunner:
    """A runner that ends when it rejects too many requests in a second."""

    def __init__(self, *, number, fleet):
        self.fleet = fleet
        self.model = fleet.model
        self.entry = make_runner(number, slot_count=fleet.model.slot_count)
        self.brittle_ms = None  # since when it says that it is brittle
        self.running_count = 0
        self.used_tokens = 0
        self.waiting = deque()
        self.rejected_ms = deque()
        self.most_rejected = 0  # in one second
        self.falls_ms = []
        self.is_down = False
        self.ended = anyio.Event()

    async def run(self, message, vm_number):
        """Returns the answer of a request."""
        if self.is_down:
            raise failure(FailureKind.REFUSED)
        request_id = request_id_of(message)
        self.fleet.arrivals.append(
            Arrival(
                runner_id=self.entry.runner_id,
                request_id=request_id,
                body=message.body,
                at_ms=now_ms(),
                vm_number=vm_number,
            )
        )
        tokens = self.fleet.tokens_of(request_id)
        if not self.waiting and self._has_room(tokens):
            self._begin(tokens)
        elif len(self.waiting) < self._queue_limit():
            await self._wait(tokens)
        else:
            return self._reject()
        return await self._work(tokens)

    def start_brittleness(self):
        """Says in all answers from now on that the runner is brittle."""
        self.brittle_ms = now_ms()

    def _has_room(self, tokens):
        memory = self.model.memory_tokens
        has_memory = memory is None or self.used_tokens + tokens <= memory
        return has_memory and self.running_count < self.model.slot_count

    def _begin(self, tokens):
        self.running_count += 1
        self.used_tokens += tokens

    def _queue_limit(self):
        if self.brittle_ms is None:
            return self.model.queue_count
        is_short = now_ms() >= self.brittle_ms + CONTACT_MS
        if is_short:
            return self.model.brittle_queue_count
        return self.model.queue_count

    def _is_fragile(self):
        """Returns whether VMs have had time to learn that it is brittle."""
        if self.brittle_ms is None:
            return False
        return now_ms() >= self.brittle_ms + _FRAGILE_MS

    async def _wait(self, tokens):
        turn = _Turn(tokens=tokens)
        self.waiting.append(turn)
        ended = self.ended
        try:
            await turn.begins.wait()
        except BaseException:
            if turn in self.waiting:
                self.waiting.remove(turn)
                self._begin_waiting()
            elif ended is self.ended:
                self._end(tokens)
            raise
        if ended is not self.ended:
            raise failure(FailureKind.BROKEN)

    async def _work(self, tokens):
        ended = self.ended
        end_ms = now_ms() + WORK_MS
        try:
            with anyio.move_on_after(WORK_MS / 1000):
                await ended.wait()
        except BaseException:
            if self.fleet.random.random() < self.model.runs_on_share:
                self.fleet.tasks.start_soon(
                    self._run_on,
                    tokens,
                    end_ms - now_ms(),
                    ended,
                )
            elif ended is self.ended:
                self._end(tokens)
            raise
        if ended is not self.ended:
            raise failure(FailureKind.BROKEN)
        headers = self._headers()
        self._end(tokens)
        return ScriptedAnswer(
            status=200,
            parts=[b'the ', b'body'],
            headers=headers,
        )

    async def _run_on(self, tokens, left_ms, ended):
        """Ends a request whose connection has closed when its work is done."""
        await anyio.sleep(left_ms / 1000)
        if ended is self.ended:
            self._end(tokens)

    def _end(self, tokens):
        self.running_count -= 1
        self.used_tokens -= tokens
        self._begin_waiting()

    def _begin_waiting(self):
        while self.waiting and self._has_room(self.waiting[0].tokens):
            turn = self.waiting.popleft()
            self._begin(turn.tokens)
            turn.begins.set()

    def _reject(self):
        now = now_ms()
        self.rejected_ms.append(now)
        while self.rejected_ms[0] <= now - 1000:
            self.rejected_ms.popleft()
        self.most_rejected = max(self.most_rejected, len(self.rejected_ms))
        if self._is_fragile() and len(self.rejected_ms) > self.model.tolerated:
            self._fall()
            raise failure(FailureKind.BROKEN)
        return ScriptedAnswer(
            status=503,
            parts=[b'full'],
            headers=(NOT_RUN, *self._headers()),
        )

    def _headers(self):
        headers = []
        if self.brittle_ms is not None:
            headers.append(brittle_header(self.model.tolerated))
        if self.model.tells_load:
            headers.append(
                load_header(
                    self.running_count,
                    len(self.waiting),
                    self.model.slot_count,
                )
            )
        return tuple(headers)

    def _fall(self):
        self.falls_ms.append(now_ms())
        self.is_down = True
        self.end_work()
        self.fleet.tasks.start_soon(self._return)

    def end_work(self):
        """Ends all requests at the runner."""
        ended, self.ended = self.ended, anyio.Event()
        ended.set()
        waiting, self.waiting = self.waiting, deque()
        for turn in waiting:
            turn.begins.set()
        self.running_count = 0
        self.used_tokens = 0
        self.rejected_ms.clear()

    async def _return(self):
        await anyio.sleep(_DOWN_S)
        self.is_down = False
        self.fleet.restart(self)


class BrittleFleet(LinkedFleet):
    """VMs before runners that become brittle."""

    def __init__(self, *, vm_count, runner_count, kind, model=None):
        super().__init__(vm_count=vm_count, kind=kind)
        self.model = model or RunnerModel()
        if self.model.names_tokens:
            self.configuration = self._with_memory(self.configuration)
        self._sizes = random.Random(5)
        self._tokens = {}  # that requests need, by their ids
        self.runners = {
            f'i-{number}': BrittleRunner(number=number, fleet=self)
            for number in range(runner_count)
        }
        self.brittle_ms = None
        self.restarted_ms = None  # when VMs have started again

    @property
    def room_per_s(self):
        """Returns the requests that all runners together run in a second."""
        return len(self.runners) * self.model.room_count * 1000 / WORK_MS

    def tokens_of(self, request_id):
        """Returns what a request needs of the memory of a runner."""
        tokens = self._tokens.get(request_id)
        if tokens is None:
            tokens = self._sizes.randint(
                self.model.least_tokens,
                self.model.most_tokens,
            )
            self._tokens[request_id] = tokens
        return tokens

    def headers_of(self, request_id):
        """Returns the headers of a request beside those of each."""
        if not self.model.names_tokens:
            return ()
        return (usage_header(self.tokens_of(request_id), 0),)

    def _with_memory(self, configuration):
        """Returns a configuration whose requests name tokens, unbilled."""
        memory_tokens = (
            self.model.named_memory_tokens or self.model.memory_tokens
        )
        services = {
            name: attrs.evolve(
                service,
                engine=attrs.evolve(
                    service.engine,
                    memory_tokens=(
                        memory_tokens or service.engine.memory_tokens
                    ),
                ),
            )
            for name, service in configuration.services.items()
        }
        accounts = tuple(
            attrs.evolve(account, prepaid_tokens=None)
            for account in configuration.accounts
        )
        return attrs.evolve(
            configuration,
            services=services,
            accounts=accounts,
        )

    def start_brittleness(self):
        """Makes all runners brittle."""
        self.brittle_ms = now_ms()
        for runner in self.runners.values():
            runner.start_brittleness()

    def bring_about(self, event):
        """Brings about an event of a scenario."""
        if event == 'the VMs that hold their room leave':
            self._remove_holders()
        elif event.endswith('other VMs no more'):
            count = int(event.split()[0])
            self.cut_numbers = frozenset(range(count))
        elif event == '3 VMs start again':
            self.restarted_ms = now_ms()
            for vm in self.vms[:3]:
                vm.end()
                self.vms.remove(vm)
                self.tasks.start_soon(self.start_vm, vm.number)
        elif event in {'start again', 'one starts again'}:
            count = 1 if event.startswith('one') else len(self.runners)
            for runner in tuple(self.runners.values())[:count]:
                runner.end_work()
                self.restart(runner)
        else:
            for runner in self.runners.values():
                runner.brittle_ms = None

    def _remove_holders(self):
        """Ends the VMs that hold the room of a third of the runners."""
        holders = self.vms[0].parts.rooms._holders
        entries = [runner.entry for runner in self.runners.values()]
        names = {
            holders.holder_of(entry.incarnation_name)
            for entry in entries[: len(entries) // 3]
        }
        for vm in self.vms:
            if f'vm-{vm.number}' in names:
                vm.end()
        self.vms = [vm for vm in self.vms if not vm.has_ended]
        self.members.remove(names)

    def fall_count(self):
        """Returns how often runners have ended under rejected requests."""
        return sum(len(runner.falls_ms) for runner in self.runners.values())
