"""Cells: groups of VMs that keep permanent links to each other.

A fleet of up to ``CELL_LIMIT_VMS`` VMs is a single cell. A larger fleet is
partitioned within each availability zone by the hash of VM names, so that a
replaced VM returns to the cell of its name and other VMs keep their cells.
"""

from collections.abc import Iterable

import attrs
import xxhash

from teaseldale.peers._identity import VmIdentity

CELL_LIMIT_VMS = 16


@attrs.frozen(kw_only=True)
class CellIdentity:
    """Identifies one cell of the fleet."""

    availability_zone: str  # empty if the fleet is a single cell
    index: int
    count: int  # number of cells in the availability zone


class CellMap:
    """Partition of the VMs on the membership list into cells."""

    def __init__(self, *, vms: Iterable[VmIdentity]) -> None:
        """Partitions ``vms``, which must include the calling VM."""
        self._vms = tuple(sorted(vms, key=_by_name))
        self._members: dict[CellIdentity, list[VmIdentity]] = {}
        self._zone_counts = _count_vms_by_zone(self._vms)
        for vm in self._vms:
            self._members.setdefault(self.cell_of(vm), []).append(vm)

    def cells(self) -> tuple[CellIdentity, ...]:
        """Returns all non-empty cells."""
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
        """Returns the VMs of a cell, ordered by name."""
        return tuple(self._members.get(cell, ()))


def _by_name(vm: VmIdentity) -> str:
    return vm.name


def _count_vms_by_zone(vms: tuple[VmIdentity, ...]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for vm in vms:
        counts[vm.availability_zone] = counts.get(vm.availability_zone, 0) + 1
    return counts


def _cell_count(vm_count: int) -> int:
    count = 1
    while vm_count > count * CELL_LIMIT_VMS:
        count *= 2
    return count
