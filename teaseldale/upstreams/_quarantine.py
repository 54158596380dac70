"""Quarantine of requests that crash the upstreams that run them.

A request becomes a suspect when its connection breaks and its upstream is down
afterwards. Its fingerprint, which excludes the request key, is broadcast to
all reachable VMs before the next attempt. A suspect may only run at the one
upstream that its fingerprint hashes to, so that VMs choose the same upstream
without communication, and an upstream runs one suspect at a time. When a
second upstream crashes, the fingerprint is quarantined on all VMs until it
expires or an operator releases it.
"""

from collections.abc import Iterable

import attrs

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.logs import StateLog
from teaseldale.members import rendezvous
from teaseldale.metrics import Metrics
from teaseldale.notes import Upstream
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.upstreams._notices import (
    CrashNotice,
    NoticeBroadcaster,
    NoticeTaken,
    ReleaseNotice,
)
from teaseldale.upstreams._quarantine_interface import BaseQuarantine
from teaseldale.upstreams._reports import BaseRunnerReports
from teaseldale.upstreams._trials import TrialLocks

_UPSTREAMS_TO_QUARANTINE = 2
_EXPIRY_MS = 600_000
_SUSPECT_LIMIT = 10_000


@attrs.define(kw_only=True)
class _Suspect:
    upstreams: set[str]
    last_crash_ms: int  # monotonic


@attrs.frozen(kw_only=True)
class SuspectState:
    """State of a fingerprint as reported to operators."""

    fingerprint: str
    upstreams: tuple[str, ...]
    quarantined: bool
    expires_in_ms: int


