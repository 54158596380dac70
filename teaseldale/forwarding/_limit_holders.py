"""Assignment of limited runners to the VMs of their cells."""

from collections.abc import Collection

import attrs

from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.members import BaseFleetMembers, FleetCells, rendezvous
from teaseldale.routing import BaseLimitHolders

# Assignments kept, those of ended incarnations included.
_MAX_ASSIGNMENTS = 1000


@attrs.frozen(kw_only=True)
class _Assignment:
    usable: tuple[ForwardingRunner, ...] = ()  # runners of the service
    revision: int = 0  # of the member list
    users: tuple[str, ...] = ()
    holder: str = ''
    deputy: str = ''

    def is_valid(
        self,
        usable: tuple[ForwardingRunner, ...],
        revision: int,
    ) -> bool:
        """Returns whether neither list has changed."""
        return usable is self.usable and revision == self.revision


_NO_ASSIGNMENT = _Assignment()


class CellLimitHolders(BaseLimitHolders):
    """Lets one VM of the cell that uses a runner hold its limit."""

    def __init__(
        self,
        *,
        members: BaseFleetMembers,
        cells: FleetCells,
        directory: RunnerDirectory,
    ) -> None:
        """Uses the member list, so all VMs select the same holder."""
        self._members = members
        self._cells = cells
        self._directory = directory
        self._assignments: dict[str, _Assignment] = {}

    def holder_of(self, runner: str) -> str:
        """Returns the VM that holds the limit of a runner; empty if none."""
        return self._assignment_of(runner).holder

    def deputy_of(self, runner: str) -> str:
        """Returns the VM that states what the holder does; empty if none."""
        return self._assignment_of(runner).deputy

    def users_of(self, runner: str) -> Collection[str]:
        """Returns the VMs of the cell that uses a runner."""
        return self._assignment_of(runner).users

    def _assignment_of(self, runner: str) -> _Assignment:
        """Returns the assignment by the present lists of VMs and runners."""
        known = self._directory.find_incarnation(runner)
        if known is None:
            self._assignments.pop(runner, None)
            return _NO_ASSIGNMENT
        usable = self._directory.usable(known.service)
        revision = self._members.revision
        assignment = self._assignments.get(runner)
        if assignment is None or not assignment.is_valid(usable, revision):
            users = self._cells.vms_of(
                known.runner_id,
                (other.runner_id for other in usable),
            )
            holder = rendezvous(runner, users)
            others = tuple(name for name in users if name != holder)
            assignment = _Assignment(
                usable=usable,
                revision=revision,
                users=users,
                holder=holder,
                deputy=rendezvous(runner, others) if others else '',
            )
            if len(self._assignments) >= _MAX_ASSIGNMENTS:
                self._assignments.clear()
            self._assignments[runner] = assignment
        return assignment

    def service_of(self, runner: str) -> str:
        """Returns the service of a runner; empty if it is not registered."""
        known = self._directory.find_incarnation(runner)
        return '' if known is None else known.service

    def slot_count_of(self, runner: str) -> int:
        """Returns the requests that a runner processes concurrently."""
        known = self._directory.find_incarnation(runner)
        return 1 if known is None else known.slot_count

    def address_of(self, vm_name: str) -> str | None:
        """Returns the address for datagrams to a VM, or None."""
        entry = self._members.entries().get(vm_name)
        return None if entry is None else entry.address
