"""Placement and retries, shared by completions and service calls."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from teaseldale.entry._dependencies import RequestDependencies
from teaseldale.entry._upstream_refusals import (
    choose_refusal,
    is_upstream_fault,
    trial_unavailable,
)
from teaseldale.notes import Route
from teaseldale.outcomes import Refusal, RefusalCode
from teaseldale.routing import Placement, RoutingRequest
from teaseldale.upstreams import FailureKind, UpstreamError

_RUN_LIMIT = 3  # attempts that may have run
_ATTEMPT_LIMIT = 6
_RETRIABLE_CODES = frozenset((RefusalCode.UPSTREAM_FAILED,))
_TRIAL_WAIT_MS = 30_000


@attrs.define(kw_only=True)
class Attempts:
    """State of the attempts of one request."""

    route: Route
    fingerprint: str
    excluded: frozenset[str] = frozenset()
    failure_count: int = 0
    run_count: int = 0  # failed attempts that may have run
    last_refusal: Refusal | None = None
    fresh_connection: bool = False  # set after a connection stalled
    trial_upstream: str = ''  # upstream reserved for a suspect's trial
    holds_trial: bool = False  # whether the trial lock is held
    placed_ms: int = 0  # monotonic time of the current attempt's start

    def note_failure(self, refusal: Refusal, upstream: str) -> None:
        """Records a failed attempt and excludes its upstream."""
        self.failure_count += 1
        self.run_count += not refusal.not_run
        self.excluded |= {upstream}
        self.last_refusal = choose_refusal(self.last_refusal, refusal)


class AttemptPlacer:
    """Places attempts, serializes trials of suspects and limits retries."""

    def __init__(self, *, parts: RequestDependencies) -> None:
        """Creates a placer that uses the services in ``parts``."""
        self._parts = parts

    async def place(
        self,
        request: RoutingRequest,
        attempts: Attempts,
    ) -> Placement | Refusal:
        """Returns a placement, or the refusal to send to the caller."""
        quarantined = self._parts.quarantine.refusal_for(attempts.fingerprint)
        if quarantined is not None:
            return quarantined
        usable = self._parts.router.usable_upstreams(
            request.route,
            request.version,
        )
        if self._parts.quarantine.is_suspect(attempts.fingerprint):
            excluded = _still_excluded(attempts, usable)
            untried = tuple(name for name in usable if name not in excluded)
            refusal = await self._start_trial(request, attempts, untried)
            if refusal is not None:
                return choose_refusal(attempts.last_refusal, refusal)
        placement = await self._parts.router.place(
            attrs.evolve(
                request,
                excluded=_still_excluded(attempts, usable),
                only_upstream=attempts.trial_upstream,
                first_attempt=not (attempts.failure_count or request.resumed),
            ),
        )
        if isinstance(placement, Refusal):
            await self.end_trial(attempts)
            return choose_refusal(attempts.last_refusal, placement)
        attempts.placed_ms = self._parts.clock.monotonic_ms()
        return placement

    async def end_trial(self, attempts: Attempts) -> None:
        """Releases the trial lock of the upstream, if it is held."""
        if attempts.holds_trial:
            attempts.holds_trial = False
            await self._parts.quarantine.end_trial(
                attempts.fingerprint,
                attempts.trial_upstream,
            )

    async def note_success(self, attempts: Attempts) -> None:
        """Releases the trial and clears a suspect that has completed."""
        await self.end_trial(attempts)
        if attempts.trial_upstream:
            await self._parts.quarantine.clear(attempts.fingerprint)

    async def note_error(
        self,
        error: UpstreamError,
        placement: Placement,
        attempts: Attempts,
    ) -> None:
        """Counts a failure; a broken stream makes the request a suspect."""
        self._parts.metrics.increment('upstream_failures', error.kind)
        if error.kind is FailureKind.SILENT:
            attempts.fresh_connection = True
        if error.kind is FailureKind.BROKEN:
            await self._parts.quarantine.report_break(
                attempts.fingerprint,
                placement.upstream,
                running_ms=(
                    self._parts.clock.monotonic_ms() - attempts.placed_ms
                ),
            )

    def may_retry(self, attempts: Attempts, refusal: Refusal) -> bool:
        """Whether to retry; takes one from the route's retry budget."""
        if refusal.code not in _RETRIABLE_CODES:
            return False
        if (
            attempts.run_count >= _RUN_LIMIT
            or attempts.failure_count >= _ATTEMPT_LIMIT
        ):
            return False
        if not self._parts.router.take_retry(attempts.route):
            return False
        self._parts.metrics.increment('retries', refusal.code)
        return True

    @contextmanager
    def releasing(self, placement: Placement) -> Iterator['AttemptOutcome']:
        """Releases the placement on exit, even if cancelled."""
        outcome = AttemptOutcome()
        try:
            yield outcome
        finally:
            self._parts.router.release(placement, failed=outcome.failed)

    async def _start_trial(
        self,
        request: RoutingRequest,
        attempts: Attempts,
        candidates: tuple[str, ...],
    ) -> Refusal | None:
        now_ms = self._parts.clock.monotonic_ms()
        upstream = await self._parts.quarantine.start_trial(
            attempts.fingerprint,
            candidates,
            deadline_ms=min(request.deadline_ms, now_ms + _TRIAL_WAIT_MS),
        )
        quarantined = self._parts.quarantine.refusal_for(attempts.fingerprint)
        attempts.trial_upstream = upstream or ''
        attempts.holds_trial = upstream is not None
        if quarantined is not None:
            await self.end_trial(attempts)
            return quarantined
        if upstream is None:
            return trial_unavailable()
        return None


@attrs.define(kw_only=True)
class AttemptOutcome:
    """Whether an attempt counts against its upstream."""

    failed: bool = False

    def blame(self, error: UpstreamError) -> None:
        """Sets ``failed`` if the error is the upstream's fault."""
        self.failed = is_upstream_fault(error)


def _still_excluded(
    attempts: Attempts,
    usable: tuple[str, ...],
) -> frozenset[str]:
    if attempts.excluded.issuperset(usable):
        return frozenset()
    return attempts.excluded
