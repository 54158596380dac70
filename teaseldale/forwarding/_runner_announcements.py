"""What runners have announced of themselves in their answers."""

from collections.abc import Iterable

from teaseldale.forwarding._runners import ForwardingRunner, RunnerDirectory
from teaseldale.forwarding._wire import Announcement
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.routing import BaseLeavingRunners, RunnerLimits

_FROM_ANSWER = 'answer'
_FROM_VM = 'vm'


class RunnerAnnouncements(BaseLeavingRunners):
    """Applies announcements, each to the incarnation that made it."""

    def __init__(
        self,
        *,
        directory: RunnerDirectory,
        limits: RunnerLimits,
        metrics: Metrics,
    ) -> None:
        """Marks leaving runners in ``directory``."""
        self._directory = directory
        self._limits = limits
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
        if announcement.is_leaving:
            self._mark_leaving(name, _FROM_ANSWER)

    def note_leaving(self, names: Iterable[str]) -> None:
        """Applies what another VM has read in answers of runners."""
        for name in names:
            self._mark_leaving(name, _FROM_VM)

    def leaving(self) -> tuple[str, ...]:
        """Returns the incarnations that have announced that they leave."""
        return self._directory.announced_leaving()

    def may_send(self, runner: ForwardingRunner) -> bool:
        """Returns whether a request may be sent to this incarnation now."""
        return self._directory.accepts_requests(runner)

    def _mark_leaving(self, name: str, source: str) -> None:
        if not self._directory.mark_leaving(name):
            return
        self._metrics.increment('runners_leaving', source)
        self._log.changed('runner_leaving', runner=name, source=source)
