"""Service that logs the load of this VM and its network links.

A slow VM can be short of CPU time, of bandwidth or of answers from the store.
One log line per second distinguishes these causes.
"""

import time
from collections.abc import Callable

import attrs
from anyio.abc import TaskGroup

from teaseldale.clock import BaseClock
from teaseldale.forwarding._link_totals import TRAFFIC_PEERS
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import LinkLoad, VmCapacity

_REPORT_INTERVAL_MS = 1000
# Sleep interval whose overrun is the event loop lag. It is short compared with
# the lags that delay callers.
_SAMPLE_INTERVAL_MS = 250
# Counters of control-plane work: done for the fleet, not for one request.
CONTROL_COUNTERS = (
    'store_calls',
    'store_bytes_sent',
    'store_bytes_received',
    'datagrams_sent',
    'datagram_bytes_sent',
    'datagrams_received',
    'datagram_bytes_received',
    'grant_conflicts',
    'notices_sent',
    'notice_bytes_sent',
)
# Counters of the work for requests.
TRAFFIC_COUNTERS = (
    'caller_connections',
    *(
        f'{peer}_bytes_{direction}'
        for peer in TRAFFIC_PEERS
        for direction in ('received', 'sent')
    ),
    'runner_connections_opened',
)
_REPORTED_COUNTERS = CONTROL_COUNTERS + TRAFFIC_COUNTERS
_PERCENT = 100


@attrs.define(kw_only=True)
class _Window:
    started_ms: int  # monotonic
    cpu_ms: float  # CPU time of the process at the start
    counts: dict[str, int]
    longest_lag_ms: int = 0


class VmLoadReporter(BaseService):
    """Logs loop lag, CPU time and traffic once per second."""

    def __init__(
        self,
        *,
        runners_age_ms: Callable[[], int],
        capacity: VmCapacity,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Reports the counters in ``metrics`` and the age of the runners.

        The age is the time since the store last confirmed the list of runners.
        The figures of ``capacity`` are updated at each sample.
        """
        self._runners_age_ms = runners_age_ms
        self._capacity = capacity
        self._clock = clock
        self._metrics = metrics
        self._log = StateLog(channel='load')

    @property
    def name(self) -> str:
        """Returns the service name."""
        return 'vm_load'

    async def start(self, tasks: TaskGroup) -> None:
        """Starts the sampling task."""
        tasks.start_soon(self._watch)

    async def _watch(self) -> None:
        window = self._window()
        while True:
            before_ms = self._clock.monotonic_ms()
            await self._clock.sleep_ms(_SAMPLE_INTERVAL_MS)
            now_ms = self._clock.monotonic_ms()
            lag_ms = now_ms - before_ms - _SAMPLE_INTERVAL_MS
            window.longest_lag_ms = max(window.longest_lag_ms, lag_ms)
            load = self._capacity.update()
            if now_ms - window.started_ms >= _REPORT_INTERVAL_MS:
                self._write(window, now_ms, load)
                window = self._window()

    def _window(self) -> _Window:
        return _Window(
            started_ms=self._clock.monotonic_ms(),
            cpu_ms=_cpu_ms(),
            counts={
                name: self._metrics.counter_value(name)
                for name in _REPORTED_COUNTERS
            },
        )

    def _write(self, window: _Window, now_ms: int, load: LinkLoad) -> None:
        received_percent = round(load.received_share * _PERCENT)
        sent_percent = round(load.sent_share * _PERCENT)
        self._metrics.set_gauge('link_received_percent', received_percent)
        self._metrics.set_gauge('link_sent_percent', sent_percent)
        self._metrics.set_gauge('loop_lag_ms', window.longest_lag_ms)
        self._metrics.record_ms('loop_lag', window.longest_lag_ms)
        self._log.routine(
            'vm_load',
            window_ms=now_ms - window.started_ms,
            loop_lag_ms=window.longest_lag_ms,
            runners_age_ms=self._runners_age_ms(),
            cpu_ms=int(_cpu_ms() - window.cpu_ms),
            link_received_percent=received_percent,
            link_sent_percent=sent_percent,
            link_age_ms=load.age_ms,
            **{
                name: self._metrics.counter_value(name) - before
                for name, before in window.counts.items()
            },
        )


def _cpu_ms() -> float:
    return time.process_time() * _REPORT_INTERVAL_MS
