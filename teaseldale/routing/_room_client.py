"""What the holder of a runner's room knows of one VM."""

import attrs

from teaseldale.routing._room_messages import (
    PartTokens,
    ReportedLoad,
    RoomReport,
    WaitingStart,
)

_NONE: frozenset[int] = frozenset()


@attrs.frozen(kw_only=True)
class HeldPermit:
    """A permit that was granted and has not ended."""

    granted_ms: int  # monotonic
    # Requests at the runner then, this one included; 0 if unknown.
    place: int = 0
    own_tokens: int = 0
    shared_parts: tuple[PartTokens, ...] = ()


@attrs.define(kw_only=True)
class RoomClient:
    """The permits, requests and signs of life of one VM."""

    epoch: int  # of the VM's process
    rejected_count: int  # as last reported
    ended_epochs: frozenset[int] = _NONE  # of earlier processes
    held: dict[int, HeldPermit] = attrs.field(factory=dict)
    waiting: dict[int, WaitingStart] = attrs.field(factory=dict)
    sequence: int = 0
    heard_ms: int = 0  # monotonic
    is_idle: bool = True  # whether the latest report holds nothing
    is_alone: bool = False
    load: ReportedLoad | None = None
    open_parts: tuple[PartTokens, ...] = ()

    @classmethod
    def of(
        cls,
        report: RoomReport,
        ended_epochs: frozenset[int] = _NONE,
    ) -> 'RoomClient':
        """Returns the client of a VM's first report.

        Earlier rejections were known to the holder before this one.
        """
        return cls(
            epoch=report.epoch,
            rejected_count=report.rejected_count,
            ended_epochs=ended_epochs,
        )

    @property
    def own_tokens(self) -> int:
        """Returns the tokens that only requests of this VM need."""
        return sum(permit.own_tokens for permit in self.held.values())

    def has_replaced(self, epoch: int) -> bool:
        """Returns whether a process of the VM has ended."""
        return epoch in self.ended_epochs

    def successor(self, report: RoomReport) -> 'RoomClient':
        """Returns the client of the VM's next process."""
        return RoomClient.of(report, self.ended_epochs | {self.epoch})

    def part_tokens(self) -> dict[str, int]:
        """Returns the tokens of the shared parts in use, by part."""
        parts = {part.part_id: part.token_count for part in self.open_parts}
        for permit in self.held.values():
            parts.update(
                (part.part_id, part.token_count) for part in permit.shared_parts
            )
        return parts

    def accepted_count(self, from_ms: int, until_ms: int) -> int:
        """Returns the most requests that permits of a time show to fit."""
        return max(
            (
                permit.place
                for permit in self.held.values()
                if from_ms <= permit.granted_ms <= until_ms
            ),
            default=0,
        )

    def note_load(self, load: ReportedLoad | None) -> bool:
        """Records a load; returns whether it is news."""
        if load is None:
            return False
        is_news = self.load is None or load.number > self.load.number
        if is_news:
            self.load = load
        return is_news

    def note_rejections(self, rejected_count: int) -> int:
        """Records the rejections so far; returns how many are new."""
        new_count = max(0, rejected_count - self.rejected_count)
        self.rejected_count = rejected_count
        return new_count

    def hold(self, start: WaitingStart, place: int, now_ms: int) -> None:
        """Records a permit that is granted now."""
        self.held[start.permit_id] = HeldPermit(
            granted_ms=now_ms,
            place=place,
            own_tokens=start.own_tokens,
            shared_parts=start.shared_parts,
        )

    def forget_permits(self) -> None:
        """Drops all permits; a later report names those that are in use."""
        self.held.clear()
        self.open_parts = ()

    def apply(self, report: RoomReport, now_ms: int) -> list[HeldPermit]:
        """Applies a report; returns the permits that have ended."""
        self.sequence = report.sequence
        self.heard_ms = now_ms
        self.is_alone = report.is_alone
        self.is_idle = not (report.open_ids or report.waiting)
        self.open_parts = report.open_parts
        named = {start.permit_id for start in report.waiting}
        named.update(report.open_ids)
        ended = [
            self.held.pop(permit_id) for permit_id in self.held.keys() - named
        ]
        # Earlier versions name no tokens.
        tokens = report.open_tokens or (0,) * len(report.open_ids)
        for permit_id, own_tokens in zip(report.open_ids, tokens, strict=False):
            if permit_id not in self.held:
                self.held[permit_id] = HeldPermit(
                    granted_ms=now_ms,
                    own_tokens=own_tokens,
                )
        return ended
