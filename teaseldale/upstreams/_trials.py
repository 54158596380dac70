"""Distributed locks that admit one suspect at a time to each upstream.

When an upstream crashes, every request that it ran becomes a suspect. If an
upstream tried two suspects concurrently, its next crash would be attributed to
both. The VM that the upstream's name hashes to grants the trial lock.
"""

import attrs

from teaseldale.clock import BaseClock
from teaseldale.members import rendezvous
from teaseldale.outcomes import PeerUnreachableError
from teaseldale.peers import BasePeerNetwork, VmIdentity

_LOCK_EXPIRY_MS = 120_000
_REQUEST_TIMEOUT_MS = 500
_POLL_MS = 100


@attrs.frozen(kw_only=True)
class TrialRequest:
    """Acquires or, if ``ended``, releases the trial lock of an upstream."""

    upstream: str
    fingerprint: str
    ended: bool = False


@attrs.frozen(kw_only=True)
class TrialReply:
    """Reply that tells whether the lock was granted."""

    granted: bool


@attrs.frozen(kw_only=True)
class _TrialLock:
    fingerprint: str
    holder: str  # key of the VM that holds the lock
    until_ms: int  # monotonic


class TrialLocks:
    """Trial locks that this VM holds or grants."""

    def __init__(self, *, network: BasePeerNetwork, clock: BaseClock) -> None:
        """Registers the handler of trial requests."""
        self._network = network
        self._clock = clock
        self._locks: dict[str, _TrialLock] = {}
        network.handle(
            TrialRequest,
            kind='trial_request',
            reply_type=TrialReply,
            handler=self._handle_request,
        )

    async def acquire(
        self,
        fingerprint: str,
        upstream: str,
        *,
        deadline_ms: int,
    ) -> bool:
        """Polls for the lock; returns whether it was granted in time.

        ``deadline_ms`` is a monotonic time in milliseconds.
        """
        request = TrialRequest(upstream=upstream, fingerprint=fingerprint)
        while self._clock.monotonic_ms() < deadline_ms:
            if await self._send_request(request):
                return True
            await self._clock.sleep_ms(_POLL_MS)
        return False

    async def release(self, fingerprint: str, upstream: str) -> None:
        """Releases the lock; it expires if the message is lost."""
        await self._send_request(
            TrialRequest(
                upstream=upstream,
                fingerprint=fingerprint,
                ended=True,
            ),
        )

    async def _send_request(self, request: TrialRequest) -> bool:
        identity = self._network.identity
        vms = {vm.key: vm for vm in (identity, *self._network.known_peers())}
        grantor = vms[rendezvous(request.upstream, vms)]
        if grantor.key == identity.key:
            return (await self._handle_request(identity, request)).granted
        try:
            reply: TrialReply = await self._network.request(
                grantor,
                request,
                timeout_ms=_REQUEST_TIMEOUT_MS,
            )
        except PeerUnreachableError:
            return False
        return reply.granted

    async def _handle_request(
        self,
        sender: VmIdentity,
        request: TrialRequest,
    ) -> TrialReply:
        now_ms = self._clock.monotonic_ms()
        trial = self._locks.get(request.upstream)
        if trial is not None and now_ms >= trial.until_ms:
            trial = None
        is_holder = trial is not None and _is_held_by(trial, sender, request)
        if request.ended:
            if is_holder:
                self._locks.pop(request.upstream)
            return TrialReply(granted=False)
        if trial is not None and not is_holder:
            return TrialReply(granted=False)
        self._locks[request.upstream] = _TrialLock(
            fingerprint=request.fingerprint,
            holder=sender.key,
            until_ms=now_ms + _LOCK_EXPIRY_MS,
        )
        return TrialReply(granted=True)


def _is_held_by(
    trial: _TrialLock, sender: VmIdentity, request: TrialRequest
) -> bool:
    return (
        trial.holder == sender.key and trial.fingerprint == request.fingerprint
    )
