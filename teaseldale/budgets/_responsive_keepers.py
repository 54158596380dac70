"""Order in which the keepers of an account are asked."""

from teaseldale.budgets._round_trips import RoundTrips
from teaseldale.clock import BaseClock
from teaseldale.members import AccountKeepers, VmEntry
from teaseldale.metrics import Metrics

# Period during which an unresponsive keeper is asked last.
_SUSPICION_MS = 2000
# Period in which a keeper that has answered is asked again after a loss.
_RECENT_MS = 3000
# Period in which a keeper that was short of tokens is asked after others.
_SHORTAGE_MS = 500
# Period in which a keeper of an earlier build that refused the sum of all
# waiting requests is asked for the smallest one only.
_SINGLE_MS = 500


class ResponsiveKeepers:
    """Orders keepers by what their answers, or the lack of them, indicate."""

    def __init__(
        self,
        *,
        keepers: AccountKeepers,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Starts without any answers."""
        self._keepers = keepers
        self._clock = clock
        self._metrics = metrics
        self.round_trips = RoundTrips()
        self._answered_ms: dict[str, int] = {}  # by VM name
        self._suspected_until_ms: dict[str, int] = {}  # by VM name
        # By account and VM name.
        self._short_until_ms: dict[tuple[str, str], int] = {}
        self._single_until_ms: dict[tuple[str, str], int] = {}
        self._earlier_builds: set[str] = set()  # VM names

    def in_order(self, account: str) -> list[tuple[str, VmEntry]]:
        """Returns keepers; those short of tokens later, silent ones last."""
        now_ms = self._clock.monotonic_ms()
        return sorted(
            self._keepers.keepers_of(account).items(),
            key=lambda keeper: (
                self._suspected_until_ms.get(keeper[0], 0) > now_ms,
                self._short_until_ms.get((account, keeper[0]), 0) > now_ms,
            ),
        )

    def is_known(self, name: str) -> bool:
        """Whether a keeper has answered recently, so that a loss is likely."""
        now_ms = self._clock.monotonic_ms()
        answered_ms = self._answered_ms.get(name)
        return answered_ms is not None and now_ms - answered_ms < _RECENT_MS

    def must_be_asked_for_sum(self, account: str, name: str) -> bool:
        """Whether a keeper pays waiting requests only as one amount."""
        if name not in self._earlier_builds:
            return False
        now_ms = self._clock.monotonic_ms()
        return self._single_until_ms.get((account, name), 0) <= now_ms

    def record_refused_sum(self, account: str, name: str) -> None:
        """Records that a keeper refused the sum of all waiting requests."""
        now_ms = self._clock.monotonic_ms()
        self._single_until_ms[account, name] = now_ms + _SINGLE_MS

    def record_answer(self, name: str, *, pays_waiting: bool) -> None:
        """Records that a keeper is reachable, and which draws it pays."""
        if pays_waiting:
            self._earlier_builds.discard(name)
        else:
            self._earlier_builds.add(name)
        self._suspected_until_ms.pop(name, None)
        self._answered_ms[name] = self._clock.monotonic_ms()

    def record_shortage(self, account: str, name: str) -> None:
        """Records that a keeper paid less than was asked for."""
        now_ms = self._clock.monotonic_ms()
        self._short_until_ms[account, name] = now_ms + _SHORTAGE_MS

    def suspect(self, name: str) -> None:
        """Records that a keeper did not answer in time."""
        self._metrics.increment('keepers_silent')
        self._suspected_until_ms[name] = (
            self._clock.monotonic_ms() + _SUSPICION_MS
        )
