"""Cells: VMs that share a subset of runners and exchange their placements.

The traffic between VMs is bounded by the size of a cell, not of the fleet.
"""

import math
from collections.abc import Iterable, Mapping

from teaseldale.members._members import BaseFleetMembers, VmEntry
from teaseldale.members._ranking import ranked

# Maximum VMs per cell. Each sends every placement change to all others in it.
_CELL_VMS = 12
# Minimum runners of a service per cell. With fewer the choice would be too
# limited, so all cells then use all runners of the service.
_LEAST_RUNNERS = 4
_VM_ORDER = 'vm cells'
_RUNNER_ORDER = 'runner cells'


class FleetCells:
    """Assigns VMs and runners to cells from the current member list."""

    def __init__(self, *, members: BaseFleetMembers, vm_name: str) -> None:
        """Computes the cell of the VM named ``vm_name``."""
        self._members = members
        self._vm_name = vm_name
        self._revision = 0
        self._index = 0
        self._count = 1
        self._peers: dict[str, VmEntry] = {}
        self._runners: dict[frozenset[str], frozenset[str]] = {}

    @property
    def peers(self) -> Mapping[str, VmEntry]:
        """Returns the other VMs of this VM's cell by name."""
        self._divide_if_changed()
        return self._peers

    def runners(self, names: Iterable[str]) -> frozenset[str]:
        """Returns the subset of a service's runners that the cell uses."""
        self._divide_if_changed()
        known = frozenset(names)
        if len(known) < self._count * _LEAST_RUNNERS or self._count == 1:
            return known
        own = self._runners.get(known)
        if own is None:
            own = frozenset(
                _slice(ranked(_RUNNER_ORDER, known), self._index, self._count),
            )
            # Drops cached subsets of earlier runner lists of the service.
            self._runners = {
                kept: cell
                for kept, cell in self._runners.items()
                if not kept & known
            }
            self._runners[known] = own
        return own

    def _divide_if_changed(self) -> None:
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        self._runners = {}
        entries = self._members.entries()
        self._count = max(1, math.ceil(len(entries) / _CELL_VMS))
        order = ranked(_VM_ORDER, entries)
        if self._vm_name in entries:
            position = order.index(self._vm_name)
            self._index = position * self._count // len(order)
        cell = _slice(order, self._index, self._count)
        self._peers = {
            name: entries[name] for name in cell if name != self._vm_name
        }


def _slice(order: list[str], index: int, count: int) -> list[str]:
    """Returns part ``index`` of ``count``; sizes differ by at most one."""
    return [
        name
        for position, name in enumerate(order)
        if position * count // len(order) == index
    ]
