"""Learned pace of runners: how fast each reads prompts and answers.

Every VM learns from the answers that it receives, from the runners' own
reports, and from what the other VMs of its cell have observed. Durations are
filtered with a time constant of about a second.
"""

import math
import statistics
from collections.abc import Iterable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.routing._pace_agreement import (
    Agreement,
    AgreementCache,
    WeightedLog,
    combine,
)
from teaseldale.routing._pace_messages import (
    MAX_OBSERVATION_BYTES,
    ObservedSlowdown,
    PaceObservation,
    incarnation_code,
    is_later_incarnation,
)
from teaseldale.routing._placement_messages import runner_code
from teaseldale.routing._work_pace import WorkPace, WorkSample

# A report changes many times per second; a request takes longer than that.
_SLOWDOWN_TIME_CONSTANT_MS = 300
_MIN_SLOWDOWN = 0.1
_MAX_SLOWDOWN = 10.0  # more is a stall, and its end is not reported
_SLOWDOWN_VALID_MS = 2000  # an older report no longer applies
# The time to the first event of a shorter prompt is mostly that of a decoding
# step and of the network.
_MIN_UNREAD_TOKENS = 200
_TYPICAL_UNREAD_TOKENS = 2000  # weigh as one sample
_MAX_SAMPLE_WEIGHT = 3.0
# Values of runners that are not known yet.
_UNKNOWN_PREFILL_TOKENS_PER_MS = 64.0
_UNKNOWN_PLAIN_MS = 20.0
# Differences within this factor are noise: equal runners count as equal.
_EQUAL_FACTOR = 1.2
_MAX_RELATIVE = 20.0
# A runner without samples for the first time is taken for average again within
# about the second one, so that it is tried again.
_FRESH_MS = 3000
_FORGET_MS = 10_000
# Bound of the factor of a runner of which only one other VM has samples: it is
# not known whether these are true.
_MAX_UNCONFIRMED = 1.5


@attrs.frozen(kw_only=True)
class RunnerPace:
    """Pace of one runner; the values of an unknown one are typical."""

    prefill_tokens_per_ms: float  # up to the knee
    plain_ms: float  # of a request without a prompt, up to the knee
    # Requests in work beyond which latency grows faster than throughput;
    # infinite if no such growth has been seen.
    knee: float
    slowdown: float  # filtered report, included in the paces; 1 if unknown


@attrs.frozen(kw_only=True)
class _ReceivedSlowdown:
    slowdown_log: float
    noted_ms: int  # monotonic, of the report


