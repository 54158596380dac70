"""Outcomes of this VM's requests at both versions of an order."""

from teaseldale.clock import BaseClock
from teaseldale.forwarding._reference_times import ReferenceTimes
from teaseldale.moves import EvidenceCounts, VersionPair

# Lower bounds of slow times, as short times vary by more than their own
# duration.
_MIN_SLOW_OUTPUT_MS = 100
_MIN_SLOW_EVENT_MS = 10
# Events after which the pace of a stream is judged. A single stall by another
# request's prompt is short compared with the time of this many events.
_PACE_EVENTS = 12
_MIN_PACE_EVENTS = 3  # for streams that end earlier


class AttemptEvidence:
    """Outcome of one attempt, counted as far as it is certain.

    An attempt counts from its first output or once that is overdue, and its
    pace once that is known. If only ended attempts counted, the evidence on a
    slow version would consist of its shortest requests.
    """

    def __init__(
        self,
        *,
        evidence: 'VersionEvidence',
        route: str,
        is_new: bool,
        started_ms: int,
    ) -> None:
        """Starts an attempt at the new or the old version."""
        self._evidence = evidence
        self._route = route
        self._started_ms = started_ms
        self._first_ms: int | None = None  # monotonic, of the first output
        self._event_count = 0
        self._is_counted = False
        self._is_pace_judged = False
        self._has_ended = False
        self.is_new = is_new

    def note_output(self, event_count: int) -> None:
        """Records output: events of a stream, or the head of an answer."""
        if self._has_ended:
            return
        self._event_count += event_count
        if self._first_ms is None:
            self._first_ms = self._evidence.now_ms()
            self._judge_first_output(self._first_ms - self._started_ms)
        elif self._event_count >= _PACE_EVENTS:
            self._judge_pace()

    def complete(self) -> None:
        """Records that the answer was complete; idempotent."""
        if self._has_ended:
            return
        self._close()
        if self._event_count >= _MIN_PACE_EVENTS:
            self._judge_pace()
        self._count(EvidenceCounts())

    def fail(self) -> None:
        """Records a failed or broken answer; idempotent."""
        if not self._has_ended:
            self._close()
            self._count(EvidenceCounts(failures=1))

    def abandon(self) -> None:
        """Ends an attempt whose outcome is not known; idempotent."""
        self._close()

    def examine(self) -> None:
        """Counts the attempt as slow if it is overdue."""
        now_ms = self._evidence.now_ms()
        if self._first_ms is None:
            is_overdue = self._is_output_slow(now_ms - self._started_ms)
            if is_overdue and not self._is_counted:
                self._count(EvidenceCounts(slow_first_tokens=1))
            return
        # Even with the events of a whole judgement the pace would be slow.
        count = max(self._event_count, _PACE_EVENTS)
        event_ms = (now_ms - self._first_ms) / count
        if not self._is_pace_judged and self._is_pace_slow(event_ms):
            self._count_pace(is_slow=True)

    def _judge_first_output(self, output_ms: int) -> None:
        if not self._is_counted:
            is_slow = self._is_output_slow(output_ms)
            self._count(EvidenceCounts(slow_first_tokens=int(is_slow)))
        if not self.is_new:
            self._evidence.output_times.add(self._route, output_ms)

    def _judge_pace(self) -> None:
        if self._is_pace_judged or self._first_ms is None:
            return
        elapsed_ms = self._evidence.now_ms() - self._first_ms
        event_ms = elapsed_ms / (self._event_count - 1)
        self._count_pace(is_slow=self._is_pace_slow(event_ms))
        if not self.is_new:
            self._evidence.event_times.add(self._route, event_ms)

    def _is_output_slow(self, output_ms: float) -> bool:
        return self._evidence.output_times.is_slow(self._route, output_ms)

    def _is_pace_slow(self, event_ms: float) -> bool:
        return self._evidence.event_times.is_slow(self._route, event_ms)

    def _count_pace(self, *, is_slow: bool) -> None:
        self._is_pace_judged = True
        self._count(
            EvidenceCounts(large_token_gaps=int(is_slow), unpaced=-1),
        )

    def _count(self, counts: EvidenceCounts) -> None:
        """Adds counts, and the request itself with the first ones."""
        if not self._is_counted:
            self._is_counted = True
            counts = counts.plus(EvidenceCounts(requests=1, unpaced=1))
        self._evidence.add(counts, is_new=self.is_new)

    def _close(self) -> None:
        self._has_ended = True
        self._evidence.discard(self)


class VersionEvidence:
    """Outcome counts since an order, and the attempts under way."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts without any attempt."""
        self._clock = clock
        self._old = EvidenceCounts()
        self._new = EvidenceCounts()
        # Times of the old version: to the first output, and between events.
        self.output_times = ReferenceTimes(least_slow_ms=_MIN_SLOW_OUTPUT_MS)
        self.event_times = ReferenceTimes(least_slow_ms=_MIN_SLOW_EVENT_MS)
        self._running: set[AttemptEvidence] = set()

    @property
    def pair(self) -> VersionPair:
        """Returns the counts of both versions."""
        return VersionPair(old=self._old, new=self._new)

    def begin(self, *, route: str, is_new: bool) -> AttemptEvidence:
        """Returns the evidence of an attempt that starts now."""
        attempt = AttemptEvidence(
            evidence=self,
            route=route,
            is_new=is_new,
            started_ms=self.now_ms(),
        )
        self._running.add(attempt)
        return attempt

    def examine_running(self) -> None:
        """Counts the attempts under way that are already slow."""
        for attempt in tuple(self._running):
            attempt.examine()

    def add(self, counts: EvidenceCounts, *, is_new: bool) -> None:
        """Adds counts of an attempt at one of the versions."""
        if is_new:
            self._new = self._new.plus(counts)
        else:
            self._old = self._old.plus(counts)

    def discard(self, attempt: AttemptEvidence) -> None:
        """Removes an attempt that has ended."""
        self._running.discard(attempt)

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""
        return self._clock.monotonic_ms()
