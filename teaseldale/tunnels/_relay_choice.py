"""Order in which VMs are asked for a tunnel."""

import random

from teaseldale.clock import BaseClock
from teaseldale.members import BaseFleetMembers
from teaseldale.upstreams import PeerAddress

# A VM that opened no tunnel is asked after the others for this long.
_FAILED_MS = 2000


class RelayChoice:
    """Orders the other VMs by what became of earlier requests."""

    def __init__(
        self,
        *,
        members: BaseFleetMembers,
        vm_name: str,
        clock: BaseClock,
        random_source: random.Random,
    ) -> None:
        """Orders the members of the fleet but ``vm_name``."""
        self._members = members
        self._vm_name = vm_name
        self._clock = clock
        self._random = random_source
        self._failed_ms: dict[str, int] = {}  # monotonic, by VM

    def candidates(self, count: int) -> tuple[tuple[str, PeerAddress], ...]:
        """Returns at most ``count`` VMs with their addresses, in order.

        The order is random, which spreads the load of a VM that is cut off.
        """
        entries = self._members.entries()
        names = [name for name in entries if name != self._vm_name]
        self._random.shuffle(names)
        names.sort(key=self._has_failed)
        return tuple(
            (name, _peer_address(entries[name].address))
            for name in names[:count]
        )

    def note(self, vm_name: str, *, is_open: bool) -> None:
        """Records whether a VM has opened a tunnel."""
        if is_open:
            self._failed_ms.pop(vm_name, None)
        else:
            self._failed_ms[vm_name] = self._clock.monotonic_ms()

    def _has_failed(self, vm_name: str) -> bool:
        failed_ms = self._failed_ms.get(vm_name)
        if failed_ms is None:
            return False
        return self._clock.monotonic_ms() - failed_ms < _FAILED_MS


def _peer_address(text: str) -> PeerAddress:
    ip, _, port = text.rpartition(':')
    return ip, int(port)