@attrs.define(kw_only=True)
class _RunnerState:
    incarnation: int | None = None
    prefill: WorkPace = attrs.field(factory=WorkPace)  # ms per token
    plain: WorkPace = attrs.field(factory=WorkPace)  # ms
    slowdown_log: float = 0
    slowdown_ms: int | None = None  # monotonic, of the latest own report
    is_slowdown_unsent: bool = False
    received_code: int | None = None  # incarnation of what was received
    received_slowdowns: dict[str, _ReceivedSlowdown] = attrs.field(factory=dict)
    slowdown_cache: AgreementCache = attrs.field(factory=AgreementCache)

    @property
    def knee(self) -> float:
        has_prompt = self.prefill.measured.noted_ms is not None
        return self.work(has_prompt=has_prompt).knee.knee

    def work(self, *, has_prompt: bool) -> WorkPace:
        return self.prefill if has_prompt else self.plain

    def slowdown(self, now_ms: int) -> float:
        """Returns the current slowdown of all VMs' reports, 1 if unknown."""
        agreement = self.slowdown_cache.find(now_ms, self._compute_slowdown)
        if agreement is None:
            return 1
        slowdown = math.exp(agreement.log_value)
        return slowdown if agreement.is_confirmed else _unconfirmed(slowdown)

    def expects(self, code: int) -> bool:
        """Returns whether received figures of an incarnation are current.

        Drops those of an earlier incarnation.
        """
        if self.incarnation is not None:
            return code == incarnation_code(self.incarnation)
        if self.received_code is None:
            self.received_code = code
        elif is_later_incarnation(code, self.received_code):
            self.drop_received()
            self.received_code = code
        return code == self.received_code

    def drop_received(self) -> None:
        """Forgets what other VMs have observed."""
        self.received_code = None
        self.received_slowdowns.clear()
        self.slowdown_cache.invalidate()
        self.prefill.drop_received()
        self.plain.drop_received()

    def note_received(
        self,
        vm_name: str,
        observation: PaceObservation,
        now_ms: int,
    ) -> None:
        if observation.prefill is not None:
            self.prefill.note_received(vm_name, observation.prefill, now_ms)
        if observation.plain is not None:
            self.plain.note_received(vm_name, observation.plain, now_ms)
        observed = observation.slowdown
        if observed is None:
            return
        noted_ms = now_ms - round(observed.age_ms)
        earlier = self.received_slowdowns.get(vm_name)
        if earlier is None or earlier.noted_ms <= noted_ms:
            self.slowdown_cache.invalidate()
            self.received_slowdowns[vm_name] = _ReceivedSlowdown(
                slowdown_log=math.log(_bounded_slowdown(observed.slowdown)),
                noted_ms=noted_ms,
            )

    def take_unsent(self, runner: str, now_ms: int) -> PaceObservation:
        """Returns and clears what this VM has observed since the last call."""
        slowdown = None
        if self.is_slowdown_unsent and self.slowdown_ms is not None:
            slowdown = ObservedSlowdown(
                slowdown=math.exp(self.slowdown_log),
                age_ms=now_ms - self.slowdown_ms,
            )
        self.is_slowdown_unsent = False
        return PaceObservation(
            runner_code=runner_code(runner),
            incarnation_code=incarnation_code(self.incarnation),
            prefill=self.prefill.take_unsent(now_ms),
            plain=self.plain.take_unsent(now_ms),
            slowdown=slowdown,
        )

    def _compute_slowdown(
        self,
        now_ms: int,
    ) -> tuple[Agreement | None, float]:
        """Returns the agreement and until when it is valid."""
        own = self._own_slowdown(now_ms)
        received = self._valid_received(now_ms)
        times_ms = [
            earlier.noted_ms for earlier in self.received_slowdowns.values()
        ]
        if own is not None and self.slowdown_ms is not None:
            times_ms.append(self.slowdown_ms)
        valid_until_ms = min(times_ms, default=math.inf) + _SLOWDOWN_VALID_MS
        return combine(own, received), valid_until_ms

    def _own_slowdown(self, now_ms: int) -> WeightedLog | None:
        if self.slowdown_ms is None:
            return None
        if now_ms - self.slowdown_ms > _SLOWDOWN_VALID_MS:
            return None
        return WeightedLog(
            log_value=self.slowdown_log,
            weight=_slowdown_weight(self.slowdown_ms, now_ms),
        )

    def _valid_received(self, now_ms: int) -> list[WeightedLog]:
        oldest_ms = now_ms - _SLOWDOWN_VALID_MS
        for vm_name, earlier in tuple(self.received_slowdowns.items()):
            if earlier.noted_ms < oldest_ms:
                self.received_slowdowns.pop(vm_name)
        return [
            WeightedLog(
                log_value=received.slowdown_log,
                weight=_slowdown_weight(received.noted_ms, now_ms),
            )
            for received in self.received_slowdowns.values()
        ]


