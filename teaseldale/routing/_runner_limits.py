"""Request rates to which runners limit all VMs together."""

from teaseldale.logs import StateLog


class RunnerLimits:
    """Limits that runners name in their answers."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._limits_per_s: dict[str, float] = {}  # by runner
        self._log = StateLog(channel='limits')

    def note_answer(self, runner: str, limit_per_s: float | None) -> None:
        """Records the limit of an answer; None if the answer names none."""
        previous_per_s = self._limits_per_s.get(runner)
        if limit_per_s == previous_per_s:
            return
        if limit_per_s is None:
            self._limits_per_s.pop(runner)
        else:
            self._limits_per_s[runner] = limit_per_s
        self._log.changed(
            'runner_limit_changed',
            runner=runner,
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
        )
