"""Assignment of shared prompt parts to the VMs of the fleet."""

from teaseldale.members import FleetCells, HashRing
from teaseldale.routing import BasePartOwners


class RingPartOwners(BasePartOwners):
    """Spreads the entries of parts over all VMs."""

    def __init__(self, *, ring: HashRing, cells: FleetCells) -> None:
        """Uses the member list, so all VMs select the same owner."""
        self._ring = ring
        self._cells = cells

    @property
    def is_needed(self) -> bool:
        """Returns whether the fleet has VMs outside this VM's cell."""
        return len(self._cells.peers) + 1 < len(self._ring.entries())

    def owner_of(self, part_id: str) -> str:
        """Returns the VM that owns the entry of a part; empty if none."""
        return self._ring.owner_of(part_id)

    def address_of(self, vm_name: str) -> str | None:
        """Returns the address for datagrams to a VM, or None."""
        entry = self._ring.entries().get(vm_name)
        return None if entry is None else entry.address
