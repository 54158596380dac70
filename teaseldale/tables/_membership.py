"""Interface of the platform's lagging list of VMs."""

import abc
import enum

import attrs


@enum.unique
class MemberState(enum.StrEnum):
    """What the platform knows of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class VmMember:
    """One VM of the fleet, or one upstream, as the platform lists it."""

    name: str  # name of the VM
    incarnation: str  # differs after each start under the same name
    address: str  # "ip:port" of the peer listener
    availability_zone: str
    state: MemberState


class BaseMembershipList(abc.ABC):
    """Client of the membership list; raises ``PlatformError``."""

    @abc.abstractmethod
    async def announce(self, member: VmMember) -> None:
        """Adds or updates the entry of this VM."""

    @abc.abstractmethod
    async def members(self) -> tuple[VmMember, ...]:
        """Returns the list, which may lag behind the truth."""
