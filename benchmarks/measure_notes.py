"""Release notes: propagation time, traffic, table reads and cold start."""

import functools
import time
import tracemalloc

import anyio
import msgspec

from benchmarks.rows import BenchmarkRow, Slope, SlopePoint
from teaseldale.fakes import run_in_virtual_time
from teaseldale.notes import (
    Budget,
    ClientAccount,
    ItemKind,
    ItemLists,
    NoteState,
    ReleaseNote,
    Upstream,
)
from teaseldale.notes._records import ItemRecord
from teaseldale.notes._state import ConfigurationState, Snapshot
from teaseldale.notes.tests.notes_world import World

_IN_FORCE_MS = 3000
_CONTROL_BYTES_PER_SECOND = 8000
_CONTROL_MEMORY_MB = 256
_TABLE_READS_PER_SECOND = 2000
_TARGET_VMS = 2700
_TARGET_NOTES_A_DAY = 8200
_TARGET_BUDGETS = 11_000
_TARGET_ACCOUNTS = 7200
_TARGET_RUNNERS = 10_000
_SECONDS_A_DAY = 86_400
_NAIVE_READS_PER_VM_SECOND = 2  # meets the bound of 3 s if every VM polls
_COLD_START_SECONDS = 3
_WARM_UP_MS = 4000
_HASH = 'a' * 64


class Propagation:
    """Measurements of one run of the propagation workload."""

    def __init__(self):
        self.in_force_ms = 0
        self.accepted_ms = 0
        self.bytes_per_vm_second = 0.0
        self.messages_per_vm_second = 0.0
        self.reads_per_second = 0.0


def rows(quick: bool) -> list[BenchmarkRow]:
    """Measures the propagation of notes and a cold start.

    8 VMs are today's fleet; 64 VMs are the largest that fits.
    """
    rows = []
    for vm_count in (8, 64):
        propagation = _measure_propagation(vm_count, notes=5)
        rows.extend(_propagation_rows(vm_count, propagation))
    seconds, megabytes = _cold_start(_TARGET_BUDGETS)
    rows.append(
        _row('notes.cold_start_memory', 'MB', megabytes, _CONTROL_MEMORY_MB)
    )
    rows.append(
        _row(
            'notes.cold_start_decode',
            's',
            seconds,
            _COLD_START_SECONDS,
            deterministic=False,
        ),
    )
    return rows


def slopes(quick: bool) -> list[Slope]:
    """Returns traffic by VMs and notes, reads by VMs, cold start by budgets."""
    by_vms = {
        count: _measure_propagation(count, notes=3) for count in (8, 16, 32, 64)
    }
    by_notes = {
        count: _measure_propagation(8, notes=count) for count in (0, 2, 8, 24)
    }
    by_size = {count: _cold_start(count) for count in (10, 1000, 11_000)}
    return [
        _slope(
            'bytes_per_vm',
            'VM',
            'VMs',
            _TARGET_VMS,
            'B/s',
            {
                size: propagation.bytes_per_vm_second
                for size, propagation in by_vms.items()
            },
        ),
        _slope(
            'messages_per_vm',
            'VM',
            'VMs',
            _TARGET_VMS,
            'messages/s',
            {
                size: propagation.messages_per_vm_second
                for size, propagation in by_vms.items()
            },
        ),
        _slope(
            'table_reads',
            'all VMs',
            'VMs',
            _TARGET_VMS,
            'reads/s',
            {
                size: propagation.reads_per_second
                for size, propagation in by_vms.items()
            },
        ),
        _slope(
            'bytes_per_vm_by_notes',
            'VM',
            'notes a day',
            _TARGET_NOTES_A_DAY,
            'B/s',
            {
                _notes_a_day(size): propagation.bytes_per_vm_second
                for size, propagation in by_notes.items()
            },
        ),
        _slope(
            'cold_start',
            'VM',
            'budgets',
            _TARGET_BUDGETS,
            's',
            {size: measured[0] for size, measured in by_size.items()},
        ),
        _slope(
            'memory',
            'VM',
            'budgets',
            _TARGET_BUDGETS,
            'MB',
            {size: measured[1] for size, measured in by_size.items()},
        ),
    ]


_MEASURED_SECONDS = 30


def _notes_a_day(notes: int) -> float:
    return notes * _SECONDS_A_DAY / _MEASURED_SECONDS


def _measure_propagation(vm_count: int, notes: int) -> Propagation:
    return run_in_virtual_time(functools.partial(_run, vm_count, notes))


async def _run(vm_count: int, notes: int) -> Propagation:
    world = World(seed=1, vm_count=vm_count)
    propagation = Propagation()
    async with anyio.create_task_group() as tasks:
        for name, zone in world.names:
            world.start_vm(tasks, name, zone)
        await world.clock.sleep_ms(_WARM_UP_MS)
        messages = world.fabric.message_count
        size = world.fabric.byte_count
        reads = _read_count(world)
        started_ms = world.clock.monotonic_ms()
        for number in range(notes):
            await _apply(world, number, propagation)
        elapsed_ms = world.clock.monotonic_ms() - started_ms
        remaining_ms = _MEASURED_SECONDS * 1000 - elapsed_ms
        await world.clock.sleep_ms(max(0, remaining_ms))
        seconds = (world.clock.monotonic_ms() - started_ms) / 1000
        per_vm = vm_count * seconds
        propagation.messages_per_vm_second = (
            world.fabric.message_count - messages
        ) / per_vm
        propagation.bytes_per_vm_second = (
            world.fabric.byte_count - size
        ) / per_vm
        propagation.reads_per_second = (_read_count(world) - reads) / seconds
        world.stop()
        tasks.cancel_scope.cancel()
    return propagation


