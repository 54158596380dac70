"""Set of link watches, one for each peer of this VM's cell."""

from collections.abc import Callable, Collection, Iterable

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._watch import LinkWatch


@attrs.frozen(kw_only=True)
class _RunningWatch:
    watch: LinkWatch
    scope: anyio.CancelScope


class WatchSet:
    """Starts and cancels watches as peers join and leave."""

    def __init__(
        self,
        *,
        make_watch: Callable[[VmIdentity], LinkWatch],
    ) -> None:
        """Creates an empty set."""
        self._make_watch = make_watch
        self._tasks: TaskGroup | None = None
        self._running: dict[str, _RunningWatch] = {}

    def start(self, tasks: TaskGroup) -> None:
        """Sets the task group in which watches run."""
        self._tasks = tasks

    def keys(self) -> Collection[str]:
        """Returns the keys of all watched peers."""
        return self._running.keys()

    def find(self, peer: VmIdentity) -> LinkWatch | None:
        """Returns the watch of a peer, or None if it is not watched."""
        running = self._running.get(peer.key)
        return None if running is None else running.watch

    def replace(self, peers: Iterable[VmIdentity]) -> None:
        """Starts and cancels watches so that exactly ``peers`` are watched."""
        wanted = {peer.key: peer for peer in peers}
        for key in self._running.keys() - wanted.keys():
            self._running.pop(key).scope.cancel()
        for peer in wanted.values():
            if peer.key not in self._running:
                self._watch(peer)

    def _watch(self, peer: VmIdentity) -> None:
        if self._tasks is None:
            raise RuntimeError('Start the peer network before its first use.')
        running = _RunningWatch(
            watch=self._make_watch(peer),
            scope=anyio.CancelScope(),
        )
        self._running[peer.key] = running
        self._tasks.start_soon(_run_in, running.scope, running.watch)


async def _run_in(scope: anyio.CancelScope, watch: LinkWatch) -> None:
    with scope:
        await watch.run()
