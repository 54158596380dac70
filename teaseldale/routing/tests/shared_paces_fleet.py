"""Cell of VMs that place requests on modelled runners, in virtual time."""

import heapq
import itertools
import math
import random

import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.routing import (
    BacklogChoice,
    BaseLeavingRunners,
    PlacementDelta,
    PlacementExchange,
    PlannedWork,
    RunnerPaces,
    decode_observations,
    encode_observations,
)
from teaseldale.routing.tests.modelled_engine import (
    PacedRunner,
    PlainRunner,
    steady_arrivals,
)

_HEADER_BYTES = 28
_EXCHANGE_MS = 20
_VM_COUNT = 12
_PACES = (20, 20, 40, 40, 40, 80, 80)  # prompt tokens per ms
_PLAIN_MS = (60, 30, 30, 15)
_SLOTS = 32
_PLAIN_SLOTS = 6
_PROMPTS_PER_S = 60
_PLAIN_PER_S = 25
_MIN_TOKENS = 300
_FALSE_FACTOR = 0.1  # of durations


@attrs.define(kw_only=True)
class ManualClock(BaseClock):
    """Clock that is moved by the test."""

    now_ms: int = 0

    def monotonic_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms


@attrs.frozen(kw_only=True)
class PlacedRequest:
    """A request, its runner and the time to its first event."""

    now_ms: float
    runner: str
    tokens: int  # 0 for plain requests
    first_event_ms: float


class _NoLeaving(BaseLeavingRunners):
    def leaving(self):
        return ()

    def note_leaving(self, names):
        """Ignores the names."""


