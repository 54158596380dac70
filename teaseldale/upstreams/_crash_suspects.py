"""Requests and parts of prompts under which upstreams crashed.

A crash ends all requests of its upstream, and most of them did not cause it. A
request is quarantined after two crashes, a part of prompts after three, unless
another suspect explains them. A request is cleared once it completes, a part
by an answer that began after the crash.
"""

from collections.abc import Mapping

import attrs

from teaseldale.clock import BaseClock
from teaseldale.logs import StateLog
from teaseldale.metrics import Metrics
from teaseldale.upstreams._crash_history import (
    SETTLING_MS,
    CrashHistory,
    find_culprits,
)

CRASH_EXPIRY_MS = 600_000
_SUSPECT_LIMIT = 10_000


@attrs.frozen(kw_only=True)
class ReportedCrash:
    """A crash of an upstream under a request or a part of prompts."""

    upstream: str  # distinguishes incarnations that share a name
    running_ms: int  # from the start of the attempt to the crash
    age_ms: int  # since the crash
    part_position: int | None = None  # in the prompt; None for a request


@attrs.frozen(kw_only=True)
class SuspectState:
    """State of a suspect as reported to operators."""

    fingerprint: str  # of the request, or the key of a part
    upstreams: tuple[str, ...]
    quarantined: bool
    expires_in_ms: int


class CrashSuspects:
    """Crashes by suspect, from this VM and from others."""

    def __init__(
        self,
        *,
        clock: BaseClock,
        metrics: Metrics,
        expiry_ms: int = CRASH_EXPIRY_MS,
    ) -> None:
        """Forgets a suspect ``expiry_ms`` after its last crash."""
        self._clock = clock
        self._metrics = metrics
        self._expiry_ms = expiry_ms
        self._suspects: dict[str, CrashHistory] = {}
        self._repeated: set[str] = set()  # suspects with several crashes
        # Quarantined suspects, with the monotonic time since when.
        self._culprits: dict[str, int] = {}
        # Monotonic time from which the culprits are outdated; None if they are
        # not. Crashes come in bursts, so that culprits are found on demand.
        self._outdated_ms: int | None = None
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
            suspect = self._add(fingerprint, crash.part_position)
        if crash.upstream in suspect.attempts:
            return
        crashed_ms = self._clock.monotonic_ms() - crash.age_ms
        suspect.add(
            crash.upstream,
            started_ms=crashed_ms - crash.running_ms,
            crashed_ms=crashed_ms,
        )
        if len(suspect.attempts) > 1:
            self._repeated.add(fingerprint)
            self._outdated_ms = 0

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
                part_position=suspect.part_position,
            )
            for upstream, attempt in suspect.attempts.items()
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether an upstream crashed while running the request."""
        return self._find_unexpired(fingerprint) is not None

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether the suspect may not run again."""
        return self.quarantined_ms(fingerprint) is not None

    def quarantined_ms(self, fingerprint: str) -> int | None:
        """Returns for how long a suspect is quarantined, or None."""
        since_ms = self._find_culprits().get(fingerprint)
        if since_ms is None or self._find_unexpired(fingerprint) is None:
            return None
        return self._clock.monotonic_ms() - since_ms

    def expires_in_ms(self, fingerprint: str) -> int:
        """Returns the time until a suspect is forgotten; 0 for others."""
        suspect = self._find_unexpired(fingerprint)
        return 0 if suspect is None else self._remaining_ms(suspect)

    def forget(self, fingerprint: str) -> tuple[str, ...]:
        """Removes a suspect and returns the upstreams that crashed."""
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return ()
        self._note_removal(fingerprint)
        return suspect.upstreams

    def forget_crash(self, fingerprint: str, upstream: str) -> None:
        """Removes one crash, and the suspect if it was the last one."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempts.pop(upstream, None)
            self._note_removal(fingerprint)

    def forget_before(self, fingerprint: str, time_ms: int) -> tuple[str, ...]:
        """Removes the crashes before a monotonic time.

        Returns the upstreams of the removed crashes.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        upstreams = suspect.pop_before(time_ms)
        if upstreams:
            self._note_removal(fingerprint)
        return upstreams

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
        culprits = self._find_culprits()
        return tuple(
            SuspectState(
                fingerprint=fingerprint,
                upstreams=suspect.upstreams,
                quarantined=fingerprint in culprits,
                expires_in_ms=self._remaining_ms(suspect),
            )
            for fingerprint, suspect in self._suspects.items()
            if self._remaining_ms(suspect) > 0
        )

    def _add(self, fingerprint: str, part_position: int | None) -> CrashHistory:
        self.forget(fingerprint)
        if self.is_full:
            self.forget(self.oldest())
        suspect = CrashHistory(part_position=part_position)
        self._suspects[fingerprint] = suspect
        self._metrics.increment('quarantine_suspects')
        return suspect

    def _note_removal(self, fingerprint: str) -> None:
        """Updates what follows from a suspect that has lost crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.attempts:
            self._suspects.pop(fingerprint)
        if fingerprint in self._repeated:
            self._outdated_ms = 0
        if suspect is None or len(suspect.attempts) < 2:
            self._repeated.discard(fingerprint)

    def _find_culprits(self) -> Mapping[str, int]:
        """Puts the known crashes down to their most likely causes.

        Returns the quarantined suspects, with the monotonic time since when.
        """
        now_ms = self._clock.monotonic_ms()
        if self._outdated_ms is None or now_ms < self._outdated_ms:
            return self._culprits
        is_settling = self._outdated_ms == 0 and self._repeated
        self._outdated_ms = now_ms + SETTLING_MS if is_settling else None
        culprits = find_culprits(
            {key: self._suspects[key] for key in self._repeated},
            known=frozenset(self._culprits),
            now_ms=now_ms,
        )
        for key in culprits.difference(self._culprits):
            self._metrics.increment('quarantined')
            self._log.changed(
                'quarantined',
                fingerprint=key,
                upstreams=self._suspects[key].upstreams,
            )
        self._culprits = {
            name: self._culprits.get(name, now_ms) for name in culprits
        }
        return self._culprits

    def _find_unexpired(self, fingerprint: str) -> CrashHistory | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._remaining_ms(suspect) <= 0:
            return None
        return suspect

    def _remaining_ms(self, suspect: CrashHistory) -> int:
        age_ms = self._clock.monotonic_ms() - suspect.last_crash_ms
        return self._expiry_ms - age_ms
