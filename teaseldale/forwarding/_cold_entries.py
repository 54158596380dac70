"""Which runners are cold by their entries and start times."""

from collections.abc import Iterable, Mapping

from teaseldale.clock import BaseClock
from teaseldale.forwarding._configuration import ForwardingService
from teaseldale.forwarding._runners import ForwardingRunner
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import ColdLimits, ColdStatement


class ColdEntries:
    """Applies entries of runners to the limits of cold runners."""

    def __init__(
        self,
        *,
        cold: ColdLimits,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Compares start times of runners with the wall time of ``clock``."""
        self._cold = cold
        self._clock = clock
        self._metrics = metrics
        self._log = StateLog(channel='limits')

    def apply(
        self,
        runners: Iterable[ForwardingRunner],
        services: Mapping[str, ForwardingService],
    ) -> None:
        """Applies entries; runners of services without cold ones are warm."""
        for runner in runners:
            service = services.get(runner.service)
            if service is None or service.cold_limit_per_s <= 0:
                self._cold.forget(runner.incarnation_name)
            else:
                self._apply_entry(runner, service)

    def _apply_entry(
        self,
        runner: ForwardingRunner,
        service: ForwardingService,
    ) -> None:
        if runner.cold_left_ms is None:
            self._metrics.increment('cold_states_unreadable')
            self._log.changed(
                'cold_state_unreadable',
                runner=runner.incarnation_name,
                reason='not a number of milliseconds; counts as warm',
            )
        self._cold.note_entry(
            runner.incarnation_name,
            ColdStatement(
                limit_per_s=service.cold_limit_per_s,
                left_ms=max(
                    runner.cold_left_ms or 0,
                    self._left_after_start_ms(runner, service),
                ),
                revision=runner.revision,
            ),
        )

    def _left_after_start_ms(
        self,
        runner: ForwardingRunner,
        service: ForwardingService,
    ) -> float:
        """Returns the rest of the period after a start, at least 0.

        A clock that differs from that of the runner prolongs no period beyond
        its length.
        """
        age_ms = max(0, self._clock.wall_ms() - runner.started_wall_ms)
        return max(0, service.cold_start_ms - age_ms)