async def _apply(world: World, number: int, propagation: Propagation) -> None:
    name = world.names[number % len(world.names)][0]
    started_ms = world.clock.monotonic_ms()
    lists = ItemLists(budgets=(Budget(name=f'b{number}'),))
    note = ReleaseNote(name=f'n{number}', team='red', additions=lists)
    sealed_ms = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.vms[name].notes.apply, note)
        while True:
            await world.clock.sleep_ms(10)
            sequences = [vm.sequence for vm in world.vms.values()]
            if sealed_ms is None and max(sequences) == number + 1:
                sealed_ms = world.clock.monotonic_ms()
            if min(sequences) == number + 1:
                in_force_ms = world.clock.monotonic_ms()
                break
    # The task group has waited for the operator's call to return.
    stored_note = await world.vms[name].notes.book.read_note(note.name)
    assert stored_note is not None
    assert stored_note.record.state is NoteState.ACCEPTED, (
        stored_note.record.state
    )
    propagation.in_force_ms = max(
        propagation.in_force_ms, in_force_ms - sealed_ms
    )
    accepted_ms = world.clock.monotonic_ms() - started_ms
    propagation.accepted_ms = max(propagation.accepted_ms, accepted_ms)


def _read_count(world: World) -> int:
    return sum(vm.table.read_count for vm in world.vms.values())


def _cold_start(budgets: int) -> tuple[float, float]:
    scale = budgets / _TARGET_BUDGETS
    items = [
        *(
            (ItemKind.BUDGET, Budget(name=f'budget-{number}'))
            for number in range(budgets)
        ),
        *(
            (ItemKind.ACCOUNT, _account(number, budgets))
            for number in range(round(_TARGET_ACCOUNTS * scale))
        ),
        *(
            (ItemKind.UPSTREAM, _runner(number))
            for number in range(round(_TARGET_RUNNERS * scale))
        ),
    ]
    records = tuple(
        ItemRecord(
            kind=kind,
            name=item.name,
            content=msgspec.json.encode(item),
            sequence=1,
            note='first',
            team='red',
        )
        for kind, item in items
    )
    encoded = msgspec.msgpack.encode(Snapshot(sequence=1, records=records))
    del records, items
    started = time.perf_counter()
    _restore_state(encoded)
    seconds = time.perf_counter() - started
    tracemalloc.start()
    state = _restore_state(encoded)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.sequence == 1
    return seconds, used_bytes / 1_000_000


def _restore_state(encoded: bytes) -> ConfigurationState:
    state = ConfigurationState()
    state.restore(msgspec.msgpack.decode(encoded, type=Snapshot))
    return state


def _account(number: int, budgets: int) -> ClientAccount:
    return ClientAccount(
        name=f'account-{number}',
        key_hash=f'{number:064x}',
        budgets=(f'budget-{number % budgets}',),
    )


def _runner(number: int) -> Upstream:
    return Upstream(
        name=f'runner-{number}',
        route=f'model-{number % 4}',
        version='v1',
        url=f'http://10.0.{number // 250}.{number % 250}:8000',
        availability_zone=f'zone-{number % 7}',
        slot_count=64,
    )


def _propagation_rows(
    vm_count: int, propagation: Propagation
) -> list[BenchmarkRow]:
    naive_reads = vm_count * _NAIVE_READS_PER_VM_SECOND
    return [
        _row(
            f'notes.in_force_{vm_count}_vms',
            'ms',
            propagation.in_force_ms,
            _IN_FORCE_MS,
        ),
        _row(
            f'notes.accepted_{vm_count}_vms',
            'ms',
            propagation.accepted_ms,
            _IN_FORCE_MS,
        ),
        _row(
            f'notes.bytes_{vm_count}_vms',
            'B/s for each VM',
            propagation.bytes_per_vm_second,
            _CONTROL_BYTES_PER_SECOND,
        ),
        BenchmarkRow(
            name=f'notes.table_reads_{vm_count}_vms',
            unit='reads/s',
            ours=propagation.reads_per_second,
            naive=naive_reads,
            naive_name='every VM reads',
            bound=_TABLE_READS_PER_SECOND,
            deterministic=True,
            seed=1,
        ),
    ]


def _row(
    name: str,
    unit: str,
    ours: float,
    bound: float,
    *,
    deterministic: bool = True,
) -> BenchmarkRow:
    return BenchmarkRow(
        name=name,
        unit=unit,
        ours=ours,
        naive=None,
        bound=bound,
        deterministic=deterministic,
        seed=1,
    )


def _slope(
    name: str,
    role: str,
    size_name: str,
    target: float,
    unit: str,
    measured: dict[float, float],
) -> Slope:
    return Slope(
        name=f'notes.{name}',
        role=role,
        size_name=size_name,
        size_at_target=target,
        unit=unit,
        points=tuple(
            SlopePoint(size=size, measured=value)
            for size, value in measured.items()
        ),
    )
