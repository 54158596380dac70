"""Step schedule of a move, planned backwards from its deadline."""

import attrs

from teaseldale.notes import VersionMove

_FIRST_PERMILLE = 10
LAST_PERMILLE = 650  # the rest stays at the old version as a baseline
_LATER_PERMILLE = (100, 250, 500, LAST_PERMILLE)
_PERMILLE_PER_PERCENT = 10
# Part of the bound that is planned for, so that random draws seldom reach it.
_EARLY_TARGET_PERCENT = 80
_MIN_STEP_PERCENT = 60  # of the planned time; some versions degrade late


@attrs.frozen(kw_only=True)
class MovePlan:
    """Traffic shares of the steps with the earliest and latest times."""

    shares: tuple[int, ...]  # permille, ascending
    earliest_wall_ms: tuple[int, ...]  # before which no step starts
    latest_wall_ms: tuple[int, ...]  # by which each step should start

    @property
    def last_index(self) -> int:
        """Index of the last step, during which the watch period runs."""
        return len(self.shares) - 1


def make_plan(move: VersionMove, started_wall_ms: int) -> MovePlan:
    """Divides the time before the watch period among the steps.

    However fast evidence arrives, a step lasts at least a fixed part of its
    planned time.
    """
    largest = largest_early_permille(move)
    early_target = largest * _EARLY_TARGET_PERCENT // 100
    early = {min(_FIRST_PERMILLE, early_target), early_target}
    later = {share for share in _LATER_PERMILLE if share > largest}
    shares = tuple(sorted(early | later))
    last_step_ms = move.deadline_wall_ms - move.watch_ms
    ramp_ms = max(0, last_step_ms - started_wall_ms)
    count = len(shares) - 1
    latest = tuple(
        started_wall_ms + ramp_ms * index // count for index in range(count + 1)
    )
    earliest = tuple(
        started_wall_ms + (wall_ms - started_wall_ms) * _MIN_STEP_PERCENT // 100
        for wall_ms in latest
    )
    return MovePlan(
        shares=shares,
        earliest_wall_ms=earliest,
        latest_wall_ms=latest,
    )


def largest_early_permille(move: VersionMove) -> int:
    """Returns the largest share allowed without evidence, in permille."""
    return move.largest_share_percent * _PERMILLE_PER_PERCENT


def share_needs_evidence(move: VersionMove, share_permille: int) -> bool:
    """Returns whether a share exceeds the limit without evidence."""
    return share_permille > largest_early_permille(move)
