"""What one VM has at one brittle runner, and what it still waits for."""

from collections.abc import Callable, Iterable

import anyio
import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.routing._room_messages import (
    PartTokens,
    RefusedStart,
    ReportedLoad,
    WaitingStart,
)
from teaseldale.routing._runner_backlog import SharedPart
from teaseldale.routing._start_need import UNKNOWN_NEED, StartNeed

_MS_PER_SECOND = 1000
# Answers of the holder take a few ms; requests wait for lost ones meanwhile.
_ANSWER_TIMEOUT_MS = 120
# A report with requests that wait is repeated, as it may be lost.
_REPEAT_MS = 40
# A holder that has not answered for this long is not waited for.
_SILENT_MS = 300
# Without an answer of the holder for this long a VM uses its share. The holder
# keeps the share sooner, for a VM that it does not hear.
_ALONE_MS = 1200
# The holder keeps the share for longer than this.
_MAX_ALONE_MS = 15_000


@attrs.define(kw_only=True)
class WaitingRequest:
    """A request of this VM that waits for room."""

    until_ms: float  # monotonic
    need: StartNeed = UNKNOWN_NEED
    is_granted: bool = False
    refused_wait_ms: float | None = None  # set once the holder refuses
    is_decided: anyio.Event = attrs.field(factory=anyio.Event)

    async def wait(
        self,
        *,
        clock: BaseClock,
        report: Callable[[], None],
    ) -> None:
        """Reports the request until it is decided, or it is too late."""
        report()
        now_ms = clock.monotonic_ms()
        give_up_ms = max(self.until_ms, now_ms + _ANSWER_TIMEOUT_MS)
        while not self.is_decided.is_set() and now_ms < give_up_ms:
            wait_ms = min(_REPEAT_MS, give_up_ms - now_ms)
            with anyio.move_on_after(wait_ms / _MS_PER_SECOND):
                await self.is_decided.wait()
            now_ms = clock.monotonic_ms()
            if not self.is_decided.is_set():
                report()


class RoomUse:
    """Permits of this VM at one incarnation of a runner."""

    def __init__(self, *, now_ms: int) -> None:
        """Starts without permits, as if the holder had just answered."""
        self.open_needs: dict[int, StartNeed] = {}  # by permit
        self.waiting: dict[int, WaitingRequest] = {}
        self.rejected_count = 0
        self.is_alone = False
        self._load: ReportedLoad | None = None  # the latest of the runner
        self._loaded_ms = now_ms  # monotonic; when it was received
        self._sequence = 0  # of the latest report
        self._acknowledged = 0
        self._acknowledged_ms = now_ms  # monotonic; latest contact
        # Earliest report without an answer; None if all have been answered.
        self._unanswered_ms: int | None = None
        self._last_empty = 0  # sequence of the latest report of nothing
        self._may_use_share = False
        self._was_silent = False

    @property
    def is_idle(self) -> bool:
        """Returns whether there is nothing, and the holder knows it."""
        has_any = bool(self.open_needs or self.waiting)
        return not has_any and self._unanswered_ms is None

    def is_unanswered(self, now_ms: int) -> bool:
        """Returns whether the holder does not answer this VM."""
        return self._silent_for_ms(now_ms) >= _SILENT_MS

    def is_newly_silent(self, now_ms: int) -> bool:
        """Returns whether the holder has fallen silent since the last call."""
        was_silent = self._was_silent
        self._was_silent = self.is_unanswered(now_ms)
        return self._was_silent and not was_silent

    def note_report(self, sequence: int, now_ms: int) -> None:
        """Records that a report with this sequence is sent now."""
        self._sequence = sequence
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms
        if not (self.open_needs or self.waiting):
            self._may_use_share = False
            self._last_empty = self._sequence

    @property
    def memory_tokens(self) -> int:
        """Returns the configured memory of the runner; 0 if unknown."""
        known = (*self.open_needs.values(), *self._waiting_needs())
        return max((need.memory_tokens for need in known), default=0)

    @property
    def open_parts(self) -> tuple[PartTokens, ...]:
        """Returns the shared parts of the requests under way, each once."""
        parts = {
            part.part_id: part
            for need in self.open_needs.values()
            for part in need.shared_parts
        }
        return _part_tokens(parts.values())

    def note_load(
        self,
        *,
        running_count: int,
        waiting_count: int,
        slot_count: int,
        now_ms: int,
    ) -> None:
        """Records the load that an answer of the runner reports."""
        self._loaded_ms = now_ms
        self._load = ReportedLoad(
            number=1 if self._load is None else self._load.number + 1,
            running_count=running_count,
            waiting_count=waiting_count,
            slot_count=slot_count,
        )

    def load(self, now_ms: int) -> ReportedLoad | None:
        """Returns the load that the runner has last reported to this VM."""
        if self._load is None:
            return None
        return msgspec.structs.replace(
            self._load,
            age_ms=now_ms - self._loaded_ms,
        )

    def asked(self, now_ms: int) -> tuple[WaitingStart, ...]:
        """Returns the waiting requests of a report that is sent now."""
        return tuple(
            WaitingStart(
                permit_id=permit_id,
                max_wait_ms=max(0, request.until_ms - now_ms),
                own_tokens=request.need.own_tokens,
                shared_parts=_part_tokens(request.need.shared_parts),
            )
            for permit_id, request in self.waiting.items()
            if not request.is_decided.is_set()
        )

    def acknowledge(self, sequence: int, now_ms: int) -> None:
        """Records that the holder has a report; ignores repeated ones."""
        if not self._acknowledged < sequence <= self._sequence:
            return
        self._acknowledged = sequence
        self._acknowledged_ms = now_ms
        self.is_alone = False
        self._was_silent = False
        is_latest = sequence == self._sequence
        self._unanswered_ms = None if is_latest else now_ms
        self._may_use_share = sequence > self._last_empty

    def grant_all(self) -> None:
        """Grants all waiting requests, as the runner is brittle no more."""
        self.decide(tuple(self.waiting), ())
        self._unanswered_ms = None

    def decide(
        self,
        granted_ids: Iterable[int],
        refused: Iterable[RefusedStart],
    ) -> None:
        """Applies the holder's decisions on requests that still wait."""
        for permit_id in granted_ids:
            request = self.waiting.get(permit_id)
            if request is not None:
                self.open_needs[permit_id] = request.need
                request.is_granted = True
                request.is_decided.set()
        for start in refused:
            request = self.waiting.get(start.permit_id)
            if request is not None and not request.is_granted:
                request.refused_wait_ms = start.wait_ms
                request.is_decided.set()

    def may_start_alone(
        self,
        room_count: int,
        user_count: int,
        now_ms: int,
    ) -> bool:
        """Returns whether a request may start without the holder.

        ``user_count`` VMs share the room if each of them is cut off.
        """
        is_silent = self._silent_for_ms(now_ms) >= _ALONE_MS
        is_kept = now_ms - self._acknowledged_ms < _MAX_ALONE_MS
        if not (is_silent and is_kept and self._may_use_share):
            return False
        self.is_alone = True
        return len(self.open_needs) < room_count // max(1, user_count)

    def _waiting_needs(self) -> Iterable[StartNeed]:
        return (request.need for request in self.waiting.values())

    def _silent_for_ms(self, now_ms: int) -> int:
        if self._unanswered_ms is None:
            return 0
        return now_ms - self._unanswered_ms


def _part_tokens(parts: Iterable[SharedPart]) -> tuple[PartTokens, ...]:
    return tuple(
        PartTokens(part_id=part.part_id, token_count=part.token_count)
        for part in parts
    )
