"""Aggregation of evidence for the VM that steers a move.

Each VM reports to the reader of its unit, which sums up the reports and
forwards the totals to the steering VM. Counts are totals since the start of a
move, so that lost and repeated messages are harmless.
"""

from collections.abc import Iterable, Mapping

import attrs

from teaseldale.clock import BaseClock
from teaseldale.moves._evidence import VersionPair
from teaseldale.moves._local_moves import MoveAssignment
from teaseldale.notes import FleetConfiguration
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity

REPORT_INTERVAL_MS = 1000
_REPORT_TIMEOUT_MS = 700
_RECENT_MS = 5000
_INTERVAL_PER_UNIT_MS = 25


@attrs.frozen(kw_only=True)
class MoveEvidence:
    """Totals of one move."""

    move: str
    pair: VersionPair


@attrs.frozen(kw_only=True)
class MemberEvidence:
    """Totals of one VM, sent to the reader of its unit."""

    evidence: tuple[MoveEvidence, ...]


@attrs.frozen(kw_only=True)
class UnitEvidence:
    """Totals of one unit, sent to a steering VM."""

    unit: str
    availability_zone: str
    evidence: tuple[MoveEvidence, ...]


@attrs.frozen(kw_only=True)
class EvidenceReceived:
    """Acknowledgement of evidence."""


@attrs.frozen(kw_only=True)
class _Report:
    availability_zone: str
    at_ms: int  # monotonic
    pairs: Mapping[str, VersionPair]


class EvidenceReports:
    """Forwards evidence and aggregates it by zone at a steering VM."""

    def __init__(
        self,
        *,
        assignment: MoveAssignment,
        configuration: FleetConfiguration,
        peers: BasePeerNetwork,
        clock: BaseClock,
    ) -> None:
        """Registers the handlers; ``assignment`` gives this VM's evidence."""
        self._assignment = assignment
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._members: dict[str, _Report] = {}
        self._units: dict[str, _Report] = {}
        self._last_forward_ms = 0
        peers.handle(
            MemberEvidence,
            kind='move_member_evidence',
            reply_type=EvidenceReceived,
            handler=self._handle_member,
        )
        peers.handle(
            UnitEvidence,
            kind='move_unit_evidence',
            reply_type=EvidenceReceived,
            handler=self._handle_unit,
        )

    async def run(self) -> None:
        """Reports every ``REPORT_INTERVAL_MS`` while moves run."""
        while True:
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)
            pairs = self._assignment.evidence()
            if not pairs:
                self._members.clear()
                self._units.clear()
                continue
            await self._report(pairs)

    def zones(self, move: str) -> dict[str, VersionPair]:
        """Returns the totals of a move by availability zone."""
        totals: dict[str, VersionPair] = {}
        for report in self._units.values():
            zone = report.availability_zone
            pair = report.pairs.get(move, VersionPair())
            totals[zone] = totals.get(zone, VersionPair()).plus(pair)
        return totals

    def silent_zones(self, zones: Iterable[str]) -> tuple[str, ...]:
        """Returns the zones in ``zones`` without a recent report."""
        oldest = self._clock.monotonic_ms() - _RECENT_MS
        recent = {
            report.availability_zone
            for report in self._units.values()
            if report.at_ms >= oldest
        }
        return tuple(zone for zone in zones if zone not in recent)

    async def _report(self, pairs: Mapping[str, VersionPair]) -> None:
        own = self._peers.identity
        reader = self._configuration.follower.reader()
        if reader != own:
            await self._send(
                reader, MemberEvidence(evidence=_to_messages(pairs))
            )
            return
        self._store_report(self._members, own.key, own, pairs)
        units = self._configuration.follower.unit_map()
        now_ms = self._clock.monotonic_ms()
        interval_ms = len(units.first_members()) * _INTERVAL_PER_UNIT_MS
        if now_ms - self._last_forward_ms >= interval_ms:
            self._last_forward_ms = now_ms
            await self._forward(units.unit_of(own), pairs)

    async def _forward(
        self,
        unit: str,
        running: Mapping[str, VersionPair],
    ) -> None:
        own = self._peers.identity
        message = UnitEvidence(
            unit=unit,
            availability_zone=own.availability_zone,
            evidence=_to_messages({move: self._sum(move) for move in running}),
        )
        steps = self._configuration.follower.head.move_steps
        steering = {step.steering_vm for step in steps}
        if own.key in steering:
            await self._handle_unit(own, message)
        for peer in self._peers.known_peers():
            if peer.key in steering:
                await self._send(peer, message)

    def _sum(self, move: str) -> VersionPair:
        total = VersionPair()
        for report in self._members.values():
            total = total.plus(report.pairs.get(move, VersionPair()))
        return total

    async def _send(self, peer: VmIdentity, message: object) -> None:
        try:
            await self._peers.request(
                peer,
                message,
                timeout_ms=_REPORT_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return

    async def _handle_member(
        self,
        sender: VmIdentity,
        message: MemberEvidence,
    ) -> EvidenceReceived:
        pairs = {item.move: item.pair for item in message.evidence}
        self._store_report(self._members, sender.key, sender, pairs)
        return EvidenceReceived()

    async def _handle_unit(
        self,
        sender: VmIdentity,
        message: UnitEvidence,
    ) -> EvidenceReceived:
        pairs = {item.move: item.pair for item in message.evidence}
        self._store_report(self._units, message.unit, sender, pairs)
        return EvidenceReceived()

    def _store_report(
        self,
        reports: dict[str, _Report],
        source: str,
        sender: VmIdentity,
        pairs: Mapping[str, VersionPair],
    ) -> None:
        reports[source] = _Report(
            availability_zone=sender.availability_zone,
            at_ms=self._clock.monotonic_ms(),
            pairs=pairs,
        )


def _to_messages(pairs: Mapping[str, VersionPair]) -> tuple[MoveEvidence, ...]:
    return tuple(
        MoveEvidence(move=move, pair=pair) for move, pair in pairs.items()
    )
