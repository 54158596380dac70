"""Which VM holds the limit and the room of a runner."""

import abc
from collections.abc import Collection


class BaseLimitHolders(abc.ABC):
    """Assigns limited and brittle runners to VMs."""

    @abc.abstractmethod
    def holder_of(self, runner: str) -> str:
        """Returns the VM that holds the limit of a runner; empty if none."""

    @abc.abstractmethod
    def deputy_of(self, runner: str) -> str:
        """Returns the VM that states what the holder does; empty if none.

        It allows no requests.
        """

    @abc.abstractmethod
    def users_of(self, runner: str) -> Collection[str]:
        """Returns the VMs that regularly use a runner."""

    @abc.abstractmethod
    def address_of(self, vm_name: str) -> str | None:
        """Returns the address for datagrams to a VM, or None."""

    @abc.abstractmethod
    def service_of(self, runner: str) -> str:
        """Returns the service of a runner; empty if it is not registered."""

    @abc.abstractmethod
    def slot_count_of(self, runner: str) -> int:
        """Returns the requests that a runner processes concurrently."""
