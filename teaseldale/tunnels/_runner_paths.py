"""Which runners this VM reaches without the help of other VMs."""

from collections.abc import Callable, Collection

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.upstreams import PeerAddress

# Probes in sequence that must succeed until a lost path is used again.
# Hysteresis keeps a path with losses from being changed for each request.
_RESTORING_PROBES = 2


@attrs.frozen(kw_only=True)
class PathChange:
    """Loss or restoration of the direct path to one runner."""

    address: PeerAddress
    is_cut: bool
    # Whether connections hang. Otherwise new ones are refused, and old ones may
    # go on.
    is_silent: bool


class RunnerPaths:
    """Direct paths of this VM that are cut while other VMs reach the runner."""

    def __init__(self, *, clock: BaseClock, metrics: Metrics) -> None:
        """Starts with all paths in order."""
        self._clock = clock
        self._metrics = metrics
        self._cut: dict[PeerAddress, int] = {}  # successful probes since
        self._heard_ms: dict[PeerAddress, int] = {}  # monotonic
        self._log = StateLog(channel='paths')
        self._on_change: list[Callable[[PathChange], None]] = []

    def add_change_listener(
        self,
        callback: Callable[[PathChange], None],
    ) -> None:
        """Calls ``callback`` whenever a path is lost or restored."""
        self._on_change.append(callback)

    def is_cut(self, address: PeerAddress) -> bool:
        """Returns whether only other VMs reach the runner."""
        return address in self._cut

    def cut_addresses(self) -> tuple[PeerAddress, ...]:
        """Returns the runners that only other VMs reach."""
        return tuple(self._cut)

    def note_heard(self, address: PeerAddress) -> None:
        """Records that the runner has answered on a direct connection."""
        self._heard_ms[address] = self._clock.monotonic_ms()

    def is_heard(self, address: PeerAddress, within_ms: int) -> bool:
        """Returns whether the runner has answered directly lately."""
        heard_ms = self._heard_ms.get(address)
        if heard_ms is None:
            return False
        return self._clock.monotonic_ms() - heard_ms <= within_ms

    def mark_cut(self, address: PeerAddress, *, is_silent: bool) -> None:
        """Marks a path as cut; idempotent."""
        was_cut = address in self._cut
        self._cut[address] = 0
        if was_cut:
            return
        self._metrics.increment(
            'runner_paths_cut',
            'silent' if is_silent else 'refused',
        )
        self._note_change(
            PathChange(address=address, is_cut=True, is_silent=is_silent),
        )

    def note_probe(self, address: PeerAddress, *, is_reached: bool) -> None:
        """Records a direct probe of a path that is cut."""
        count = self._cut.get(address)
        if count is None:
            return
        self._cut[address] = count + 1 if is_reached else 0
        if self._cut[address] >= _RESTORING_PROBES:
            self._cut.pop(address)
            self._note_change(
                PathChange(address=address, is_cut=False, is_silent=False),
            )

    def keep_only(self, addresses: Collection[PeerAddress]) -> None:
        """Drops what is known of runners that have ended."""
        for ended in self._cut.keys() - addresses:
            self._cut.pop(ended)
        for ended in self._heard_ms.keys() - addresses:
            self._heard_ms.pop(ended)

    def _note_change(self, change: PathChange) -> None:
        self._metrics.set_gauge('runner_paths_lost', len(self._cut))
        self._log.changed(
            'runner_path_changed',
            runner_address='{0}:{1}'.format(*change.address),
            is_cut=change.is_cut,
            is_silent=change.is_silent,
            cut_count=len(self._cut),
        )
        for callback in self._on_change:
            callback(change)
