"""Judges the end of a connection that ended a response body."""

import abc
import asyncio
import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

import httpcore

from teaseldale.upstreams._listener_probe import ListenerProbe, ProbeOutcome
from teaseldale.upstreams._socket_error import has_socket_error
from teaseldale.upstreams._tcp_network import PeerAddress

# A process that exits closes its connections one after another, and a CPU quota
# may suspend it for a tenth of a second in between. A reset may follow as well.
SURVIVAL_MS = 150
_MS_PER_SECOND = 1000
# A SYN may be lost or dropped, so an unanswered probe is repeated.
_PROBE_TIMEOUT_MS = 700
_PROBE_TRIES = 2


@enum.unique
class Testimony(enum.StrEnum):
    """What another connection shows about the end of a response."""

    SURVIVED = 'survived'  # it outlived the end
    ENDED = 'ended'  # it ended at about the same time
    NONE = 'none'  # there was none, or it ended because it was idle


@enum.unique
class EndFinding(enum.StrEnum):
    """What the examination of a connection's end has found."""

    NONE = ''  # the body did not end with its connection
    COMPLETE = 'complete'
    RESET = 'reset'
    PROCESS_ENDED = 'process_ended'  # the process has lost its connections
    UNPROVEN = 'unproven'  # the process could not be reached


# Returns what became of a connection since the check was made.
WitnessCheck = Callable[[], Testimony]


# Outcomes of a new connection that prove a good end beside a testimony. Runners
# reset connections beyond those that they accept.
_PROOFS: Mapping[Testimony, frozenset[ProbeOutcome]] = MappingProxyType(
    {
        Testimony.SURVIVED: frozenset(
            (ProbeOutcome.ACCEPTED, ProbeOutcome.ENDED),
        ),
        Testimony.NONE: frozenset((ProbeOutcome.ACCEPTED,)),
    },
)


_FAULTS: Mapping[EndFinding, str] = MappingProxyType(
    {
        EndFinding.RESET: 'the connection was reset',
        EndFinding.PROCESS_ENDED: (
            'the response has no length, and another connection to its '
            'process has ended as well'
        ),
        EndFinding.UNPROVEN: (
            'the response has no length, and a new connection is {outcome}'
        ),
    },
)


class BaseProcessWitness(abc.ABC):
    """Another connection to the process that sends a response."""

    @abc.abstractmethod
    def begin_use(self) -> None:
        """Opens the connection unless it is open."""

    @abc.abstractmethod
    def end_use(self) -> None:
        """Ends one use; the connection may close after the last."""

    @abc.abstractmethod
    def watch(self) -> WitnessCheck:
        """Returns a check of whether it outlives this moment."""


class BaseConnectionEnd(abc.ABC):
    """An end of a connection that may be that of a response."""

    finding: EndFinding

    @abc.abstractmethod
    async def find_fault(self) -> httpcore.ReadError | None:
        """Returns why the response must count as truncated, or None."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the transport."""


class ExaminedEnd(BaseConnectionEnd):
    """An end that the VM at the other end of a tunnel has examined."""

    def __init__(self, *, transport: asyncio.Transport) -> None:
        """Takes the tunnel's transport."""
        self._transport = transport
        self.finding = EndFinding.COMPLETE

    async def find_fault(self) -> httpcore.ReadError | None:
        """Returns None."""
        return None

    def close(self) -> None:
        """Closes the transport."""
        self._transport.close()


class ConnectionEnd(BaseConnectionEnd):
    """Evidence that a peer closed its connection in good order.

    The end of a process may look the same as the end of a response. The end
    counts as intended if another connection to the process, which was open
    before, is still open after a while, and the peer's address accepts
    connections. Without such a connection, a new one has to stay open as long.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        peer_address: PeerAddress,
        probe: ListenerProbe,
        witness: BaseProcessWitness | None = None,
    ) -> None:
        """Examines a transport whose peer has sent its end-of-file just now.

        ``probe`` holds a connection that is accepted for ``SURVIVAL_MS``.
        """
        self._transport = transport
        self._peer_address = peer_address
        self._probe = probe
        self._check = None if witness is None else witness.watch()
        self.finding = EndFinding.NONE  # until the end is examined

    async def find_fault(self) -> httpcore.ReadError | None:
        """Returns why the response must count as truncated, or None.

        Takes the time of a new connection, and ``SURVIVAL_MS`` at least.
        """
        survival = asyncio.create_task(
            asyncio.sleep(SURVIVAL_MS / _MS_PER_SECOND),
        )
        outcome = await self._probe_peer()
        await survival
        self.finding = self._find(outcome)
        if self.finding is EndFinding.COMPLETE:
            return None
        return httpcore.ReadError(
            _FAULTS[self.finding].format(outcome=outcome),
        )

    def close(self) -> None:
        """Closes the transport."""
        self._transport.close()

    def _find(self, outcome: ProbeOutcome) -> EndFinding:
        if has_socket_error(self._transport):
            return EndFinding.RESET
        testimony = Testimony.NONE if self._check is None else self._check()
        if testimony is Testimony.ENDED:
            return EndFinding.PROCESS_ENDED
        if outcome in _PROOFS[testimony]:
            return EndFinding.COMPLETE
        return EndFinding.UNPROVEN

    async def _probe_peer(self) -> ProbeOutcome:
        outcome = ProbeOutcome.UNANSWERED
        for _ in range(_PROBE_TRIES):
            outcome = await self._probe(
                *self._peer_address,
                timeout_ms=_PROBE_TIMEOUT_MS,
            )
            if outcome is not ProbeOutcome.UNANSWERED:
                break
        return outcome
