"""Directory of the other VMs on the platform's membership list."""

import anyio

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PlatformError
from teaseldale.peers._cells import CellMap
from teaseldale.peers._frames import identity_tag
from teaseldale.peers._identity import VmIdentity
from teaseldale.tables import BaseMembershipList, MemberState, VmMember

_INTERVAL_MS = 1000
_INTERVAL_PER_VM_MS = 25  # limits the read rate of a large fleet
_UNLISTED_LIMIT = 1024
_MS_PER_SECOND = 1000


class PeerDirectory:
    """Last known membership list; kept while it cannot be read."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        membership: BaseMembershipList,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Creates an empty directory."""
        self._identity = identity
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._state = MemberState.LIVE
        self._peers: dict[str, VmIdentity] = {}
        self._by_tag: dict[int, VmIdentity] = {}
        self._unlisted: dict[int, VmIdentity] = {}  # senders by tag
        self._cell: tuple[VmIdentity, ...] = ()
        self._refresh_requested = anyio.Event()

    def peers(self) -> tuple[VmIdentity, ...]:
        """Returns all other VMs on the list."""
        return tuple(self._peers.values())

    def cell_peers(self) -> tuple[VmIdentity, ...]:
        """Returns the other VMs of this VM's cell."""
        return self._cell

    def find_tag(self, tag: int) -> VmIdentity | None:
        """Returns the incarnation with the tag ``tag``, or None."""
        return self._by_tag.get(tag) or self._unlisted.get(tag)

    def add_unlisted(self, sender: VmIdentity) -> None:
        """Adds a sender that is not listed yet and requests a refresh."""
        self._refresh_requested.set()
        self._unlisted[identity_tag(sender)] = sender
        if len(self._unlisted) > _UNLISTED_LIMIT:
            self._unlisted.pop(next(iter(self._unlisted)))

    async def leave(self) -> None:
        """Announces that this VM is leaving."""
        self._state = MemberState.LEAVING
        await self._announce()

    async def refresh(self) -> bool:
        """Announces this VM and reads the list.

        Returns whether the list has changed; False if it is unavailable.
        """
        try:
            await self._announce()
            members = await self._membership.members()
        except PlatformError:
            self._metrics.increment('membership_unavailable')
            return False
        return bool(members) and self._replace(members)

    async def wait(self) -> None:
        """Waits until the next refresh is due.

        The interval grows with the fleet. A new VM is discovered earlier:
        its first heartbeat triggers a refresh at the VMs that receive it.
        """
        await self._clock.sleep_ms(_INTERVAL_MS)
        max_wait_ms = refresh_interval_ms(len(self._peers)) - _INTERVAL_MS
        with anyio.move_on_after(max_wait_ms / _MS_PER_SECOND):
            await self._refresh_requested.wait()
        self._refresh_requested = anyio.Event()

    async def _announce(self) -> None:
        await self._membership.announce(
            VmMember(
                name=self._identity.name,
                incarnation=self._identity.incarnation,
                address=self._identity.address,
                availability_zone=self._identity.availability_zone,
                state=self._state,
            ),
        )

    def _replace(self, members: tuple[VmMember, ...]) -> bool:
        listed = {
            identity.key: identity
            for identity in map(_identity_of, members)
            if identity.name != self._identity.name
        }
        if listed == self._peers:
            return False
        cells = CellMap(vms=(*listed.values(), self._identity))
        self._peers = listed
        self._by_tag = {identity_tag(peer): peer for peer in listed.values()}
        self._cell = tuple(
            peer
            for peer in cells.members(cells.cell_of(self._identity))
            if peer != self._identity
        )
        return True


def refresh_interval_ms(vm_count: int) -> int:
    """Returns the interval between two regular reads of the list."""
    return max(_INTERVAL_MS, _INTERVAL_PER_VM_MS * vm_count)


def _identity_of(member: VmMember) -> VmIdentity:
    return VmIdentity(
        name=member.name,
        incarnation=member.incarnation,
        availability_zone=member.availability_zone,
        address=member.address,
    )
