"""Cells: groups of VMs that keep full contact with each other.

A fleet of up to ``CELL_LIMIT_VMS`` is one cell. A larger one is divided within
each availability zone by the hash of VM names, so that a replaced VM comes
back to the cell of its name and other VMs stay where they are.
"""

from collections.abc import Iterable

import attrs
import xxhash

from teaseldale.peers._identity import VmIdentity

CELL_LIMIT_VMS = 16


@attrs.frozen(kw_only=True)
class CellIdentity:
    """Names one cell."""

    availability_zone: str  # empty when the fleet is one cell
    index: int
    count: int  # cells of the availability zone


class CellMap:
    """Division of the VMs on one membership list into cells."""

    def __init__(self, *, vms: Iterable[VmIdentity]) -> None:
        """Divides ``vms``, which include the VM that asks."""
        self._vms = tuple(sorted(vms, key=_by_name))
        self._members: dict[CellIdentity, list[VmIdentity]] = {}
        self._zone_counts = _count_zones(self._vms)
        for vm in self._vms:
            self._members.setdefault(self.cell_of(vm), []).append(vm)

    def cells(self) -> tuple[CellIdentity, ...]:
        """Returns all cells that have members."""
        return tuple(self._members)

    def cell_of(self, vm: VmIdentity) -> CellIdentity:
        """Returns the cell of a VM."""
        if len(self._vms) <= CELL_LIMIT_VMS:
            return CellIdentity(availability_zone='', index=0, count=1)
        zone = vm.availability_zone
        count = _cell_count(self._zone_counts.get(zone, 0))
        return CellIdentity(
            availability_zone=zone,
            index=xxhash.xxh3_64_intdigest(vm.name.encode()) % count,
            count=count,
        )

    def members(self, cell: CellIdentity) -> tuple[VmIdentity, ...]:
        """Returns the VMs of a cell in order of their names."""
        return tuple(self._members.get(cell, ()))


def _by_name(vm: VmIdentity) -> str:
    return vm.name


def _count_zones(vms: tuple[VmIdentity, ...]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for vm in vms:
        counts[vm.availability_zone] = counts.get(vm.availability_zone, 0) + 1
    return counts


def _cell_count(vm_count: int) -> int:
    count = 1
    while vm_count > count * CELL_LIMIT_VMS:
        count *= 2
    return count
