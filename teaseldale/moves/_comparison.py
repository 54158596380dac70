"""Statistical comparison of the old and the new version of a move.

A guard reports the new version as worse if, within some window, its share of
bad requests exceeds that of the old version over the whole move by at least
half of the guard's limit, and if the requests of the old version in the same
window make a common degradation of both versions unlikely.

Error rates, for any number of evaluations:

- a version whose share of bad requests exceeds the old one's by at most half
  of a guard's limit is reported as worse with probability at most
  ``ERROR_RATE``, over all guards, zones and windows of a move together, if
  the old version's share does not change during the move;
- if both versions degrade together, the new one is reported as worse with
  probability at most ``COMMON_ERROR_RATE`` in each window;
- a version whose excess would add more than the limit to all of the traffic
  is accepted for a share of traffic with probability at most
  ``STEP_ERROR_RATE`` for each guard.
"""

import math
from collections.abc import Sequence

import attrs

from teaseldale.moves._evidence import (
    EvidenceCounts,
    Guard,
    VersionPair,
    excess_limit,
)
from teaseldale.moves._sequential import (
    Sample,
    difference_bound,
    lower_bound,
    upper_bound,
)
from teaseldale.moves._windows import Window
from teaseldale.notes import VersionMove

ERROR_RATE = 0.01
COMMON_ERROR_RATE = 0.1
STEP_ERROR_RATE = 0.05
_ARMS = 2
_HALF = 0.5
_MANY_REQUESTS = 300  # from here on the normal approximation holds
_PERMILLE = 1000


@attrs.frozen(kw_only=True)
class Finding:
    """Guard that the new version violates, with the counts."""

    guard: Guard
    place: str  # availability zone, or "all zones"
    pair: VersionPair

    @property
    def text(self) -> str:
        """Description of the violation for operators."""
        new = self.pair.new
        old = self.pair.old
        return (
            f'{self.guard} in {self.place}: {new.count_of(self.guard)} of '
            f'{new.trials_of(self.guard)} requests at the new version, '
            f'{old.count_of(self.guard)} of {old.trials_of(self.guard)} at the '
            'old one'
        )


def find_violation(
    move: VersionMove,
    windows: Sequence[Window],
    *,
    reference: EvidenceCounts,
    place: str,
    error_share: float = 1,
) -> Finding | None:
    """Returns the first guard that the new version violates, or None.

    ``reference`` counts the old version's requests since the move started.
    ``error_share`` is the part of ``ERROR_RATE`` allotted to ``place``.
    """
    error_rate = ERROR_RATE * error_share / (len(Guard) * _ARMS)
    for guard in Guard:
        limit = _reference_limit(move, reference, guard, error_rate)
        for window in windows:
            window_rate = error_rate * window.error_share
            if _is_worse(window.pair, reference, guard, limit, window_rate):
                return Finding(guard=guard, place=place, pair=window.pair)
    return None


def inconclusive_guard(
    move: VersionMove,
    pair: VersionPair,
    next_permille: int,
) -> Guard | None:
    """Returns a guard whose evidence does not allow the next share, or None.

    The evidence suffices if the new version, at the next share, adds at most
    the guard's limit to all of the traffic.
    """
    for guard in Guard:
        allowed = excess_limit(guard, move) * _PERMILLE / next_permille
        if _largest_excess(pair, guard) > allowed:
            return guard
    return None


def unproven_guard(
    pair: VersionPair,
    *,
    allowed_excess: float,
) -> Guard | None:
    """Returns a guard whose evidence does not exclude a larger excess.

    A guard that judges no request of the old version does not apply.
    """
    for guard in Guard:
        if pair.old.requests and not pair.old.trials_of(guard):
            continue
        if _largest_excess(pair, guard) > allowed_excess:
            return guard
    return None


def _reference_limit(
    move: VersionMove,
    reference: EvidenceCounts,
    guard: Guard,
    error_rate: float,
) -> float:
    # One bound over the whole move, so that the windows do not have to split
    # its error rate.
    margin = excess_limit(guard, move) / 2
    trials = reference.trials_of(guard)
    if not trials:
        return 1
    count = reference.count_of(guard)
    return upper_bound(count, trials, error_rate) + margin


def _is_worse(
    pair: VersionPair,
    reference: EvidenceCounts,
    guard: Guard,
    limit: float,
    error_rate: float,
) -> bool:
    count = pair.new.count_of(guard)
    trials = pair.new.trials_of(guard)
    if min(count, trials) <= 0:
        # The counts of a replaced VM are missing from later totals, so that
        # the difference can be empty or negative.
        return False
    if count / trials <= limit:
        return False
    lower = lower_bound(count, trials, error_rate)
    if lower <= limit:
        return False
    return _is_reference_stable(pair.old, reference, guard, lower)


def _is_reference_stable(
    old: EvidenceCounts,
    reference: EvidenceCounts,
    guard: Guard,
    alternative: float,
) -> bool:
    trials = reference.trials_of(guard)
    expected = (reference.count_of(guard) + _HALF) / (trials + 1)
    bad = old.count_of(guard)
    clean = old.trials_of(guard) - bad
    log_ratio = bad * math.log(expected / alternative)
    log_ratio += clean * (math.log1p(-expected) - math.log1p(-alternative))
    return log_ratio >= -math.log(COMMON_ERROR_RATE)


def _largest_excess(pair: VersionPair, guard: Guard) -> float:
    new_trials = pair.new.trials_of(guard)
    old_trials = pair.old.trials_of(guard)
    if not new_trials or not old_trials:
        return 1
    new_count = pair.new.count_of(guard)
    old_count = pair.old.count_of(guard)
    if min(new_trials, old_trials) >= _MANY_REQUESTS:
        return difference_bound(
            Sample(count=new_count, trials=new_trials),
            Sample(count=old_count, trials=old_trials),
            STEP_ERROR_RATE,
        )
    error_rate = STEP_ERROR_RATE / _ARMS
    upper = upper_bound(new_count, new_trials, error_rate)
    lower = lower_bound(old_count, old_trials, error_rate)
    return upper - lower
