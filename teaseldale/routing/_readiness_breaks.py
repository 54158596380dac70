"""Withdrawals of readiness while refusals do not relieve a VM.

The load balancer takes a VM out of rotation after two failed checks, one
second apart, and brings it back after one success. Kept connections are not
affected. Callers are assigned by a hash, so that most of the load comes back
with the readiness; the withdrawals therefore get longer while it does.
"""

import random

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics

# Moving connections takes the balancer two seconds, in which the load may rise
# further, so this begins where refusals do.
_FULL_SHARE = 0.75
# One large body is no lasting load. Beyond that, what waits in front of a full
# link grows by up to a second in each second.
_FULL_MS = 500
# Load figures further apart than this do not show a lasting load.
_LONGEST_GAP_MS = 1000
# Two seconds for the balancer's checks, and time to receive what waits in front
# of the link by then.
_FIRST_BREAK_MS = 6000
# Each return of the load costs the callers of some seconds, so that the second
# withdrawal is already long.
_GROWTH = 4
_LONGEST_BREAK_MS = 24_000
# Random part of a withdrawal, so that VMs do not come back together.
_SPREAD_SHARE = 0.2
# A link that is full again this soon has got its callers back.
_RELAPSE_MS = 10_000
# The balancer has noticed the withdrawal by then: a connection that is closed
# earlier would be opened at this VM again.
_NOTICED_MS = 2200


@attrs.define(kw_only=True)
class _Times:
    # All monotonic, but for the length of the latest withdrawal.
    break_ms: int = 0
    updated_ms: int
    full_since_ms: int | None = None
    break_started_ms: int | None = None
    break_ends_ms: int = 0


class ReadinessBreaks:
    """Withdraws readiness while the link stays full."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        """Starts ready."""
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._times = _Times(updated_ms=clock.monotonic_ms())
        self._log = StateLog(channel='capacity')

    @property
    def is_ready(self) -> bool:
        """Returns whether the VM takes new connections."""
        return self._times.break_started_ms is None

    @property
    def is_noticed(self) -> bool:
        """Returns whether new connections go to other VMs by now."""
        started_ms = self._times.break_started_ms
        if started_ms is None:
            return False
        return self._clock.monotonic_ms() - started_ms >= _NOTICED_MS

    def update(self, busiest_share: float) -> None:
        """Starts or ends a withdrawal by the current load of the link."""
        now_ms = self._clock.monotonic_ms()
        times = self._times
        gap_ms = now_ms - times.updated_ms
        times.updated_ms = now_ms
        if busiest_share < _FULL_SHARE or gap_ms > _LONGEST_GAP_MS:
            times.full_since_ms = None
        elif times.full_since_ms is None:
            times.full_since_ms = now_ms
        if times.break_started_ms is None:
            self._start_if_due(now_ms, busiest_share)
        elif now_ms >= times.break_ends_ms:
            times.break_started_ms = None
            times.full_since_ms = None
            self._log.changed(
                'readiness_restored',
                link_percent=_percent(busiest_share),
            )

    def _start_if_due(self, now_ms: int, busiest_share: float) -> None:
        times = self._times
        if times.full_since_ms is None:
            return
        if now_ms - times.full_since_ms < _FULL_MS:
            return
        times.break_ms = self._next_break_ms(times.full_since_ms)
        spread = self._random.uniform(1 - _SPREAD_SHARE, 1)
        times.break_started_ms = now_ms
        times.break_ends_ms = now_ms + round(times.break_ms * spread)
        self._metrics.increment('readiness_withdrawals')
        self._log.changed(
            'readiness_withdrawn',
            link_percent=_percent(busiest_share),
            duration_ms=times.break_ends_ms - now_ms,
        )

    def _next_break_ms(self, full_since_ms: int) -> int:
        """Returns the next length, longer if the load has come back."""
        times = self._times
        ready_ms = full_since_ms - times.break_ends_ms
        if not times.break_ms or ready_ms > _RELAPSE_MS:
            return _FIRST_BREAK_MS
        return min(times.break_ms * _GROWTH, _LONGEST_BREAK_MS)


def _percent(share: float) -> int:
    return round(share * 100)
