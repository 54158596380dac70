"""Cost of reading the membership list at growing fleet sizes."""

import time

import msgspec

from benchmarks.rows import Slope, SlopePoint
from teaseldale.peers import CellMap, VmIdentity
from teaseldale.peers._directory import refresh_interval_ms
from teaseldale.tables import MemberState, VmMember

_SIZES = (8, 100, 500, 1000, 2700)
_TARGET_VMS = 2700
_REPEATS = 5


def membership_slopes() -> list[Slope]:
    """Returns the traffic and CPU time of one VM that reads the list."""
    return [
        Slope(
            name='peers.membership_bytes',
            role='entry VM',
            size_name='VMs',
            size_at_target=_TARGET_VMS,
            unit='B/s',
            points=tuple(
                SlopePoint(size=size, measured=_bytes_per_second(size))
                for size in _SIZES
            ),
        ),
        Slope(
            name='peers.membership_cpu',
            role='entry VM',
            size_name='VMs',
            size_at_target=_TARGET_VMS,
            unit='% of a core',
            points=tuple(
                SlopePoint(size=size, measured=_cpu_percent(size))
                for size in _SIZES
            ),
        ),
    ]


def _encoded_members(count: int) -> bytes:
    return msgspec.json.encode(
        [
            VmMember(
                name=f'zone-{index % 7}-vm-{index}',
                incarnation=f'{index * 2654435761:032x}',
                address=f'10.{index % 7}.{index // 250}.{index % 250}:7201',
                availability_zone=f'zone-{index % 7}',
                state=MemberState.LIVE,
            )
            for index in range(count)
        ],
    )


def _bytes_per_second(count: int) -> float:
    return len(_encoded_members(count)) * 1000 / refresh_interval_ms(count)


def _cpu_percent(count: int) -> float:
    body = _encoded_members(count)
    started = time.process_time()
    for _ in range(_REPEATS):
        members = msgspec.json.decode(body, type=tuple[VmMember, ...])
        vms = [
            VmIdentity(
                name=member.name,
                incarnation=member.incarnation,
                availability_zone=member.availability_zone,
                address=member.address,
            )
            for member in members
        ]
        CellMap(vms=vms).cell_of(vms[0])
    used_seconds = (time.process_time() - started) / _REPEATS
    return 100 * used_seconds * 1000 / refresh_interval_ms(count)