class RunnerPaces:
    """Paces of all runners that this VM has used, by runner id."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        needs_reports: bool = False,
        metrics: Metrics | None = None,
    ) -> None:
        """Knows no runner.

        With ``needs_reports``, paces count only among runners of which one has
        reported how long work takes there.
        """
        self._clock = clock
        self._needs_reports = needs_reports
        self._metrics = metrics or Metrics()
        self._states: dict[str, _RunnerState] = {}
        # Runners with observations that were not sent, the oldest first.
        self._unsent: dict[str, None] = {}

    def note_incarnation(self, runner: str, started_wall_ms: int) -> bool:
        """Returns whether figures of an incarnation are current ones.

        A later incarnation replaces what is known of earlier ones.
        """
        state = self._state(runner)
        if state.incarnation is not None:
            if started_wall_ms < state.incarnation:
                return False
            if started_wall_ms > state.incarnation:
                state = _RunnerState()
                self._states[runner] = state
        if state.received_code not in (None, incarnation_code(started_wall_ms)):
            state.drop_received()
        state.incarnation = started_wall_ms
        return True

    def take_observations(self, max_bytes: int) -> tuple[PaceObservation, ...]:
        """Returns what this VM has observed itself and not sent yet.

        Returns what fits, runners that wait longest first. Nothing is sent
        while the paces of no runner count.
        """
        now_ms = self._clock.monotonic_ms()
        taken: list[PaceObservation] = []
        if not self.applies_to(self._states):
            return ()
        while self._unsent and max_bytes >= MAX_OBSERVATION_BYTES:
            runner = next(iter(self._unsent))
            self._unsent.pop(runner)
            observation = self._state(runner).take_unsent(runner, now_ms)
            # A new incarnation of the runner drops the figures.
            if observation.has_figures:
                max_bytes -= observation.size_bytes
                taken.append(observation)
                self._metrics.increment('shared_paces', 'sent')
        return tuple(taken)

    def note_received(
        self,
        vm_name: str,
        runner: str,
        observation: PaceObservation,
    ) -> None:
        """Records what another VM has observed about a runner.

        Observations of another incarnation than the current one are ignored.
        """
        state = self._state(runner)
        if not state.expects(observation.incarnation_code):
            self._metrics.increment('shared_paces', 'other_incarnation')
            return
        self._metrics.increment('shared_paces', 'received')
        now_ms = self._clock.monotonic_ms()
        state.note_received(vm_name, observation, now_ms)

    def note_first_event(
        self,
        runner: str,
        unread_tokens: int,
        elapsed_ms: float,
        in_work: int,
    ) -> None:
        """Records the time from a send to the first event of a stream.

        ``unread_tokens`` are the prompt tokens that the runner had to read
        until then, queued prompts of other requests included. ``in_work``
        are the requests at the runner at the send, this one included.
        """
        if unread_tokens < _MIN_UNREAD_TOKENS or not elapsed_ms > 0:
            return
        self._unsent[runner] = None
        weight = min(unread_tokens / _TYPICAL_UNREAD_TOKENS, _MAX_SAMPLE_WEIGHT)
        state = self._state(runner)
        now_ms = self._clock.monotonic_ms()
        state.prefill.note(
            WorkSample(
                duration=elapsed_ms / unread_tokens,
                in_work=in_work,
                weight=weight,
            ),
            state.slowdown(now_ms),
            now_ms,
        )

    def note_plain_answer(
        self,
        runner: str,
        elapsed_ms: float,
        in_work: int,
    ) -> None:
        """Records the service time of a request without prompt tokens.

        ``in_work`` as in ``note_first_event``.
        """
        if elapsed_ms > 0:
            self._unsent[runner] = None
            state = self._state(runner)
            now_ms = self._clock.monotonic_ms()
            state.plain.note(
                WorkSample(duration=elapsed_ms, in_work=in_work),
                state.slowdown(now_ms),
                now_ms,
            )

    def note_slowdown(self, runner: str, slowdown: float) -> None:
        """Records a runner's report; ignores impossible ones."""
        if not math.isfinite(slowdown) or slowdown <= 0:
            return
        now_ms = self._clock.monotonic_ms()
        bounded = _bounded_slowdown(slowdown)
        self._unsent[runner] = None
        state = self._state(runner)
        gain = 1.0
        if state.slowdown_ms is not None:
            silence_ms = max(1, now_ms - state.slowdown_ms)
            gain -= math.exp(-silence_ms / _SLOWDOWN_TIME_CONSTANT_MS)
        state.slowdown_log += gain * (math.log(bounded) - state.slowdown_log)
        state.slowdown_ms = now_ms
        state.is_slowdown_unsent = True
        state.slowdown_cache.invalidate()

    def keep_only(self, runners: frozenset[str]) -> None:
        """Forgets all other runners."""
        for runner in tuple(self._states):
            if runner not in runners:
                self._states.pop(runner)
                self._unsent.pop(runner, None)

    def pace(self, runner: str) -> RunnerPace:
        """Returns the pace of a runner, with typical values if unknown."""
        state = self._states.get(runner) or _RunnerState()
        now_ms = self._clock.monotonic_ms()
        slowdown = state.slowdown(now_ms)
        prefill_ms = state.prefill.current(slowdown, now_ms)
        plain_ms = state.plain.current(slowdown, now_ms)
        return RunnerPace(
            prefill_tokens_per_ms=(
                _UNKNOWN_PREFILL_TOKENS_PER_MS / slowdown
                if prefill_ms is None
                else 1 / prefill_ms
            ),
            plain_ms=(
                _UNKNOWN_PLAIN_MS * slowdown if plain_ms is None else plain_ms
            ),
            knee=state.knee,
            slowdown=slowdown,
        )

    def first_event_ms(
        self,
        runner: str,
        queued_tokens: int,
        own_tokens: int,
        in_work: int,
    ) -> float | None:
        """Returns the expected time to the first event, or None if unknown.

        It is unknown as well if only one other VM has samples. Without tokens
        it is the service time of a plain request. ``in_work`` are the requests
        at the runner, this one included.
        """
        state = self._states.get(runner)
        if state is None:
            return None
        now_ms = self._clock.monotonic_ms()
        unread_tokens = queued_tokens + own_tokens
        work = state.work(has_prompt=bool(unread_tokens))
        duration = work.current(state.slowdown(now_ms), now_ms)
        if duration is None or not work.is_confirmed(now_ms):
            return None
        return duration * max(unread_tokens, 1) * work.knee.stretch(in_work)

    def applies_to(self, runners: Iterable[str]) -> bool:
        """Returns whether the paces of these runners count."""
        if not self._needs_reports:
            return True
        states = (self._states.get(runner) for runner in runners)
        return any(
            state is not None and state.slowdown_ms is not None
            for state in states
        )

    def relative_durations(
        self,
        runners: Iterable[str],
        *,
        has_prompt: bool,
    ) -> dict[str, float]:
        """Returns how many times longer than typical work takes at runners.

        Typical is the median of these runners. The factor of unknown ones is
        their reported slowdown. It is 1 for those that differ no more than
        equal ones do, and approaches 1 if there have been no samples for some
        seconds.
        """
        runners = tuple(runners)
        if not self.applies_to(runners):
            return dict.fromkeys(runners, 1.0)
        now_ms = self._clock.monotonic_ms()
        durations = {
            runner: self._duration(runner, now_ms, has_prompt=has_prompt)
            for runner in runners
        }
        known = [found for found in durations.values() if found is not None]
        typical = statistics.median(known) if known else 1
        are_all_known = bool(known) and len(known) == len(durations)
        if are_all_known and _are_equal(min(known), max(known), typical):
            return dict.fromkeys(durations, 1.0)
        return {
            runner: self._relative(
                runner,
                None if duration is None else duration / typical,
                now_ms,
                has_prompt=has_prompt,
            )
            for runner, duration in durations.items()
        }

    def knees(
        self,
        runners: Iterable[str],
        *,
        has_prompt: bool,
    ) -> dict[str, float]:
        """Returns the knee of each runner; infinite if unknown."""
        runners = tuple(runners)
        if not self.applies_to(runners):
            return dict.fromkeys(runners, math.inf)
        return {
            runner: self._knee(runner, has_prompt=has_prompt)
            for runner in runners
        }

    def _knee(self, runner: str, *, has_prompt: bool) -> float:
        state = self._states.get(runner)
        if state is None:
            return math.inf
        return state.work(has_prompt=has_prompt).knee.knee

    def _relative(
        self,
        runner: str,
        factor: float | None,
        now_ms: int,
        *,
        has_prompt: bool,
    ) -> float:
        state = self._states.get(runner)
        if state is None:
            return 1
        noted_ms: int | None = now_ms
        if factor is None:
            factor = state.slowdown(now_ms)
        else:
            work = state.work(has_prompt=has_prompt)
            noted_ms = work.noted_ms
            if not work.is_confirmed(now_ms):
                factor = _unconfirmed(factor)
        if 1 / _EQUAL_FACTOR <= factor <= _EQUAL_FACTOR:
            return 1
        stale_ms = max(0, now_ms - (noted_ms or 0) - _FRESH_MS)
        bounded = max(1 / _MAX_RELATIVE, min(_MAX_RELATIVE, factor))
        return float(bounded ** math.exp(-stale_ms / _FORGET_MS))

    def _duration(
        self,
        runner: str,
        now_ms: int,
        *,
        has_prompt: bool,
    ) -> float | None:
        state = self._states.get(runner)
        if state is None:
            return None
        work = state.work(has_prompt=has_prompt)
        return work.current(state.slowdown(now_ms), now_ms)

    def _state(self, runner: str) -> _RunnerState:
        return self._states.setdefault(runner, _RunnerState())


def _bounded_slowdown(slowdown: float) -> float:
    return max(_MIN_SLOWDOWN, min(_MAX_SLOWDOWN, slowdown))


def _unconfirmed(factor: float) -> float:
    return max(1 / _MAX_UNCONFIRMED, min(_MAX_UNCONFIRMED, factor))


def _slowdown_weight(noted_ms: int, now_ms: int) -> float:
    age_ms = max(0, now_ms - noted_ms)
    return math.exp(-age_ms / _SLOWDOWN_TIME_CONSTANT_MS)


def _are_equal(shortest: float, longest: float, typical: float) -> bool:
    is_long = longest > typical * _EQUAL_FACTOR
    return shortest * _EQUAL_FACTOR >= typical and not is_long
