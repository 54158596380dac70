"""Interface of the quarantine of requests that crash upstreams."""

import abc
from collections.abc import Iterable

from teaseldale.notes import Upstream
from teaseldale.outcomes import Refusal


class BaseQuarantine(abc.ABC):
    """Knows fingerprints of requests whose upstreams broke off."""

    @abc.abstractmethod
    def refusal_for(self, fingerprint: str) -> Refusal | None:
        """Returns the refusal of a quarantined fingerprint."""

    @abc.abstractmethod
    def is_suspect(self, fingerprint: str) -> bool:
        """Whether an upstream broke off while running the fingerprint."""

    @abc.abstractmethod
    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Returns the only upstream at which a suspect may run now.

        None if there is none, or if another suspect held it until the
        deadline. Every trial that was given must be ended.
        """

    @abc.abstractmethod
    async def end_trial(self, fingerprint: str, upstream: str) -> None:
        """Lets another suspect be tried at the upstream."""

    @abc.abstractmethod
    async def clear(self, fingerprint: str) -> None:
        """Forgets a suspect everywhere, since it ran through."""

    @abc.abstractmethod
    async def report_break(self, fingerprint: str, upstream: Upstream) -> None:
        """Makes a suspect if the upstream is down after a connection broke.

        Returns when all VMs know that can be told, or after a time limit.
        """


class NoQuarantine(BaseQuarantine):
    """Suspects nothing; for embedding without peers."""

    def refusal_for(self, fingerprint: str) -> Refusal | None:
        """Refuses nothing."""
        return None

    def is_suspect(self, fingerprint: str) -> bool:
        """Suspects nothing."""
        return False

    async def start_trial(
        self,
        fingerprint: str,
        candidates: Iterable[str],
        *,
        deadline_ms: int,
    ) -> str | None:
        """Gives no trial, since there are no suspects."""
        return None

    async def end_trial(self, fingerprint: str, upstream: str) -> None:
        """Does nothing."""

    async def clear(self, fingerprint: str) -> None:
        """Does nothing."""

    async def report_break(self, fingerprint: str, upstream: Upstream) -> None:
        """Does nothing."""
