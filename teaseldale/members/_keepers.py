"""Assigns the VMs that hold token grants of an account.

Each account has a fixed small number of keepers, regardless of fleet size. The
other VMs draw tokens from them, so that few VMs write the rows of an account
and a VM with rare requests of the account holds no tokens that others lack.
"""

from teaseldale.members._members import BaseFleetMembers, VmEntry
from teaseldale.members._ranking import rank_by_hash

# Maximum writers of one account row. In a fleet of this size no VM has to draw;
# with more writers, most transactions on the row would conflict.
KEEPER_COUNT = 8


class AccountKeepers:
    """Selects keepers per account from the current member list."""

    def __init__(self, *, members: BaseFleetMembers, vm_name: str) -> None:
        """Selects keepers from the view of the VM named ``vm_name``."""
        self._members = members
        self._vm_name = vm_name
        self._revision = 0
        self._names: dict[str, tuple[str, ...]] = {}

    @property
    def members(self) -> BaseFleetMembers:
        """Returns the member list that keepers are selected from."""
        return self._members

    @property
    def is_settled(self) -> bool:
        """Returns whether the member list, and so the keepers, is stable."""
        return self._members.is_settled

    def has_ended(self, vm_name: str, incarnation: str) -> bool:
        """Returns whether a later incarnation of the VM has registered."""
        entry = self._members.entries().get(vm_name)
        return entry is not None and incarnation in entry.ended

    def keepers_of(self, account: str) -> dict[str, VmEntry]:
        """Returns the keepers in the order in which this VM contacts them.

        The order differs between VMs, which spreads the first requests evenly
        over the keepers.
        """
        entries = self._members.entries()
        return {name: entries[name] for name in self._names_of(account)}

    def is_keeper_of(self, account: str) -> bool:
        """Returns whether this VM is a keeper of an account."""
        return self._vm_name in self._names_of(account)

    def count(self, account: str) -> int:
        """Returns the number of keepers of an account."""
        return len(self._names_of(account))

    def _names_of(self, account: str) -> tuple[str, ...]:
        if self._revision != self._members.revision:
            self._revision = self._members.revision
            self._names = {}
        names = self._names.get(account)
        if names is None:
            selected = rank_by_hash(account, self._members.entries())[
                :KEEPER_COUNT
            ]
            names = tuple(rank_by_hash(f'{self._vm_name}\0{account}', selected))
            self._names[account] = names
        return names
