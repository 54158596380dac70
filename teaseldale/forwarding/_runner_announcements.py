"""What runners have announced of themselves in their answers."""

from collections.abc import Collection, Iterable, Mapping

from teaseldale.clock import BaseClock
from teaseldale.forwarding._cold_entries import ColdEntries
from teaseldale.forwarding._configuration import ForwardingService
from teaseldale.forwarding._runner_pauses import RunnerPauses
from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.forwarding._wire import Announcement
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import BaseLeavingRunners, RunnerLimits, RunnerRooms

_FROM_ANSWER = 'answer'
_FROM_VM = 'vm'


class RunnerAnnouncements(BaseLeavingRunners):
    """Applies announcements, each to the incarnation that made it."""

    def __init__(
        self,
        *,
        directory: RunnerDirectory,
        limits: RunnerLimits,
        rooms: RunnerRooms,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Marks leaving runners in ``directory``."""
        self._directory = directory
        self._limits = limits
        self._rooms = rooms
        self._pauses = RunnerPauses(clock=clock)
        self._cold = ColdEntries(
            cold=limits.cold,
            clock=clock,
            metrics=metrics,
        )
        self._metrics = metrics
        self._log = StateLog(channel='announcements')

    def note_answer(
        self,
        runner: ForwardingRunner,
        announcement: Announcement,
    ) -> None:
        """Applies the announcement in an answer of ``runner``."""
        name = runner.incarnation_name
        self._limits.note_answer(name, announcement.limit_per_s)
        if announcement.pause_ms is not None:
            self._metrics.increment('runner_pauses')
            self._pauses.note(name, announcement.pause_ms)
        if announcement.is_leaving:
            self._mark_leaving(name, _FROM_ANSWER)
        self._rooms.note_answer(name, announcement.tolerated_rejections)

    def note_entries(
        self,
        runners: Iterable[ForwardingRunner],
        services: Mapping[str, ForwardingService],
    ) -> None:
        """Applies what runners state of themselves in their entries."""
        self._cold.apply(runners, services)

    def note_leaving(self, names: Iterable[str]) -> None:
        """Applies what another VM has read in answers of runners."""
        for name in names:
            self._mark_leaving(name, _FROM_VM)

    def leaving(self) -> tuple[str, ...]:
        """Returns the incarnations that have announced that they leave."""
        return self._directory.announced_leaving()

    def keep_only(self, runners: Collection[str]) -> None:
        """Drops what incarnations that have ended have announced."""
        self._limits.keep_only(runners)
        self._rooms.keep_only(runners)
        self._pauses.keep_only(runners)

    def paused_for_ms(self, runner: ForwardingRunner) -> float:
        """Returns the rest of the pause that a runner asks of this VM."""
        return self._pauses.left_ms(runner.incarnation_name)

    def note_rejection(self, runner: ForwardingRunner) -> None:
        """Counts a request that a runner has rejected, by what it says."""
        name = runner.incarnation_name
        reason = 'plain'
        if self.paused_for_ms(runner):
            reason = 'paused'
        elif self._rooms.is_brittle(name):
            reason = 'brittle'
            self._rooms.note_rejection(name)
        self._metrics.increment('runner_rejections', reason)

    def find_objection(self, runner: ForwardingRunner) -> str | None:
        """Returns why nothing may be sent to an incarnation now, or None.

        The reason is the label of a counter.
        """
        if not self._directory.accepts_requests(runner):
            return 'runner_leaving'
        if runner.availability_zone in self._directory.evacuated_zones:
            return 'zone_evacuated'
        if self.paused_for_ms(runner):
            return 'runner_paused'
        return None

    def _mark_leaving(self, name: str, source: str) -> None:
        if not self._directory.mark_leaving(name):
            return
        self._metrics.increment('runners_leaving', source)
        self._log.changed('runner_leaving', runner=name, source=source)
