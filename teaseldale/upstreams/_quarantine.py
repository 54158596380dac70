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

from teaseldale.clock import BaseClock
from teaseldale.kernel import BaseService
from teaseldale.members import rendezvous
from teaseldale.metrics import Metrics
from teaseldale.notes import Upstream
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.peers import BasePeerNetwork, VmIdentity
from teaseldale.upstreams._crash_suspects import (
    CrashSuspects,
    ReportedCrash,
    SuspectState,
)
from teaseldale.upstreams._notices import (
    CrashNotice,
    NoticeBroadcaster,
    NoticeTaken,
    ReleaseNotice,
)
from teaseldale.upstreams._quarantine_interface import BaseQuarantine
from teaseldale.upstreams._reports import BaseRunnerReports
from teaseldale.upstreams._trials import TrialLocks


class CrashQuarantine(BaseQuarantine, BaseService):
    """This VM's view of suspects and quarantined fingerprints."""

    def __init__(
        self,
        *,
        network: BasePeerNetwork,
        reports: BaseRunnerReports,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        """Registers the handlers of crash and release notices."""
        self._broadcaster = NoticeBroadcaster(network=network, metrics=metrics)
        self._reports = reports
        self._metrics = metrics
        self._suspects = CrashSuspects(clock=clock, metrics=metrics)
        self._trials = TrialLocks(network=network, clock=clock)
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
        if not self._suspects.is_quarantined(fingerprint):
            return None
        return Refusal(
            code=RefusalCode.QUARANTINED,
            message='This request broke two upstreams that ran it; change it, '
            'or ask the operators to release it.',
            not_run=False,
            step=Step.ADMIT,
            retry_after_ms=self._suspects.expires_in_ms(fingerprint),
        )

    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Acquires the trial lock of the upstream where a suspect may run."""
        crashed = {
            crash.upstream for crash in self._suspects.crashes_of(fingerprint)
        }
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
        return self._suspects.is_suspect(fingerprint)

    async def report_break(
        self,
        fingerprint: str,
        upstream: Upstream,
        *,
        running_ms: int,
    ) -> None:
        """Marks a suspect if the upstream is down after a broken connection."""
        if await self._reports.is_up(upstream):
            self._metrics.increment('broken_streams', 'upstream_up')
            return
        self._metrics.increment('broken_streams', 'upstream_down')
        crash = ReportedCrash(
            upstream=upstream.name,
            running_ms=running_ms,
            age_ms=0,
        )
        self._suspects.record(fingerprint, crash)
        notice = CrashNotice(
            fingerprint=fingerprint,
            crashes=self._suspects.crashes_of(fingerprint),
        )
        await self._broadcaster.broadcast(notice)

    async def release(self, fingerprint: str, *, reason: str) -> bool:
        """Removes a fingerprint on all VMs; returns whether it was known."""
        is_known = bool(self._suspects.forget(fingerprint))
        if is_known:
            self._metrics.increment('quarantine_releases', reason)
        await self._broadcaster.broadcast(
            ReleaseNotice(fingerprint=fingerprint)
        )
        return is_known

    def states(self) -> tuple[SuspectState, ...]:
        """Returns the states of all current suspects."""
        return self._suspects.states()

    async def _handle_crash(
        self,
        _sender: VmIdentity,
        notice: CrashNotice,
    ) -> NoticeTaken:
        for crash in notice.crashes:
            self._suspects.record(notice.fingerprint, crash)
        return NoticeTaken()

    async def _handle_release(
        self,
        _sender: VmIdentity,
        notice: ReleaseNotice,
    ) -> NoticeTaken:
        self._suspects.forget(notice.fingerprint)
        return NoticeTaken()
