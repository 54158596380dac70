"""Service that finds lost paths to runners, and those that are back."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.tunnels._runner_paths import PathChange, RunnerPaths
from teaseldale.upstreams import BaseConnector, PeerAddress, ProbeOutcome

_PROBE_INTERVAL_MS = 500
_PROBE_TIMEOUT_MS = 300
# A runner that has answered within this time needs no probe.
_HEARD_MS = 300


class PathWatch(BaseService):
    """Probes paths once one of them is lost.

    A VM that has lost one path has often lost others, and callers should not
    find out about each of them.
    """

    def __init__(
        self,
        *,
        paths: RunnerPaths,
        direct: BaseConnector,
        relaying: BaseConnector,
        addresses: Callable[[], Iterable[PeerAddress]],
        clock: BaseClock,
    ) -> None:
        """Probes the runners at ``addresses``, which this VM uses."""
        self._paths = paths
        self._direct = direct
        self._relaying = relaying
        self._addresses = addresses
        self._clock = clock
        self._has_cut = anyio.Event()
        paths.add_change_listener(self._note_change)

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'path_watch'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the probes."""
        tasks.start_soon(self._watch)

    def _note_change(self, change: PathChange) -> None:
        if change.is_cut:
            self._has_cut.set()

    async def _watch(self) -> None:
        while True:
            await self._has_cut.wait()
            async with anyio.create_task_group() as tasks:
                for address in tuple(self._addresses()):
                    self._start_probe(tasks, address)
            await self._clock.sleep_ms(_PROBE_INTERVAL_MS)
            if not self._paths.cut_addresses():
                self._has_cut = anyio.Event()

    def _start_probe(self, tasks: TaskGroup, address: PeerAddress) -> None:
        if self._paths.is_cut(address):
            tasks.start_soon(self._probe_cut, address)
        elif not self._paths.is_heard(address, _HEARD_MS):
            tasks.start_soon(self._probe_other, address)

    async def _probe_cut(self, address: PeerAddress) -> None:
        outcome = await self._direct.probe(
            address,
            timeout_ms=_PROBE_TIMEOUT_MS,
        )
        self._paths.note_probe(
            address,
            is_reached=outcome is ProbeOutcome.ACCEPTED,
        )

    async def _probe_other(self, address: PeerAddress) -> None:
        await self._relaying.probe(address, timeout_ms=_PROBE_TIMEOUT_MS)
