"""Steps of the paces that VMs of a cell share."""

import math
import random
import statistics

import msgspec
from behave import given, then, when

from teaseldale.metrics import Metrics
from teaseldale.routing import (
    BacklogChoice,
    BaseLeavingRunners,
    PlacementDelta,
    PlacementExchange,
    RunnerPaces,
    decode_observations,
    encode_observations,
)
from teaseldale.routing.tests.shared_paces_fleet import (
    ManualClock,
    SharedPacesFleet,
    scale_durations,
)

_KINDS = (
    'shared',
    'alone',
    'one false',
    'true speeds',
    'complete',
    'least in flight',
)
_SEEDS = 2
_WARM_UP_MS = 5000
_TOKENS = 3000
_SAMPLE_INTERVAL_MS = 300
_INCARNATION = 1_700_000_000_000


class _EarlierDelta(msgspec.Struct, array_like=True, kw_only=True):
    """Delta as builds before shared paces read and write it."""

    vm_name: str
    number: int
    counts: tuple[tuple[int, int, int], ...]
    new_parts: tuple[tuple[int, str], ...]
    leaving: tuple[str, ...]


class _NoLeaving(BaseLeavingRunners):
    def leaving(self):
        return ()

    def note_leaving(self, names):
        """Ignores the names."""


class _SharingVm:
    def __init__(self, name, clock):
        self.metrics = Metrics()
        self.choice = BacklogChoice(
            clock=clock,
            random_source=random.Random(1),
            paces=RunnerPaces(
                clock=clock,
                needs_reports=True,
                metrics=self.metrics,
            ),
        )
        for number in range(3):
            self.choice.backlog(f'i-{number}', 32)
        self.exchange = PlacementExchange(
            vm_name=name,
            choice=self.choice,
            leaving_runners=_NoLeaving(),
            clock=clock,
        )

    def receive(self, content):
        self.exchange.handlers[content[:1]](content[1:])


