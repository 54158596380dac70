"""Counters of request outcomes for the two versions of a move."""

import enum

import attrs

from teaseldale.notes import VersionMove


@enum.unique
class Guard(enum.StrEnum):
    """Criterion of comparison, measured as a share of the requests."""

    FAILURES = 'failures'
    SLOW_FIRST_TOKENS = 'slow_first_tokens'
    LARGE_TOKEN_GAPS = 'large_token_gaps'


_SLOW_SHARE = 0.05  # share of slow requests at which the p95 is at its limit
_PERCENT = 100


@attrs.frozen(kw_only=True)
class EvidenceSample:
    """Outcome of one request at a version."""

    route: str
    version: str
    failed: bool
    first_token_ms: int | None  # None if no token arrived
    largest_gap_ms: int | None  # longest time between tokens


@attrs.frozen(kw_only=True)
class EvidenceCounts:
    """Requests of one version and the violations of each guard."""

    requests: int = 0
    failures: int = 0
    slow_first_tokens: int = 0
    large_token_gaps: int = 0
    unpaced: int = 0  # requests whose time between tokens is not known

    @property
    def clean(self) -> bool:
        """Whether no request violates a guard."""
        return not (
            self.failures or self.slow_first_tokens or self.large_token_gaps
        )

    def count_of(self, guard: Guard) -> int:
        """Returns the number of requests that violate ``guard``."""
        count: int = getattr(self, guard)
        return count

    def trials_of(self, guard: Guard) -> int:
        """Returns the number of requests that are judged by ``guard``."""
        if guard is Guard.LARGE_TOKEN_GAPS:
            return self.requests - self.unpaced
        return self.requests

    def plus(self, other: 'EvidenceCounts') -> 'EvidenceCounts':
        """Returns the sum of both counts."""
        return EvidenceCounts(
            requests=self.requests + other.requests,
            failures=self.failures + other.failures,
            slow_first_tokens=self.slow_first_tokens + other.slow_first_tokens,
            large_token_gaps=self.large_token_gaps + other.large_token_gaps,
            unpaced=self.unpaced + other.unpaced,
        )

    def since(self, earlier: 'EvidenceCounts') -> 'EvidenceCounts':
        """Returns the difference to an ``earlier`` snapshot."""
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
        """Returns the sum of both pairs."""
        return VersionPair(
            old=self.old.plus(other.old),
            new=self.new.plus(other.new),
        )

    def since(self, earlier: 'VersionPair') -> 'VersionPair':
        """Returns the difference to an ``earlier`` snapshot."""
        return VersionPair(
            old=self.old.since(earlier.old),
            new=self.new.since(earlier.new),
        )


def counts_of(sample: EvidenceSample, move: VersionMove) -> EvidenceCounts:
    """Returns the counts of one request under the limits of a move."""
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
    """Returns the excess over the old version's share that a guard allows."""
    if guard is Guard.FAILURES:
        return move.failure_guard_percent / _PERCENT
    return _SLOW_SHARE
