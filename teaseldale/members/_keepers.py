"""Which VMs keep the tokens of an account.

Each account is kept by a few VMs, however large the fleet is. The others draw
on them, so that the rows of an account are written by few and a VM that gets
a request of the account now and then holds no tokens that others lack.
"""

from teaseldale.members._members import BaseFleetMembers, VmEntry
from teaseldale.members._ranking import ranked

# Writers of one account's row. A fleet of this size has no need to draw; with
# more writers, transactions on the row conflict more than they succeed.
KEEPER_COUNT = 8


class AccountKeepers:
    """Keepers of each account, by the newest list of VMs."""

    def __init__(self, *, members: BaseFleetMembers, vm_name: str) -> None:
        """``vm_name`` is this VM's."""
        self._members = members
        self._vm_name = vm_name
        self._revision = 0
        self._names: dict[str, tuple[str, ...]] = {}

    @property
    def members(self) -> BaseFleetMembers:
        """The list that the keepers are chosen from."""
        return self._members

    @property
    def is_settled(self) -> bool:
        """Whether the keepers will hardly change at once."""
        return self._members.is_settled

    def has_ended(self, vm_name: str, incarnation: str) -> bool:
        """Whether a later start of the VM has registered."""
        entry = self._members.entries().get(vm_name)
        return entry is not None and incarnation in entry.ended

    def of(self, account: str) -> dict[str, VmEntry]:
        """Returns the keepers in the order in which this VM asks them.

        VMs ask in different orders, so that each keeper is asked first by
        its part of the fleet.
        """
        entries = self._members.entries()
        return {name: entries[name] for name in self._names_of(account)}

    def keeps(self, account: str) -> bool:
        """Whether this VM is a keeper of an account."""
        return self._vm_name in self._names_of(account)

    def count(self, account: str) -> int:
        """Returns how many VMs keep an account."""
        return len(self._names_of(account))

    def _names_of(self, account: str) -> tuple[str, ...]:
        if self._revision != self._members.revision:
            self._revision = self._members.revision
            self._names = {}
        names = self._names.get(account)
        if names is None:
            first = ranked(account, self._members.entries())[:KEEPER_COUNT]
            names = tuple(ranked(f'{self._vm_name}\0{account}', first))
            self._names[account] = names
        return names
