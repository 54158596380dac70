"""Set of open links: permanent in the cell, on demand to other VMs."""

from collections.abc import Collection, Iterator

import anyio
import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._link import PeerLink

_IDLE_TIMEOUT_MS = 30_000


@attrs.frozen(kw_only=True)
class _OpenLink:
    link: PeerLink
    scope: anyio.CancelScope


class LinkSet:
    """Opens links on first use and closes idle ones."""

    def __init__(
        self,
        *,
        identity: VmIdentity,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Creates an empty set."""
        self._identity = identity
        self._clock = clock
        self._metrics = metrics
        self._tasks: TaskGroup | None = None
        self._open: dict[str, _OpenLink] = {}

    def start(self, tasks: TaskGroup) -> None:
        """Sets the task group in which links run."""
        self._tasks = tasks

    def __iter__(self) -> Iterator[PeerLink]:
        """Iterates over the open links."""
        return iter([entry.link for entry in self._open.values()])

    def find(self, peer: VmIdentity) -> PeerLink | None:
        """Returns the link to a peer, or None if it is not open."""
        entry = self._open.get(peer.key)
        return None if entry is None else entry.link

    def get_or_open(self, peer: VmIdentity) -> PeerLink:
        """Returns the link to a peer, opening it if necessary."""
        entry = self._open.get(peer.key)
        if entry is None:
            entry = self._open_link(peer)
        return entry.link

    def close(self, peer: VmIdentity) -> None:
        """Closes the link to a peer if it is open."""
        entry = self._open.pop(peer.key, None)
        if entry is not None:
            entry.scope.cancel()
            entry.link.close()
            self._update_gauge()

    def close_idle(self, permanent_keys: Collection[str]) -> None:
        """Closes idle links to peers that are not in ``permanent_keys``."""
        now_ms = self._clock.monotonic_ms()
        for link in self:
            idle_ms = now_ms - link.last_used_ms
            if (
                link.peer.key not in permanent_keys
                and idle_ms > _IDLE_TIMEOUT_MS
            ):
                self._metrics.increment('peer_link_closed', 'idle')
                self.close(link.peer)

    def close_all(self) -> None:
        """Closes every link."""
        for link in self:
            self.close(link.peer)

    def _open_link(self, peer: VmIdentity) -> _OpenLink:
        if self._tasks is None:
            raise RuntimeError('Start the peer network before its first use.')
        link = PeerLink(
            identity=self._identity,
            peer=peer,
            clock=self._clock,
            metrics=self._metrics,
        )
        entry = _OpenLink(link=link, scope=anyio.CancelScope())
        self._open[peer.key] = entry
        self._tasks.start_soon(_run_in, entry.scope, link)
        self._update_gauge()
        return entry

    def _update_gauge(self) -> None:
        self._metrics.set_gauge('peer_links_open', len(self._open))


async def _run_in(scope: anyio.CancelScope, link: PeerLink) -> None:
    with scope:
        await link.run()
