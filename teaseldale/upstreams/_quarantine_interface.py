"""Interface of the quarantine of requests that crash upstreams."""

import abc
from collections.abc import Iterable

from teaseldale.notes import Upstream
from teaseldale.outcomes import Refusal


class BaseQuarantine(abc.ABC):
    """Tracks fingerprints of requests whose upstreams crashed."""

    @abc.abstractmethod
    def refusal_for(self, fingerprint: str) -> Refusal | None:
        """Returns the refusal if the fingerprint is quarantined, else None."""

    @abc.abstractmethod
    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether an upstream crashed while running the request."""

    @abc.abstractmethod
    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Acquires the trial lock of the upstream where a suspect may run.

        Returns the upstream's name, or None if there is no candidate or if
        another suspect held the lock until ``deadline_ms`` (monotonic). Every
        acquired trial must be ended with ``end_trial``.
        """

    @abc.abstractmethod
    async def end_trial(self, fingerprint: str, upstream: str) -> None:
        """Releases the trial lock of the upstream."""

    @abc.abstractmethod
    async def clear(self, fingerprint: str) -> None:
        """Removes a suspect on all VMs after it completed."""

    @abc.abstractmethod
    async def report_break(
        self,
        fingerprint: str,
        upstream: Upstream,
        *,
        running_ms: int,
    ) -> None:
        """Marks a suspect if the upstream is down after a broken connection.

        ``running_ms`` is the time since the start of the attempt. Returns when
        all reachable VMs have been notified or timed out.
        """


class NoQuarantine(BaseQuarantine):
    """Quarantine that is always empty; for embedding without peers."""

    def refusal_for(self, fingerprint: str) -> Refusal | None:
        """Returns None, as no request is refused."""
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns False, as there are no suspects."""
        return False

    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Returns None, as there are no suspects to try."""
        return None

    async def end_trial(self, fingerprint: str, upstream: str) -> None:
        """Does nothing, as there are no suspects."""

    async def clear(self, fingerprint: str) -> None:
        """Does nothing, as there are no suspects."""

    async def report_break(
        self,
        fingerprint: str,
        upstream: Upstream,
        *,
        running_ms: int,
    ) -> None:
        """Does nothing, as there are no suspects."""
