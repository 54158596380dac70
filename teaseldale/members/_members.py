"""Interface of the member list of a fleet."""

import abc
from collections.abc import Callable, Mapping

import attrs


@attrs.frozen(kw_only=True)
class VmEntry:
    """Registration of one VM."""

    address: str  # receives datagrams of other VMs
    incarnation: str  # new at each start
    # Earlier incarnations, latest first; none of them is running.
    ended: tuple[str, ...] = ()


class BaseFleetMembers(abc.ABC):
    """Members of the fleet, including this VM once it is registered."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """Returns a number that grows per change; 0 before the first read."""

    @property
    @abc.abstractmethod
    def is_settled(self) -> bool:
        """Returns whether the list has been unchanged for some time."""

    @abc.abstractmethod
    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the registered VMs by name."""

    @abc.abstractmethod
    def add_change_listener(self, callback: Callable[[], None]) -> None:
        """Registers ``callback`` to be called after each later change."""


class FixedMembers(BaseFleetMembers):
    """A constant member list, for embedding and for tests."""

    def __init__(self, *, entries: Mapping[str, VmEntry]) -> None:
        """Holds a copy of ``entries``."""
        self._entries = dict(entries)

    @property
    def revision(self) -> int:
        """Returns the constant revision 1."""
        return 1

    @property
    def is_settled(self) -> bool:
        """Returns True, as the list never changes."""
        return True

    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the registered VMs by name."""
        return self._entries

    def add_change_listener(self, callback: Callable[[], None]) -> None:
        """Ignores ``callback``, as the list never changes."""
