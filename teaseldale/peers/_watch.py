"""Monitoring of one link: heartbeats, reconnects and reachability."""

import random
from collections.abc import Awaitable, Callable

import anyio
import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers._identity import VmIdentity
from teaseldale.peers._link import PeerLink

_BACK_OFF_MIN_MS = 500
_BACK_OFF_MAX_MS = 8000
_JITTER_SHARE = 0.25
_MS_PER_SECOND = 1000

SendHeartbeat = Callable[['Heartbeat'], Awaitable[object]]
ReconnectLink = Callable[[PeerLink, str], None]


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Checks that the peer runs and that frames pass in both directions."""

    replies_missing: bool = False  # asks the peer to reply over a new socket


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Acknowledges a heartbeat."""


class LinkWatch:
    """Tracks whether one peer is reachable and reconnects its link."""

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: BaseClock,
        metrics: Metrics,
        send: SendHeartbeat,
        reconnect: ReconnectLink,
        random_source: random.Random,
        interval_ms: int,
    ) -> None:
        """Creates a watch; ``send`` raises ``PeerUnreachableError``.

        ``reconnect`` replaces the socket of a link; its second argument is the
        reason to count. ``interval_ms`` bounds the pause between two checks of
        a reachable peer.
        """
        self.reachable = False
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._send = send
        self._reconnect = reconnect
        self._random = random_source
        self._interval_ms = interval_ms
        self._back_off_ms = _BACK_OFF_MIN_MS
        self._wake = anyio.Event()
        self._suspected = False
        self._log = StateLog(channel='peers')

    @property
    def peer(self) -> VmIdentity:
        """Identity of the monitored peer."""
        return self._link.peer

    async def run(self) -> None:
        """Sends heartbeats in the absence of other replies until cancelled."""
        while True:
            if self._needs_heartbeat():
                await self._probe()
            await self._wait()

    def suspect(self) -> None:
        """Triggers an immediate heartbeat after a call without a reply."""
        self._suspected = True
        self._wake.set()

    def on_peer_heartbeat(self) -> None:
        """Triggers an immediate heartbeat if the peer is unreachable.

        Called when a heartbeat of the peer arrives.
        """
        if not self.reachable:
            self._wake.set()

    async def _probe(self) -> None:
        self._suspected = False
        started_ms = self._clock.monotonic_ms()
        if await self._try_heartbeat(Heartbeat()) or self._has_reply_since(
            started_ms
        ):
            self._set_reachable(reachable=True)
            return
        self._reconnect(self._link, 'silent')
        answered = await self._try_heartbeat(Heartbeat(replies_missing=True))
        self._set_reachable(reachable=answered)

    async def _try_heartbeat(self, heartbeat: Heartbeat) -> bool:
        try:
            await self._send(heartbeat)
        except PeerUnreachableError:
            self._metrics.increment('peer_heartbeat_missed')
            return False
        return True

    async def _wait(self) -> None:
        pause_ms = self._next_pause_ms()
        self._wake = anyio.Event()
        with anyio.move_on_after(pause_ms / _MS_PER_SECOND):
            await self._wake.wait()

    def _next_pause_ms(self) -> float:
        if self.reachable:
            self._back_off_ms = _BACK_OFF_MIN_MS
            return self._jittered(self._interval_ms)
        pause_ms = self._jittered(self._back_off_ms)
        self._back_off_ms = min(_BACK_OFF_MAX_MS, self._back_off_ms * 2)
        return pause_ms

    def _jittered(self, duration_ms: int) -> float:
        return duration_ms * (1 - _JITTER_SHARE * self._random.random())

    def _needs_heartbeat(self) -> bool:
        last_ms = self._link.last_reply_ms
        if last_ms is None or self._suspected or not self.reachable:
            return True
        return self._clock.monotonic_ms() - last_ms > self._interval_ms / 2

    def _has_reply_since(self, started_ms: int) -> bool:
        last_ms = self._link.last_reply_ms
        return last_ms is not None and last_ms > started_ms

    def _set_reachable(self, *, reachable: bool) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        state = 'reachable' if reachable else 'unreachable'
        self._metrics.increment('peer_state_changed', state)
        self._log.changed(f'peer_{state}', peer=self.peer.key)
