"""Durations of one kind of work at a runner, from samples of several VMs."""

import math

import attrs

from teaseldale.routing._knee_estimate import KneeEstimate
from teaseldale.routing._pace_agreement import (
    Agreement,
    AgreementCache,
    WeightedLog,
    combine,
)
from teaseldale.routing._pace_filter import PaceFilter
from teaseldale.routing._pace_messages import ObservedWork

_PACE_TIME_CONSTANT_MS = 1000
# Time constant of the weight of a VM's values. Trials with 12 VMs, 20% of the
# datagrams lost: 368 ms to the first event (95th percentile) with 2 s, 375 ms
# with 3 s, 367 ms with 5 s; a longer one follows changes later.
_AGE_TIME_CONSTANT_MS = 2000
_ERROR_TIME_CONSTANT_MS = 5000
# Received values that are older say less than the typical pace.
_RECEIVED_VALID_MS = 10_000


@attrs.frozen(kw_only=True)
class WorkSample:
    """Duration of one request of this VM."""

    duration: float  # ms, or ms per token
    in_work: int
    weight: float = 1


@attrs.define(kw_only=True)
class _Unsent:
    """Samples of this VM that other VMs have not been sent."""

    measured_log_sum: float = 0
    usual_log_sum: float = 0
    weight: float = 0
    noted_ms: int = 0


@attrs.frozen(kw_only=True)
class _ReceivedWork:
    measured_log: float
    usual_log: float
    noted_ms: int  # monotonic, of the sample


@attrs.define(kw_only=True)
class WorkPace:
    """Durations of one kind of work, with and without reported slowdowns."""

    knee: KneeEstimate = attrs.field(factory=KneeEstimate)
    measured: PaceFilter = attrs.field(
        factory=lambda: PaceFilter(time_constant_ms=_PACE_TIME_CONSTANT_MS),
    )
    usual: PaceFilter = attrs.field(
        factory=lambda: PaceFilter(time_constant_ms=_PACE_TIME_CONSTANT_MS),
    )
    # How much less the reports predict than the durations alone.
    _report_error: float = attrs.field(default=0, init=False)
    _received: dict[str, _ReceivedWork] = attrs.field(factory=dict, init=False)
    _received_ms: int | None = attrs.field(default=None, init=False)
    _unsent: _Unsent | None = attrs.field(default=None, init=False)
    _cache: AgreementCache = attrs.field(factory=AgreementCache, init=False)

    @property
    def noted_ms(self) -> int | None:
        """Returns when the latest sample of any VM was taken."""
        own_ms = self.measured.noted_ms
        if own_ms is None or self._received_ms is None:
            return self._received_ms if own_ms is None else own_ms
        return max(own_ms, self._received_ms)

    @property
    def trusts_reports(self) -> bool:
        """Returns whether the reported slowdowns predict the samples."""
        return self._report_error <= 0

    def current(self, slowdown: float, now_ms: int) -> float | None:
        """Returns the duration, or None if unknown."""
        agreement = self._agreement(now_ms)
        if agreement is None:
            return None
        duration = math.exp(agreement.log_value)
        return duration * slowdown if self.trusts_reports else duration

    def is_confirmed(self, now_ms: int) -> bool:
        """Returns whether the duration rests on more than one other VM."""
        agreement = self._agreement(now_ms)
        return agreement is not None and agreement.is_confirmed

    def note(self, sample: WorkSample, slowdown: float, now_ms: int) -> None:
        """Adds a sample of this VM."""
        self._cache.invalidate()
        unstretched = sample.duration / self.knee.stretch(sample.in_work)
        usual = unstretched / slowdown
        silence_ms = now_ms - (self.measured.noted_ms or now_ms)
        error = self.usual.distance(usual)
        error -= self.measured.distance(unstretched)
        gain = 1 - math.exp(-silence_ms / _ERROR_TIME_CONSTANT_MS)
        self._report_error += gain * (error - self._report_error)
        self.measured.note(unstretched, now_ms, sample.weight)
        self.usual.note(usual, now_ms, sample.weight)
        self._note_unsent(unstretched, usual, sample.weight, now_ms)
        duration = sample.duration
        if self.trusts_reports:
            duration /= slowdown
        self.knee.note(duration, max(sample.in_work, 1), now_ms)

    def take_unsent(self, now_ms: int) -> ObservedWork | None:
        """Returns and clears the mean of the samples that were not sent."""
        unsent = self._unsent
        self._unsent = None
        if unsent is None:
            return None
        return ObservedWork(
            measured=math.exp(unsent.measured_log_sum / unsent.weight),
            usual=math.exp(unsent.usual_log_sum / unsent.weight),
            age_ms=now_ms - unsent.noted_ms,
        )

    def note_received(
        self,
        vm_name: str,
        observed: ObservedWork,
        now_ms: int,
    ) -> None:
        """Replaces what another VM has observed, unless that is newer."""
        noted_ms = now_ms - round(observed.age_ms)
        earlier = self._received.get(vm_name)
        if earlier is None or earlier.noted_ms <= noted_ms:
            self._cache.invalidate()
            self._received_ms = max(self._received_ms or noted_ms, noted_ms)
            self._received[vm_name] = _ReceivedWork(
                measured_log=math.log(observed.measured),
                usual_log=math.log(observed.usual),
                noted_ms=noted_ms,
            )

    def drop_received(self) -> None:
        """Forgets what other VMs have observed."""
        self._received.clear()
        self._received_ms = None
        self._cache.invalidate()

    def _agreement(self, now_ms: int) -> Agreement | None:
        return self._cache.find(now_ms, self._compute_agreement)

    def _compute_agreement(
        self,
        now_ms: int,
    ) -> tuple[Agreement | None, float]:
        """Returns the agreement and until when it is valid."""
        oldest_ms = now_ms - _RECEIVED_VALID_MS
        for vm_name, earlier in tuple(self._received.items()):
            if earlier.noted_ms < oldest_ms:
                self._received.pop(vm_name)
        own_filter = self.usual if self.trusts_reports else self.measured
        agreement = combine(
            _own_value(own_filter, now_ms),
            [
                WeightedLog(
                    log_value=(
                        received.usual_log
                        if self.trusts_reports
                        else received.measured_log
                    ),
                    weight=_decay(received.noted_ms, now_ms),
                )
                for received in self._received.values()
            ],
        )
        oldest = (received.noted_ms for received in self._received.values())
        return agreement, min(oldest, default=math.inf) + _RECEIVED_VALID_MS

    def _note_unsent(
        self,
        measured: float,
        usual: float,
        weight: float,
        now_ms: int,
    ) -> None:
        if self._unsent is None:
            self._unsent = _Unsent()
        self._unsent.measured_log_sum += weight * math.log(measured)
        self._unsent.usual_log_sum += weight * math.log(usual)
        self._unsent.weight += weight
        self._unsent.noted_ms = now_ms


def _own_value(own: PaceFilter, now_ms: int) -> WeightedLog | None:
    if own.filtered is None or own.noted_ms is None:
        return None
    return WeightedLog(
        log_value=math.log(own.filtered),
        weight=own.weight * _decay(own.noted_ms, now_ms),
    )


def _decay(noted_ms: int, now_ms: int) -> float:
    age_ms = max(0, now_ms - noted_ms)
    return math.exp(-age_ms / _AGE_TIME_CONSTANT_MS)
