"""Counts of how requests went at the two versions of a move."""

import enum

import attrs

from teaseldale.notes import VersionMove


@enum.unique
class Guard(enum.StrEnum):
    """What a version is compared by; each is a share of its requests."""

    FAILURES = 'failures'
    SLOW_FIRST_TOKENS = 'slow_first_tokens'
    LARGE_TOKEN_GAPS = 'large_token_gaps'


_SLOW_SHARE = 0.05  # a p95 over its limit means more than this
_PERCENT = 100


@attrs.frozen(kw_only=True)
class EvidenceSample:
    """How one request went at a version."""

    route: str
    version: str
    failed: bool
    first_token_ms: int | None  # None if no token came
    largest_gap_ms: int | None  # longest time between tokens


@attrs.frozen(kw_only=True)
class EvidenceCounts:
    """Requests of one version, and those on the wrong side of each guard."""

    requests: int = 0
    failures: int = 0
    slow_first_tokens: int = 0
    large_token_gaps: int = 0

    @property
    def clean(self) -> bool:
        """Whether all requests are on the right side of all guards."""
        return not (
            self.failures or self.slow_first_tokens or self.large_token_gaps
        )

    def of(self, guard: Guard) -> int:
        """Returns the requests on the wrong side of a guard."""
        count: int = getattr(self, guard)
        return count

    def plus(self, other: 'EvidenceCounts') -> 'EvidenceCounts':
        """Adds two counts."""
        return EvidenceCounts(
            requests=self.requests + other.requests,
            failures=self.failures + other.failures,
            slow_first_tokens=self.slow_first_tokens + other.slow_first_tokens,
            large_token_gaps=self.large_token_gaps + other.large_token_gaps,
        )

    def since(self, earlier: 'EvidenceCounts') -> 'EvidenceCounts':
        """Returns what has been added after ``earlier``."""
        return EvidenceCounts(
            requests=self.requests - earlier.requests,
            failures=self.failures - earlier.failures,
            slow_first_tokens=self.slow_first_tokens
            - earlier.slow_first_tokens,
            large_token_gaps=self.large_token_gaps - earlier.large_token_gaps,
        )


@attrs.frozen(kw_only=True)
class VersionPair:
    """Counts of the old and the new version over the same period."""

    old: EvidenceCounts = EvidenceCounts()
    new: EvidenceCounts = EvidenceCounts()

    def plus(self, other: 'VersionPair') -> 'VersionPair':
        """Adds two pairs."""
        return VersionPair(
            old=self.old.plus(other.old),
            new=self.new.plus(other.new),
        )

    def since(self, earlier: 'VersionPair') -> 'VersionPair':
        """Returns what has been added after ``earlier``."""
        return VersionPair(
            old=self.old.since(earlier.old),
            new=self.new.since(earlier.new),
        )


def counts_of(sample: EvidenceSample, move: VersionMove) -> EvidenceCounts:
    """Judges one request by the limits of a move."""
    no_token = sample.failed and sample.first_token_ms is None
    first_token_ms = sample.first_token_ms or 0
    return EvidenceCounts(
        requests=1,
        failures=int(sample.failed),
        slow_first_tokens=int(
            no_token or first_token_ms > move.first_token_guard_ms,
        ),
        large_token_gaps=int(
            (sample.largest_gap_ms or 0) > move.token_gap_guard_ms,
        ),
    )


def excess_limit(guard: Guard, move: VersionMove) -> float:
    """Returns by how much a bad version's share exceeds the old one's."""
    if guard is Guard.FAILURES:
        return move.failure_guard_percent / _PERCENT
    return _SLOW_SHARE
