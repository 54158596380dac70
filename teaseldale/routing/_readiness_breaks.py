"""Short withdrawals of readiness while refusals do not relieve a VM.

The load balancer takes a VM out of rotation after two failed checks, one
second apart, and brings it back after one success. Kept connections are not
affected.
"""

import random

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics

# Moving connections takes the balancer two seconds, in which the load may rise
# further, so this begins where refusals do.
_FULL_SHARE = 0.75
# One large body is no lasting load.
_FULL_MS = 1000
# Load figures further apart than this do not show a lasting load.
_LONGEST_GAP_MS = 1000
# Long enough for two checks, which are one second apart, and for new
# connections to be made elsewhere.
_BREAK_MS = 3500
# With this interval a VM is ready for more than seven eighths of the time. The
# random part keeps VMs from withdrawing together.
_INTERVAL_MS = 30_000
_INTERVAL_SPREAD_MS = 5000
# The balancer has noticed the withdrawal by then: a connection that is closed
# earlier would be opened at this VM again.
_NOTICED_MS = 1200


@attrs.define(kw_only=True)
class _Times:
    # All monotonic.
    updated_ms: int
    full_since_ms: int | None = None
    break_started_ms: int | None = None
    next_break_ms: int = 0


class ReadinessBreaks:
    """Withdraws readiness briefly while the link stays full."""

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
        elif now_ms - times.break_started_ms >= _BREAK_MS:
            times.break_started_ms = None
            times.full_since_ms = None
            self._log.changed(
                'readiness_restored',
                link_percent=_percent(busiest_share),
            )

    def _start_if_due(self, now_ms: int, busiest_share: float) -> None:
        times = self._times
        if times.full_since_ms is None or now_ms < times.next_break_ms:
            return
        if now_ms - times.full_since_ms < _FULL_MS:
            return
        times.break_started_ms = now_ms
        spread_ms = self._random.randrange(_INTERVAL_SPREAD_MS)
        times.next_break_ms = now_ms + _INTERVAL_MS + spread_ms
        self._metrics.increment('readiness_withdrawals')
        self._log.changed(
            'readiness_withdrawn',
            link_percent=_percent(busiest_share),
        )


def _percent(share: float) -> int:
    return round(share * 100)
