"""Judges the end of a connection that ended a response body."""

import abc
import asyncio
import enum
from collections.abc import Mapping
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

    SURVIVED = 'survived'  # its process has answered after the end
    REACHED = 'reached'  # there was none; the runner answers on a new one
    ENDED = 'ended'  # it ended as well
    SILENT = 'silent'  # the runner does not answer
    NONE = 'none'  # nothing was asked


@enum.unique
class EndFinding(enum.StrEnum):
    """What the examination of a connection's end has found."""

    NONE = ''  # the body did not end with its connection
    COMPLETE = 'complete'
    # Found on a connection that was opened after the end only.
    COMPLETE_BY_NEW = 'complete_by_new_connection'
    RESET = 'reset'
    PROCESS_ENDED = 'process_ended'  # the process has lost its connections
    UNPROVEN = 'unproven'  # the process could not be reached

    @property
    def is_complete(self) -> bool:
        """Whether the body counts as whole."""
        return self in {EndFinding.COMPLETE, EndFinding.COMPLETE_BY_NEW}


# Outcomes of a new connection that prove a good end beside a testimony. Runners
# reset connections beyond those that they accept.
_PROOFS: Mapping[Testimony, frozenset[ProbeOutcome]] = MappingProxyType(
    {
        Testimony.SURVIVED: frozenset(
            (ProbeOutcome.ACCEPTED, ProbeOutcome.ENDED),
        ),
        Testimony.REACHED: frozenset((ProbeOutcome.ACCEPTED,)),
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
            'the response has no length, a new connection is {outcome}, and '
            'the testimony of another one is {testimony}'
        ),
    },
)


class BaseWitnessUse(abc.ABC):
    """Observation of the process that sends one response."""

    @abc.abstractmethod
    def begin(self) -> None:
        """Notes the head of a response that ends with its connection."""

    @abc.abstractmethod
    def dismiss(self) -> None:
        """Notes the head of another response, and ends the observation."""

    @abc.abstractmethod
    def note_end(self) -> None:
        """Records that the connection of the response has ended just now."""

    @abc.abstractmethod
    async def testify(self) -> Testimony:
        """Returns what a request to the process shows that is sent now."""

    @abc.abstractmethod
    def end(self) -> None:
        """Ends the observation, also if it has ended."""


class BaseProcessWitness(abc.ABC):
    """Other connections to the process that sends responses."""

    @abc.abstractmethod
    def observe(self) -> BaseWitnessUse:
        """Observes the process from the sending of a request on."""


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
    counts as intended if the process answers on another connection, which was
    open before, and the peer's address accepts connections. Without such a
    connection, a new one has to be answered and stay open for a while.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        peer_address: PeerAddress,
        probe: ListenerProbe,
        witness: BaseWitnessUse | None = None,
    ) -> None:
        """Examines a transport whose peer has sent its end-of-file just now.

        ``probe`` holds a connection that is accepted for ``SURVIVAL_MS``.
        """
        self._transport = transport
        self._peer_address = peer_address
        self._probe = probe
        self._witness = witness
        if witness is not None:
            witness.note_end()
        self.finding = EndFinding.NONE  # until the end is examined

    async def find_fault(self) -> httpcore.ReadError | None:
        """Returns why the response must count as truncated, or None.

        Takes the time of a new connection, ``SURVIVAL_MS`` at least, and then
        that of an answer from the process.
        """
        survival = asyncio.create_task(
            asyncio.sleep(SURVIVAL_MS / _MS_PER_SECOND),
        )
        outcome = await self._probe_peer()
        await survival
        testimony = Testimony.NONE
        if self._witness is not None:
            testimony = await self._witness.testify()
        self.finding = self._find(outcome, testimony)
        if self.finding.is_complete:
            return None
        return httpcore.ReadError(
            _FAULTS[self.finding].format(outcome=outcome, testimony=testimony),
        )

    def close(self) -> None:
        """Closes the transport."""
        self._transport.close()

    def _find(self, outcome: ProbeOutcome, testimony: Testimony) -> EndFinding:
        if has_socket_error(self._transport):
            return EndFinding.RESET
        if testimony is Testimony.ENDED:
            return EndFinding.PROCESS_ENDED
        if outcome not in _PROOFS.get(testimony, ()):
            return EndFinding.UNPROVEN
        if testimony is Testimony.SURVIVED:
            return EndFinding.COMPLETE
        return EndFinding.COMPLETE_BY_NEW

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
