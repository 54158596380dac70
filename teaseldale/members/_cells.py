"""Cells: VMs that share a subset of runners and exchange their placements.

The traffic between VMs is bounded by the size of a cell, not of the fleet.
"""

import math
from collections.abc import Iterable, Mapping

from teaseldale.members._members import BaseFleetMembers, VmEntry
from teaseldale.members._ranking import rank_by_hash

# Maximum VMs per cell. Each sends every placement change to all others in it.
_VMS_PER_CELL = 12
# Minimum runners of a service per cell. With fewer the choice would be too
# limited, so all cells then use all runners of the service.
_MIN_RUNNERS_PER_CELL = 4
_VM_HASH_KEY = 'vm cells'
_RUNNER_HASH_KEY = 'runner cells'


class FleetCells:
    """Assigns VMs and runners to cells from the current member list."""

    def __init__(self, *, members: BaseFleetMembers, vm_name: str) -> None:
        """Computes the cell of the VM named ``vm_name``."""
        self._members = members
        self._vm_name = vm_name
        self._revision = 0
        self._index = 0
        self._count = 1
        self._order: tuple[str, ...] = ()  # all VMs, by their hash
        self._peers: dict[str, VmEntry] = {}
        self._runners: dict[frozenset[str], frozenset[str]] = {}

    @property
    def peers(self) -> Mapping[str, VmEntry]:
        """Returns the other VMs of this VM's cell by name."""
        self._refresh_if_changed()
        return self._peers

    def runners(self, names: Iterable[str]) -> frozenset[str]:
        """Returns the subset of a service's runners that the cell uses."""
        self._refresh_if_changed()
        registered = frozenset(names)
        if (
            len(registered) < self._count * _MIN_RUNNERS_PER_CELL
            or self._count == 1
        ):
            return registered
        subset = self._runners.get(registered)
        if subset is None:
            subset = frozenset(
                _partition(
                    rank_by_hash(_RUNNER_HASH_KEY, registered),
                    self._index,
                    self._count,
                ),
            )
            # Drops cached subsets of earlier runner lists of the service.
            self._runners = {
                cached: cell
                for cached, cell in self._runners.items()
                if not cached & registered
            }
            self._runners[registered] = subset
        return subset

    def vms_of(self, runner: str, names: Iterable[str]) -> tuple[str, ...]:
        """Returns the VMs whose cell uses a runner of a service.

        ``names`` are all runners of the service.
        """
        self._refresh_if_changed()
        registered = frozenset(names)
        if (
            runner not in registered
            or len(registered) < self._count * _MIN_RUNNERS_PER_CELL
        ):
            return self._order
        ranked = rank_by_hash(_RUNNER_HASH_KEY, registered)
        index = ranked.index(runner) * self._count // len(ranked)
        return tuple(_partition(list(self._order), index, self._count))

    def _refresh_if_changed(self) -> None:
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        self._runners = {}
        entries = self._members.entries()
        self._count = max(1, math.ceil(len(entries) / _VMS_PER_CELL))
        order = rank_by_hash(_VM_HASH_KEY, entries)
        self._order = tuple(order)
        if self._vm_name in entries:
            position = order.index(self._vm_name)
            self._index = position * self._count // len(order)
        cell = _partition(order, self._index, self._count)
        self._peers = {
            name: entries[name] for name in cell if name != self._vm_name
        }


def _partition(order: list[str], index: int, count: int) -> list[str]:
    """Returns part ``index`` of ``count``; sizes differ by at most one."""
    return [
        name
        for position, name in enumerate(order)
        if position * count // len(order) == index
    ]