class CrashQuarantine(BaseQuarantine, BaseService):
    """This VM's view of suspects and quarantined fingerprints."""

    def __init__(
        self,
        *,
        network: BasePeerNetwork,
        reports: BaseRunnerReports,
        clock: BaseClock,
        metrics: Metrics,
        expiry_ms: int = _EXPIRY_MS,
    ) -> None:
        """Registers the handlers of crash and release notices."""
        self._broadcaster = NoticeBroadcaster(network=network, metrics=metrics)
        self._reports = reports
        self._clock = clock
        self._metrics = metrics
        self._expiry_ms = expiry_ms
        self._suspects: dict[str, _Suspect] = {}
        self._trials = TrialLocks(network=network, clock=clock)
        self._log = StateLog(channel='quarantine')
        network.handle(
            CrashNotice,
            kind='crash_notice',
            reply_type=NoticeTaken,
            handler=self._handle_crash,
        )
        network.handle(
            ReleaseNotice,
            kind='release_notice',
            reply_type=NoticeTaken,
            handler=self._handle_release,
        )

    @property
    def name(self) -> str:
        """Name of the service in the kernel."""
        return 'quarantine'

    def refusal_for(self, fingerprint: str) -> Refusal | None:
        """Returns the refusal if the fingerprint is quarantined, else None."""
        suspect = self._find_unexpired(fingerprint)
        if suspect is None or not _is_quarantined(suspect):
            return None
        return Refusal(
            code=RefusalCode.QUARANTINED,
            message='This request broke two upstreams that ran it; change it, '
            'or ask the operators to release it.',
            not_run=False,
            step=Step.ADMIT,
            retry_after_ms=self._expires_in_ms(suspect),
        )

    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Acquires the trial lock of the upstream where a suspect may run."""
        suspect = self._find_unexpired(fingerprint)
        crashed = set() if suspect is None else suspect.upstreams
        upstream = rendezvous(
            fingerprint,
            (name for name in candidates if name not in crashed),
        )
        if not upstream:
            return None
        granted = await self._trials.acquire(
            fingerprint,
            upstream,
            deadline_ms=deadline_ms,
        )
        return upstream if granted else None

    async def end_trial(self, fingerprint: str, upstream: str) -> None:
        """Releases the trial lock of the upstream."""
        await self._trials.release(fingerprint, upstream)

    async def clear(self, fingerprint: str) -> None:
        """Removes a suspect on all VMs after it completed."""
        await self.release(fingerprint, reason='ran_through')

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether an upstream crashed while running the request."""
        return self._find_unexpired(fingerprint) is not None

    async def report_break(self, fingerprint: str, upstream: Upstream) -> None:
        """Marks a suspect if the upstream is down after a broken connection."""
        if await self._reports.is_up(upstream):
            self._metrics.increment('broken_streams', 'upstream_up')
            return
        self._metrics.increment('broken_streams', 'upstream_down')
        self._record_crash(fingerprint, (upstream.name,), age_ms=0)
        suspect = self._suspects[fingerprint]
        notice = CrashNotice(
            fingerprint=fingerprint,
            upstreams=tuple(sorted(suspect.upstreams)),
            age_ms=0,
        )
        await self._broadcaster.broadcast(notice)

    async def release(self, fingerprint: str, *, reason: str) -> bool:
        """Removes a fingerprint on all VMs; returns whether it was known."""
        is_known = self._suspects.pop(fingerprint, None) is not None
        if is_known:
            self._metrics.increment('quarantine_releases', reason)
        await self._broadcaster.broadcast(
            ReleaseNotice(fingerprint=fingerprint)
        )
        return is_known

    def states(self) -> tuple[SuspectState, ...]:
        """Returns the states of all current suspects."""
        current = [
            (fingerprint, self._find_unexpired(fingerprint))
            for fingerprint in tuple(self._suspects)
        ]
        return tuple(
            SuspectState(
                fingerprint=fingerprint,
                upstreams=tuple(sorted(suspect.upstreams)),
                quarantined=_is_quarantined(suspect),
                expires_in_ms=self._expires_in_ms(suspect),
            )
            for fingerprint, suspect in current
            if suspect is not None
        )

    async def _handle_crash(
        self,
        _sender: VmIdentity,
        notice: CrashNotice,
    ) -> NoticeTaken:
        self._record_crash(
            notice.fingerprint, notice.upstreams, age_ms=notice.age_ms
        )
        return NoticeTaken()

    async def _handle_release(
        self,
        _sender: VmIdentity,
        notice: ReleaseNotice,
    ) -> NoticeTaken:
        self._suspects.pop(notice.fingerprint, None)
        return NoticeTaken()

    def _record_crash(
        self,
        fingerprint: str,
        upstreams: tuple[str, ...],
        *,
        age_ms: int,
    ) -> None:
        crash_ms = self._clock.monotonic_ms() - age_ms
        suspect = self._find_unexpired(fingerprint)
        if suspect is None:
            self._evict_oldest()
            suspect = _Suspect(upstreams=set(), last_crash_ms=crash_ms)
            self._suspects[fingerprint] = suspect
            self._metrics.increment('quarantine_suspects')
        was_quarantined = _is_quarantined(suspect)
        suspect.upstreams.update(upstreams)
        suspect.last_crash_ms = max(suspect.last_crash_ms, crash_ms)
        if _is_quarantined(suspect) and not was_quarantined:
            self._metrics.increment('quarantined')
            self._log.changed(
                'quarantined',
                fingerprint=fingerprint,
                upstreams=sorted(suspect.upstreams),
            )

    def _find_unexpired(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._expires_in_ms(suspect) <= 0:
            self._suspects.pop(fingerprint)
            return None
        return suspect

    def _expires_in_ms(self, suspect: _Suspect) -> int:
        age_ms = self._clock.monotonic_ms() - suspect.last_crash_ms
        return self._expiry_ms - age_ms

    def _evict_oldest(self) -> None:
        if len(self._suspects) >= _SUSPECT_LIMIT:
            self._suspects.pop(next(iter(self._suspects)))


def _is_quarantined(suspect: _Suspect) -> bool:
    return len(suspect.upstreams) >= _UPSTREAMS_TO_QUARANTINE
