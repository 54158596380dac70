"""How this VM's requests go at both versions of an order."""

import attrs

from teaseldale.moves import EvidenceCounts, VersionPair

# An answer that takes longer than this multiple of the usual time at the old
# version counts as slow: versions that are worth taking back for their
# slowness take several times as long.
_SLOW_FACTOR = 2.5
# Answers of some ms vary by more than their own length.
_SLOW_LEAST_MS = 100
_WEIGHT = 0.05  # of the newest answer in the usual time


@attrs.define(kw_only=True)
class VersionEvidence:
    """Counts of requests since an order, and what is usual."""

    old: EvidenceCounts = EvidenceCounts()
    new: EvidenceCounts = EvidenceCounts()
    # Usual time to the head of an answer at the old version, by route.
    _usual_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def pair(self) -> VersionPair:
        """Counts of both versions."""
        return VersionPair(old=self.old, new=self.new)

    def note(
        self,
        *,
        route: str,
        is_new: bool,
        has_failed: bool,
        answer_ms: int | None,
    ) -> None:
        """Counts a request; ``answer_ms`` is None if no answer came."""
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
            usual_ms = self._usual_ms.get(route, float(answer_ms))
            step_ms = (answer_ms - usual_ms) * _WEIGHT
            self._usual_ms[route] = usual_ms + step_ms

    def _is_slow(self, route: str, answer_ms: int | None) -> bool:
        if answer_ms is None:
            return True
        usual_ms = self._usual_ms.get(route)
        if usual_ms is None:
            return False
        return answer_ms > max(usual_ms * _SLOW_FACTOR, _SLOW_LEAST_MS)
