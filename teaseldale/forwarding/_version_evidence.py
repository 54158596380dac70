"""Outcome counts of this VM's requests at both versions of an order."""

import attrs

from teaseldale.moves import EvidenceCounts, VersionPair

# An answer counts as slow if it takes longer than this multiple of the average
# time at the old version: versions that are rolled back for their slowness take
# several times as long.
_SLOW_FACTOR = 2.5
# Lower bound, as answers of a few ms vary by more than their own duration.
_MIN_SLOW_MS = 100
_AVERAGE_WEIGHT = 0.05  # of the latest answer in the moving average


@attrs.define(kw_only=True)
class VersionEvidence:
    """Outcome counts since an order, with the old version's latencies."""

    old: EvidenceCounts = EvidenceCounts()
    new: EvidenceCounts = EvidenceCounts()
    # Moving average of the time to an answer's head at the old version, by
    # route.
    _average_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def pair(self) -> VersionPair:
        """Returns the counts of both versions."""
        return VersionPair(old=self.old, new=self.new)

    def note(
        self,
        *,
        route: str,
        is_new: bool,
        has_failed: bool,
        answer_ms: int | None,
    ) -> None:
        """Counts a request; ``answer_ms`` is None without an answer."""
        counted = EvidenceCounts(
            requests=1,
            failures=int(has_failed),
            slow_first_tokens=int(self._is_slow(route, answer_ms)),
        )
        if is_new:
            self.new = self.new.plus(counted)
            return
        self.old = self.old.plus(counted)
        if answer_ms is not None:
            average_ms = self._average_ms.get(route, float(answer_ms))
            step_ms = (answer_ms - average_ms) * _AVERAGE_WEIGHT
            self._average_ms[route] = average_ms + step_ms

    def _is_slow(self, route: str, answer_ms: int | None) -> bool:
        if answer_ms is None:
            return True
        average_ms = self._average_ms.get(route)
        if average_ms is None:
            return False
        return answer_ms > max(average_ms * _SLOW_FACTOR, _MIN_SLOW_MS)
