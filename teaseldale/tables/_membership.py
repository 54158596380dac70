"""Interface of the platform's membership list, which may be stale."""

import abc
import enum

import attrs


@enum.unique
class MemberState(enum.StrEnum):
    """Lifecycle state of a VM in the membership list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class VmMember:
    """Membership entry of a VM or an upstream."""

    name: str
    incarnation: str  # changes with each start under the same name
    address: str  # "ip:port" of the peer listener
    availability_zone: str
    state: MemberState


class BaseMembershipList(abc.ABC):
    """Membership list client; its methods raise ``PlatformError``."""

    @abc.abstractmethod
    async def announce(self, member: VmMember) -> None:
        """Creates or updates the membership entry of this VM."""

    @abc.abstractmethod
    async def members(self) -> tuple[VmMember, ...]:
        """Returns the members; the list may be out of date."""
