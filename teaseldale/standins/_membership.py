"""Membership list of the platform stand-in, published with a delay."""

from collections import deque

import attrs

from teaseldale.tables import VmMember

_HISTORY_LENGTH = 8192


@attrs.frozen(kw_only=True)
class _Announcement:
    at_ms: int
    member: VmMember


class LaggingMembership:
    """Announcements of VMs; a VM is removed if none came within a time-out."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self._announcements: deque[_Announcement] = deque(
            maxlen=_HISTORY_LENGTH,
        )

    def announce(self, member: VmMember, *, now_ms: int) -> None:
        """Creates or updates the entry of a VM."""
        self._announcements.append(_Announcement(at_ms=now_ms, member=member))

    def listed(
        self,
        *,
        now_ms: int,
        lag_ms: int,
        timeout_ms: int,
    ) -> tuple[VmMember, ...]:
        """Returns the list as of ``lag_ms`` ago.

        Leaves out VMs whose last announcement was ``timeout_ms`` or more before
        that.
        """
        visible_until_ms = now_ms - lag_ms
        newest = {
            announcement.member.name: announcement
            for announcement in self._announcements
            if announcement.at_ms <= visible_until_ms
        }
        return tuple(
            announcement.member
            for announcement in newest.values()
            if announcement.at_ms + timeout_ms > visible_until_ms
        )