class _TruePaces(RunnerPaces):
    """Knows the speeds of the runners instead of learning them."""

    def __init__(self, *, clock, runners):
        super().__init__(clock=clock)
        self._runners = runners

    def relative_durations(self, runners, *, has_prompt):
        durations = {name: self._runners[name].duration for name in runners}
        ordered = sorted(durations.values())
        typical = ordered[len(ordered) // 2]
        return {name: found / typical for name, found in durations.items()}

    def knees(self, runners, *, has_prompt):
        return {name: self._runners[name].knee for name in runners}


class _Vm:
    def __init__(self, name, fleet):
        paces = RunnerPaces(clock=fleet.clock, needs_reports=True)
        if fleet.kind == 'true speeds':
            paces = _TruePaces(clock=fleet.clock, runners=fleet.runners)
        self.name = name
        self.choice = BacklogChoice(
            clock=fleet.clock,
            random_source=random.Random(name),
            paces=paces,
        )
        self.prompt_backlogs = tuple(
            self.choice.backlog(name, _SLOTS) for name in fleet.prompt_names
        )
        self.plain_backlogs = tuple(
            self.choice.backlog(name, _PLAIN_SLOTS)
            for name in fleet.plain_names
        )
        self.exchange = PlacementExchange(
            vm_name=name,
            choice=self.choice,
            leaving_runners=_NoLeaving(),
            clock=fleet.clock,
        )
        self.sent = []  # time and bytes of each datagram


class SharedPacesFleet:
    """A cell whose requests are placed by one of the compared rules.

    Kinds are ``shared``; ``alone``, where no VM receives estimates; ``one
    false``, where one VM sends values that are ten times too fast; ``true
    speeds``, where VMs know the speeds and have the same counts of requests;
    ``complete``, where they also know all requests at once; and ``least in
    flight``.
    """

    def __init__(self, kind, seed, loss_share=0.2):
        self.kind = kind
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.seed = seed
        self.loss_share = loss_share
        self.prompt_names = [f'i-{number}' for number in range(len(_PACES))]
        self.plain_names = [f'p-{number}' for number in range(len(_PLAIN_MS))]
        self.runners = {
            name: PacedRunner(
                tokens_per_ms=pace,
                slots=_SLOTS,
                knee=_SLOTS / 2,
            )
            for name, pace in zip(self.prompt_names, _PACES, strict=True)
        }
        self.runners |= {
            name: PlainRunner(plain_ms=plain_ms, slots=_PLAIN_SLOTS)
            for name, plain_ms in zip(self.plain_names, _PLAIN_MS, strict=True)
        }
        self.vms = {
            f'vm-{number}': _Vm(f'vm-{number}', self)
            for number in range(_VM_COUNT)
        }
        self.pending = []  # heap of callbacks with their times
        self.order = itertools.count()
        self.changes = []  # callbacks with the time, before each request
        self.placed = []

    def run(
        self,
        duration_ms,
        prompts_per_s=_PROMPTS_PER_S,
        plain_per_s=_PLAIN_PER_S,
    ):
        """Places all requests of a duration and exchanges datagrams."""
        arrivals = [
            (now_ms, max(tokens, _MIN_TOKENS))
            for now_ms, tokens in steady_arrivals(
                duration_ms,
                self.seed,
                prompts_per_s,
            )
        ]
        arrivals += [
            (now_ms, 0)
            for now_ms, _ in steady_arrivals(
                duration_ms,
                self.seed + 1000,
                plain_per_s,
            )
        ]
        for now_ms in range(0, duration_ms, _EXCHANGE_MS):
            self.call_at(now_ms, self._exchange)
        for now_ms, tokens in sorted(arrivals):
            self._advance(now_ms)
            for change in self.changes:
                change(now_ms)
            self._place(now_ms, tokens)

    def call_at(self, due_ms, callback):
        """Schedules a callback."""
        heapq.heappush(self.pending, (due_ms, next(self.order), callback))

    def _advance(self, now_ms):
        while self.pending and self.pending[0][0] <= now_ms:
            due_ms, _, callback = heapq.heappop(self.pending)
            self.clock.now_ms = int(due_ms)
            callback()
        self.clock.now_ms = int(now_ms)

    def _place(self, now_ms, tokens):
        vm = self.random.choice(tuple(self.vms.values()))
        work = PlannedWork(prompt_tokens=tokens)
        name = self._select(vm, now_ms, work)
        runner = self.runners[name]
        backlog = vm.choice.find_backlog(name)
        placed = vm.choice.place(work, backlog)
        in_work = backlog.load_count(int(now_ms))
        unread_tokens = backlog.unread_tokens + backlog.remote_unread_tokens
        first_ms = runner.add(now_ms, tokens)
        self.placed.append(
            PlacedRequest(
                now_ms=now_ms,
                runner=name,
                tokens=tokens,
                first_event_ms=first_ms - now_ms,
            ),
        )

        def note_first():
            paces = vm.choice.paces
            paces.note_incarnation(name, 1)
            paces.note_slowdown(name, 1)
            elapsed_ms = max(1, round(first_ms - now_ms))
            if tokens:
                paces.note_first_event(name, unread_tokens, elapsed_ms, in_work)
            else:
                paces.note_plain_answer(name, elapsed_ms, in_work)
            vm.choice.mark_prefilled(placed)

        self.call_at(first_ms, note_first)
        self.call_at(
            runner.ends_ms[-1],
            lambda: vm.choice.mark_completed(placed),
        )

    def _select(self, vm, now_ms, work):
        names = self.prompt_names if work.prompt_tokens else self.plain_names
        if self.kind == 'complete':
            return min(
                names,
                key=lambda name: self.runners[name].first_event_at(
                    now_ms,
                    work.prompt_tokens,
                ),
            )
        if self.kind == 'least in flight':
            return min(
                names,
                key=lambda name: self.runners[name].in_work(now_ms),
            )
        backlogs = vm.plain_backlogs
        if work.prompt_tokens:
            backlogs = vm.prompt_backlogs
        return vm.choice.choose(work, backlogs).runner

    def _exchange(self):
        for name, vm in self.vms.items():
            vm.exchange.remove_expired()
            peers = tuple(other for other in self.vms if other != name)
            for datagram in vm.exchange.next_datagrams(peers):
                content = self._tamper(name, datagram.content)
                for receiver in datagram.vm_names:
                    size = len(datagram.content) + _HEADER_BYTES
                    vm.sent.append((self.clock.now_ms, size))
                    if self.random.random() >= self.loss_share:
                        self._deliver(receiver, content)

    def _deliver(self, receiver, content):
        handlers = self.vms[receiver].exchange.handlers
        handlers[content[:1]](content[1:])

    def _tamper(self, sender, content):
        is_false = self.kind == 'one false' and sender == 'vm-0'
        if content[:1] != b'P' or not (is_false or self.kind == 'alone'):
            return content
        delta = msgspec.msgpack.decode(content[1:], type=PlacementDelta)
        paces = scale_durations(delta.paces, _FALSE_FACTOR) if is_false else b''
        delta = msgspec.structs.replace(delta, paces=paces)
        return content[:1] + msgspec.msgpack.encode(delta)

    def change(self, name, begin_ms, factor):
        """Makes a runner slower by a factor within a second."""
        runner = self.runners[name]
        before = runner.duration

        def apply(now_ms):
            share = min(1, max(0, (now_ms - begin_ms) / 1000))
            runner.duration = before * math.pow(factor, share)

        self.changes.append(apply)


def scale_durations(paces, factor):
    """Returns encoded observations with durations multiplied by a factor."""
    return encode_observations(
        attrs.evolve(
            observation,
            prefill=_scaled(observation.prefill, factor),
            plain=_scaled(observation.plain, factor),
        )
        for observation in decode_observations(paces)
    )


def _scaled(work, factor):
    if work is None:
        return None
    return attrs.evolve(
        work,
        measured=work.measured * factor,
        usual=work.usual * factor,
    )
