"""Crashes of upstreams under one request or under one part of prompts."""

import collections
from collections.abc import Collection

import attrs

_CRASHES_OF_REQUEST = 2
# Other requests of a crashed upstream have parts too, so that a part needs more
# evidence than a request.
_CRASHES_OF_PART = 3
# Of two parts that were in the same crashes, the cause is in the next one too.
_CRASHES_OF_AMBIGUOUS_PART = 5
# Crashes that are as close as this are one moment. VMs know the time of a crash
# to within a call to the store.
_MOMENT_MS = 60
# Time until all VMs have reported what they sent to a crashed upstream.
SETTLING_MS = 150


@attrs.frozen(kw_only=True)
class Suspect:
    """A request, or a part of prompts, that may have crashed an upstream."""

    key: str  # the same for all of its attempts
    part_position: int | None = None  # in the prompt; None for a request


@attrs.frozen(kw_only=True)
class _Attempt:
    started_ms: int  # monotonic
    crashed_ms: int  # monotonic


@attrs.define(kw_only=True)
class CrashHistory:
    """The known crashes under one suspect, by upstream."""

    part_position: int | None = None  # None for a request
    attempts: dict[str, _Attempt] = attrs.field(factory=dict)

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Returns the upstreams that crashed."""
        return tuple(sorted(self.attempts))

    @property
    def last_crash_ms(self) -> int:
        """Returns the monotonic time of the last crash."""
        return max(attempt.crashed_ms for attempt in self.attempts.values())

    @property
    def needed_crashes(self) -> int:
        """Returns the number of crashes that are put down to the suspect."""
        if self.part_position is None:
            return _CRASHES_OF_REQUEST
        return _CRASHES_OF_PART

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Orders suspects: most crashes first, then the narrowest one.

        A request is narrower than its parts, and a part is narrower than
        those before it, which more prompts share.
        """
        position = self.part_position
        return -self._count_moments(()), position is not None, -(position or 0)

    def add(self, upstream: str, *, started_ms: int, crashed_ms: int) -> None:
        """Adds a crash; both times are monotonic."""
        self.attempts[upstream] = _Attempt(
            started_ms=started_ms,
            crashed_ms=crashed_ms,
        )

    def pop_before(self, time_ms: int) -> tuple[str, ...]:
        """Removes the crashes before a time and returns their upstreams."""
        upstreams = tuple(
            upstream
            for upstream, attempt in self.attempts.items()
            if attempt.crashed_ms < time_ms
        )
        for upstream in upstreams:
            self.attempts.pop(upstream)
        return upstreams

    def count(self, excluded: Collection[str], *, until_ms: int) -> int:
        """Counts crashes without a common cause, but for those excluded.

        Under a request, crashes whose attempts overlapped count as one. Under a
        part of prompts, which many run at any time, crashes at one moment do,
        and those after the monotonic time ``until_ms`` do not count yet.
        """
        if self.part_position is None:
            return self._count_separate(excluded)
        later = {
            upstream
            for upstream, attempt in self.attempts.items()
            if attempt.crashed_ms > until_ms
        }
        return self._count_moments(later.union(excluded))

    def _count_moments(self, excluded: Collection[str]) -> int:
        count = 0
        began_ms: int | None = None
        for attempt in self._sorted_attempts(excluded):
            if began_ms is None or attempt.crashed_ms - began_ms >= _MOMENT_MS:
                count += 1
                began_ms = attempt.crashed_ms
        return count

    def _count_separate(self, excluded: Collection[str]) -> int:
        count = 0
        last_ms: int | None = None
        for attempt in self._sorted_attempts(excluded):
            if last_ms is None or attempt.started_ms >= last_ms:
                count += 1
                last_ms = attempt.crashed_ms
        return count

    def _sorted_attempts(self, excluded: Collection[str]) -> list[_Attempt]:
        return sorted(
            (
                attempt
                for upstream, attempt in self.attempts.items()
                if upstream not in excluded
            ),
            key=_end_of,
        )


def find_culprits(
    histories: dict[str, CrashHistory],
    known: frozenset[str],
    *,
    now_ms: int,
) -> frozenset[str]:
    """Returns the keys of the suspects that crashes are put down to.

    A crash has one cause, the suspect with the most crashes. It explains its
    crashes for parts of prompts even while it lacks crashes itself: parts that
    many prompts share are known to be sound a moment later. Requests, which
    have fewer crashes than their parts, and ``known`` culprits are explained
    by culprits only.
    """
    culprits: set[str] = set()
    explained_by_culprits: set[str] = set()
    explained: set[str] = set()
    alike = collections.Counter(map(_evidence_of, histories.values()))
    ranked = sorted(histories.items(), key=_rank_of)
    for key, history in ranked:
        is_new_part = history.part_position is not None and key not in known
        excluded = explained if is_new_part else explained_by_culprits
        needed = history.needed_crashes
        if is_new_part and alike[_evidence_of(history)] > 1:
            needed = _CRASHES_OF_AMBIGUOUS_PART
        if history.count(excluded, until_ms=now_ms - SETTLING_MS) >= needed:
            culprits.add(key)
            explained_by_culprits.update(history.attempts)
        explained.update(history.attempts)
    return frozenset(culprits)


def _evidence_of(history: CrashHistory) -> tuple[int | None, frozenset[str]]:
    return history.part_position, frozenset(history.attempts)


def _rank_of(entry: tuple[str, CrashHistory]) -> tuple[int, bool, int]:
    return entry[1].rank


def _end_of(attempt: _Attempt) -> int:
    return attempt.crashed_ms
