"""Requests under which upstreams crashed, by fingerprint.

A crash ends all requests of its upstream, and most of them did not cause it. A
request is quarantined after two crashes, and cleared once it completes. Crashes
whose attempts overlapped in time count as one, as a fault that ends several
upstreams at once also ends identical requests at them.
"""

from collections.abc import Iterable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics

_CRASHES_TO_QUARANTINE = 2
_EXPIRY_MS = 600_000
_SUSPECT_LIMIT = 10_000


@attrs.frozen(kw_only=True)
class ReportedCrash:
    """A crash of an upstream while it ran a request."""

    upstream: str  # distinguishes incarnations that share a name
    running_ms: int  # from the start of the attempt to the crash
    age_ms: int  # since the crash


@attrs.frozen(kw_only=True)
class SuspectState:
    """State of a fingerprint as reported to operators."""

    fingerprint: str
    upstreams: tuple[str, ...]
    quarantined: bool
    expires_in_ms: int


@attrs.frozen(kw_only=True)
class _Attempt:
    started_ms: int  # monotonic
    crashed_ms: int  # monotonic


@attrs.define(kw_only=True)
class _Suspect:
    attempts: dict[str, _Attempt] = attrs.field(factory=dict)  # by upstream

    @property
    def upstreams(self) -> tuple[str, ...]:
        return tuple(sorted(self.attempts))

    @property
    def last_crash_ms(self) -> int:
        return max(attempt.crashed_ms for attempt in self.attempts.values())

    @property
    def is_quarantined(self) -> bool:
        return self._separate_count >= _CRASHES_TO_QUARANTINE

    @property
    def _separate_count(self) -> int:
        """Returns the largest number of attempts of which no two overlap."""
        count = 0
        last_end_ms: int | None = None
        for attempt in sorted(self.attempts.values(), key=_end_of):
            if last_end_ms is None or attempt.started_ms >= last_end_ms:
                count += 1
                last_end_ms = attempt.crashed_ms
        return count


class CrashSuspects:
    """Crashes by fingerprint, from this VM and from others."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        expiry_ms: int = _EXPIRY_MS,
    ) -> None:
        """Forgets a suspect ``expiry_ms`` after its last crash."""
        self._clock = clock
        self._metrics = metrics
        self._expiry_ms = expiry_ms
        self._suspects: dict[str, _Suspect] = {}
        self._log = StateLog(channel='quarantine')

    @property
    def is_empty(self) -> bool:
        """Returns whether there is no suspect."""
        return not self._suspects

    @property
    def is_full(self) -> bool:
        """Returns whether the next suspect replaces the oldest one."""
        return len(self._suspects) >= _SUSPECT_LIMIT

    def record(self, fingerprint: str, crash: ReportedCrash) -> None:
        """Adds a crash; ignores one that is known or has expired."""
        suspect = self._find_unexpired(fingerprint)
        if suspect is None:
            if crash.age_ms >= self._expiry_ms:
                return
            suspect = self._add(fingerprint)
        if crash.upstream in suspect.attempts:
            return
        was_quarantined = suspect.is_quarantined
        crashed_ms = self._clock.monotonic_ms() - crash.age_ms
        suspect.attempts[crash.upstream] = _Attempt(
            started_ms=crashed_ms - crash.running_ms,
            crashed_ms=crashed_ms,
        )
        if suspect.is_quarantined and not was_quarantined:
            self._metrics.increment('quarantined')
            self._log.changed(
                'quarantined',
                fingerprint=fingerprint,
                upstreams=suspect.upstreams,
            )

    def crashes_of(self, fingerprint: str) -> tuple[ReportedCrash, ...]:
        """Returns the known crashes under a request."""
        suspect = self._find_unexpired(fingerprint)
        if suspect is None:
            return ()
        now_ms = self._clock.monotonic_ms()
        return tuple(
            ReportedCrash(
                upstream=upstream,
                running_ms=attempt.crashed_ms - attempt.started_ms,
                age_ms=now_ms - attempt.crashed_ms,
            )
            for upstream, attempt in suspect.attempts.items()
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether an upstream crashed while running the request."""
        return self._find_unexpired(fingerprint) is not None

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether the request may not run again."""
        suspect = self._find_unexpired(fingerprint)
        return suspect is not None and suspect.is_quarantined

    def expires_in_ms(self, fingerprint: str) -> int:
        """Returns the time until a suspect is forgotten; 0 for others."""
        suspect = self._find_unexpired(fingerprint)
        return 0 if suspect is None else self._remaining_ms(suspect)

    def forget(self, fingerprint: str) -> tuple[str, ...]:
        """Removes a suspect and returns the upstreams that crashed."""
        suspect = self._suspects.pop(fingerprint, None)
        return () if suspect is None else suspect.upstreams

    def forget_crash(self, fingerprint: str, upstream: str) -> None:
        """Removes one crash, and the suspect if it was the last one."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.attempts.pop(upstream, None)
        if not suspect.attempts:
            self._suspects.pop(fingerprint)

    def expired(self) -> tuple[str, ...]:
        """Returns the fingerprints of suspects that are due to be removed."""
        return tuple(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if self._remaining_ms(suspect) <= 0
        )

    def oldest(self) -> str:
        """Returns the fingerprint of the suspect that was added first."""
        return next(iter(self._suspects))

    def states(self) -> tuple[SuspectState, ...]:
        """Returns the states of all current suspects."""
        return tuple(
            SuspectState(
                fingerprint=fingerprint,
                upstreams=suspect.upstreams,
                quarantined=suspect.is_quarantined,
                expires_in_ms=self._remaining_ms(suspect),
            )
            for fingerprint, suspect in self._unexpired()
        )

    def _unexpired(self) -> Iterable[tuple[str, _Suspect]]:
        return (
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if self._remaining_ms(suspect) > 0
        )

    def _add(self, fingerprint: str) -> _Suspect:
        self._suspects.pop(fingerprint, None)
        if self.is_full:
            self._suspects.pop(self.oldest())
        suspect = _Suspect()
        self._suspects[fingerprint] = suspect
        self._metrics.increment('quarantine_suspects')
        return suspect

    def _find_unexpired(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._remaining_ms(suspect) <= 0:
            return None
        return suspect

    def _remaining_ms(self, suspect: _Suspect) -> int:
        age_ms = self._clock.monotonic_ms() - suspect.last_crash_ms
        return self._expiry_ms - age_ms


def _end_of(attempt: _Attempt) -> int:
    return attempt.crashed_ms
