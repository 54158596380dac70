"""Time windows over which the two versions of a move are compared.

Windows restart when they end and have doubling lengths, so that a version that
degrades late is not masked by its earlier results. Each window is a separate
test, and later tests get smaller parts of the error rate: with k = n + 1, the
n-th one gets 1 / (2.11 * k * log(k) ** 2), which sums up to 1. One more test,
with a fixed part of the error rate, covers the whole time.
"""

import math

import attrs

from teaseldale.moves._evidence import VersionPair

_PERIODS_MS = (10_000, 20_000, 40_000, 80_000, 160_000)
_SUM_OF_SHARES = 2.11
_WHOLE_TIME_SHARE = 0.25  # of the error rate, for the whole-time test


@attrs.frozen(kw_only=True)
class Window:
    """Counts within one window and its part of the error rate."""

    pair: VersionPair
    error_share: float


@attrs.define(kw_only=True)
class _Period:
    length_ms: int
    start_ms: int
    number: int
    base: VersionPair


class EvidenceWindows:
    """Restarting comparison windows over one pair of cumulative counts."""

    def __init__(self) -> None:
        """Creates an instance without windows."""
        self._periods: list[_Period] = []
        self._started_count = 0

    def restart(self, now_ms: int, total: VersionPair) -> None:
        """Restarts all windows, as after a change of the share."""
        self._periods = [
            self._new_period(length_ms, now_ms, total)
            for length_ms in _PERIODS_MS
        ]

    def advance(self, now_ms: int, total: VersionPair) -> list[Window]:
        """Returns the whole-time window, then the current windows.

        Windows whose length has elapsed restart.
        """
        if not self._periods:
            self.restart(now_ms, total)
        windows = [Window(pair=total, error_share=_WHOLE_TIME_SHARE)]
        for index, period in enumerate(self._periods):
            windows.append(
                Window(
                    pair=total.since(period.base),
                    error_share=_error_share(period.number),
                ),
            )
            if now_ms - period.start_ms >= period.length_ms:
                self._periods[index] = self._new_period(
                    period.length_ms,
                    now_ms,
                    total,
                )
        return windows

    def _new_period(
        self,
        length_ms: int,
        now_ms: int,
        total: VersionPair,
    ) -> _Period:
        self._started_count += 1
        return _Period(
            length_ms=length_ms,
            start_ms=now_ms,
            number=self._started_count,
            base=total,
        )


def _error_share(number: int) -> float:
    rank = number + 1
    share = 1 / (_SUM_OF_SHARES * rank * math.log(rank) ** 2)
    return share * (1 - _WHOLE_TIME_SHARE)