class _SharingCell:
    def __init__(self, vm_count, *, has_reports):
        self.clock = ManualClock(now_ms=10_000)
        self.has_reports = has_reports
        self.vms = [
            _SharingVm(f'vm-{number}', self.clock) for number in range(vm_count)
        ]
        self.sent = []  # contents of deltas

    def read(self, senders, runner, pace, seconds, false_factor=1):
        """Adds samples of some VMs and exchanges their datagrams."""
        for _ in range(int(seconds * 1000) // _SAMPLE_INTERVAL_MS):
            self.clock.now_ms += _SAMPLE_INTERVAL_MS
            for number in senders:
                paces = self.vms[number].choice.paces
                if not paces.note_incarnation(runner, _INCARNATION):
                    continue
                if self.has_reports:
                    paces.note_slowdown(runner, 1)
                paces.note_first_event(runner, _TOKENS, _TOKENS / pace, 2)
            self.exchange(senders, false_factor)

    def exchange(self, senders, false_factor=1):
        """Delivers the datagrams that are due to all other VMs."""
        names = [f'vm-{number}' for number in range(len(self.vms))]
        for number in senders:
            peers = [name for name in names if name != f'vm-{number}']
            for datagram in self.vms[number].exchange.next_datagrams(peers):
                content = datagram.content
                if content[:1] != b'P':
                    continue
                content = _scaled(content, 1 / false_factor)
                self.sent.append(content)
                for vm in self.vms:
                    vm.receive(content)

    def pace(self, runner='i-0'):
        """Returns the prompt tokens per ms that VM 0 expects, or None."""
        found_ms = self.vms[0].choice.paces.first_event_ms(runner, 0, 1000, 1)
        return None if found_ms is None else 1000 / found_ms


def _scaled(content, factor):
    delta = msgspec.msgpack.decode(content[1:], type=PlacementDelta)
    if factor == 1:
        return content
    paces = scale_durations(delta.paces, factor)
    delta = msgspec.structs.replace(delta, paces=paces)
    return content[:1] + msgspec.msgpack.encode(delta)


def _percentile_ms(durations_ms):
    return statistics.quantiles(durations_ms, n=20)[-1]


@when(
    '{prompts:d} prompts and {plain:d} plain requests per second are placed '
    'for {seconds:d} s by each rule'
)
def compare(context, prompts, plain, seconds):
    context.fleets = {}
    context.p95_ms = {}
    for kind in _KINDS:
        fleets = [SharedPacesFleet(kind, seed) for seed in range(_SEEDS)]
        for fleet in fleets:
            fleet.run(seconds * 1000, prompts, plain)
        placed = [
            placement
            for fleet in fleets
            for placement in fleet.placed
            if placement.now_ms >= _WARM_UP_MS
        ]
        context.fleets[kind] = fleets
        context.p95_ms[kind] = tuple(
            _percentile_ms(
                [
                    placement.first_event_ms
                    for placement in placed
                    if bool(placement.tokens) is has_prompt
                ],
            )
            for has_prompt in (True, False)
        )
    print(context.scenario.name, context.p95_ms)


@then(
    'the 95th percentiles with shared paces are at most {factor:g} times '
    'those with true speeds'
)
def near_true_speeds(context, factor):
    for found_ms, true_ms in zip(
        context.p95_ms['shared'],
        context.p95_ms['true speeds'],
        strict=True,
    ):
        assert found_ms <= factor * true_ms, context.p95_ms


@then(
    'those with one VM that sends values 10 times too fast differ by at most '
    '{share:g}'
)
def hardly_changed(context, share):
    for false_ms, found_ms in zip(
        context.p95_ms['one false'],
        context.p95_ms['shared'],
        strict=True,
    ):
        assert abs(false_ms / found_ms - 1) <= share, context.p95_ms


@then('no runner is starved in the cell')
def none_starved(context):
    for fleet in context.fleets['shared']:
        counts = {
            name: runner.request_count for name, runner in fleet.runners.items()
        }
        prompts = [counts[name] for name in fleet.prompt_names]
        assert min(prompts) >= sum(prompts) / 50, counts
        assert min(counts.values()) >= 1, counts


@then('each VM sends at most {limit} bytes of placements in any second')
def within_budget(context, limit):
    limit_bytes = int(limit.replace(',', ''))
    for fleet in context.fleets['shared']:
        for vm in fleet.vms.values():
            for start_ms, _ in vm.sent:
                second_bytes = sum(
                    size
                    for sent_ms, size in vm.sent
                    if start_ms <= sent_ms < start_ms + 1000
                )
                assert second_bytes <= limit_bytes, (start_ms, second_bytes)


@when('runner "{runner}" takes {factor:g} times as long from {begin:d} s on')
def change_runner(context, runner, factor, begin):
    context.changed_runner = runner
    context.fleets = {}
    for kind in ('shared', 'alone', 'true speeds'):
        context.fleets[kind] = []
        for seed in range(_SEEDS):
            fleet = SharedPacesFleet(kind, seed)
            fleet.change(runner, begin * 1000, factor)
            fleet.run(27_000)
            context.fleets[kind].append(fleet)


@then(
    'from {begin:d} s to {end:d} s its share of the prompts is within '
    '{share:g} of that with true speeds'
)
def share_matches(context, begin, end, share):
    found = {}
    for kind, fleets in context.fleets.items():
        runners = [
            placement.runner
            for fleet in fleets
            for placement in fleet.placed
            if placement.tokens and begin <= placement.now_ms / 1000 < end
        ]
        found[kind] = runners.count(context.changed_runner) / len(runners)
    print(context.scenario.name, found)
    assert abs(found['shared'] / found['true speeds'] - 1) <= share, found


@given('{count:d} VMs that share paces')
def sharing_vms(context, count):
    context.cell = _SharingCell(count, has_reports=True)


@given('{count:d} VMs that share paces, of runners without reports')
def sharing_vms_without_reports(context, count):
    context.cell = _SharingCell(count, has_reports=False)


@when(
    'VM 1 and VM 2 read prompts at {pace:g} tokens/ms at runner "{runner}" '
    'for {seconds:d} s'
)
def two_read(context, pace, runner, seconds):
    context.cell.read((1, 2), runner, pace, seconds)


@when(
    'all VMs but VM 1 read prompts at {pace:g} tokens/ms at runner "{runner}" '
    'for {seconds:d} s'
)
def others_read(context, pace, runner, seconds):
    senders = [number for number in range(len(context.cell.vms)) if number != 1]
    context.cell.read(senders, runner, pace, seconds)


@when('VM 0 reads prompts at {pace:g} tokens/ms at other runners for 3 s')
def reads_elsewhere(context, pace):
    for runner in ('i-1', 'i-2'):
        context.cell.read((0,), runner, pace, 3)


@when(
    'VM 1 sends for {seconds:d} s that it is {factor:g} times as fast, and no '
    'other VM does'
)
def one_differs(context, seconds, factor):
    context.cell.read((1,), 'i-0', 40, seconds, false_factor=factor)


def share_slowdown(cell, senders, runner, slowdown):
    """Adds reports of some VMs for 3 s and exchanges their datagrams."""
    for _ in range(10):
        cell.clock.now_ms += _SAMPLE_INTERVAL_MS
        for number in senders:
            cell.vms[number].choice.paces.note_slowdown(runner, slowdown)
        cell.exchange(senders)


@when('VM 1 and VM 2 read a slowdown of {slowdown:g} of runner "{runner}"')
def two_read_slowdown(context, slowdown, runner):
    share_slowdown(context.cell, (1, 2), runner, slowdown)


@when('VM 1 alone reads a slowdown of {slowdown:g} of runner "{runner}"')
def one_reads_slowdown(context, slowdown, runner):
    paces = context.cell.vms[1].choice.paces
    assert paces.note_incarnation(runner, _INCARNATION)
    share_slowdown(context.cell, (1,), runner, slowdown)


@when('{seconds:d} s pass in the cell')
def time_passes(context, seconds):
    context.cell.clock.now_ms += seconds * 1000


@when('VM 0 learns of a new incarnation of "{runner}"')
def new_incarnation(context, runner):
    paces = context.cell.vms[0].choice.paces
    assert paces.note_incarnation(runner, _INCARNATION + 5000)


@then(
    'VM 0 expects prompts of "{runner}" to be read at {pace:g} tokens/ms '
    'within {share:g}'
)
def expects_pace(context, runner, pace, share):
    found = context.cell.pace(runner)
    assert found is not None
    assert abs(found / pace - 1) <= share, (found, pace)


@then(
    'VM 0 expects prompts of "{runner}" to be read at {pace:g} tokens/ms '
    'within a factor of {factor:g}'
)
def expects_about(context, runner, pace, factor):
    found = context.cell.pace(runner)
    assert found is not None
    # Encoded values have a relative error of up to 0.025.
    assert abs(math.log(found / pace)) <= math.log(factor * 1.025), found


@then('the relative duration of "{runner}" at VM 0 is at least {least:g}')
def relative_at_least(context, runner, least):
    durations = context.cell.vms[0].choice.paces.relative_durations(
        ('i-0', 'i-1', 'i-2'),
        has_prompt=True,
    )
    assert durations[runner] >= least, durations


@then('VM 0 has nothing to send')
def nothing_to_send(context):
    assert not context.cell.vms[0].choice.paces.take_observations(1000)


@then('VM 0 knows nothing of "{runner}"')
def knows_nothing(context, runner):
    assert context.cell.pace(runner) is None


@then('VM 0 has counted paces as "{first}" and "{second}"')
def has_counted(context, first, second):
    metrics = context.cell.vms[0].metrics
    for reason in (first, second):
        assert metrics.counter_value('shared_paces', reason), reason


@then(
    'VM 0 expects the same if it receives all datagrams again, the last one '
    'first'
)
def same_again(context):
    cell = context.cell
    before = cell.pace()
    assert before is not None
    for content in reversed(cell.sent):
        cell.vms[0].receive(content)
    assert cell.pace() == before, (cell.pace(), before)


@then('an earlier build reads the other fields of their deltas')
def earlier_build_reads(context):
    contents = [content[1:] for content in context.cell.sent]
    deltas = [
        msgspec.msgpack.decode(content, type=PlacementDelta)
        for content in contents
    ]
    assert any(delta.paces for delta in deltas)
    for content, delta in zip(contents, deltas, strict=True):
        earlier = msgspec.msgpack.decode(content, type=_EarlierDelta)
        assert earlier.vm_name == delta.vm_name
        assert earlier.number == delta.number
        assert earlier.counts == delta.counts


@then('VM 0 reads a delta of an earlier build, and one whose paces are cut off')
def reads_earlier(context):
    cell = context.cell
    before = cell.pace()
    earlier = _EarlierDelta(
        vm_name='vm-1',
        number=1000,
        counts=(),
        new_parts=(),
        leaving=(),
    )
    cell.vms[0].receive(b'P' + msgspec.msgpack.encode(earlier))
    delta = next(
        delta
        for delta in (
            msgspec.msgpack.decode(content[1:], type=PlacementDelta)
            for content in cell.sent
        )
        if delta.paces
    )
    for number, size in enumerate(range(len(delta.paces))):
        cut = msgspec.structs.replace(
            delta,
            number=2000 + number,
            paces=delta.paces[:size],
        )
        assert not decode_observations(cut.paces)
        cell.vms[0].receive(b'P' + msgspec.msgpack.encode(cut))
    assert cell.pace() == before
    whole = decode_observations(delta.paces)
    assert encode_observations(whole) == delta.paces


@then('no datagram has paces')
def no_paces(context):
    contents = context.cell.sent
    assert contents
    for content in contents:
        delta = msgspec.msgpack.decode(content[1:], type=PlacementDelta)
        assert not delta.paces
