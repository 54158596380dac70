"""Interface of a list of the VMs of a fleet."""

import abc
from collections.abc import Callable, Mapping

import attrs


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM as it has registered itself."""

    address: str  # where datagrams of other VMs are taken
    incarnation: str  # new at each start
    # Earlier incarnations, the newest first; none of them runs any more.
    ended: tuple[str, ...] = ()


class BaseFleetMembers(abc.ABC):
    """VMs of the fleet, this one included once it has registered."""

    @property
    @abc.abstractmethod
    def revision(self) -> int:
        """Grows with each change; 0 while the list is not known."""

    @property
    @abc.abstractmethod
    def is_settled(self) -> bool:
        """Whether the list has stayed the same for some time."""

    @abc.abstractmethod
    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the VMs by name."""

    @abc.abstractmethod
    def call_on_change(self, notice: Callable[[], None]) -> None:
        """Calls ``notice`` after each later change."""


class FixedMembers(BaseFleetMembers):
    """A list that does not change, for embedding and for tests."""

    def __init__(self, *, entries: Mapping[str, VmEntry]) -> None:
        """Holds ``entries`` for good."""
        self._entries = dict(entries)

    @property
    def revision(self) -> int:
        """Always the first revision."""
        return 1

    @property
    def is_settled(self) -> bool:
        """Always settled."""
        return True

    def entries(self) -> Mapping[str, VmEntry]:
        """Returns the VMs by name."""
        return self._entries

    def call_on_change(self, notice: Callable[[], None]) -> None:
        """Never calls, since nothing changes."""
