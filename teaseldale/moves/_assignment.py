"""Interface between requests and version moves."""

import abc

import attrs

from teaseldale.moves._evidence import EvidenceSample
from teaseldale.notes import Route
from teaseldale.requests import RequestIdentity


@attrs.define(kw_only=True, eq=False)
class RunningRequest:
    """A request at a version, from its dispatch to its outcome."""

    route: str
    version: str
    started_ms: int  # monotonic
    last_token_ms: int | None = None  # monotonic; None before the first
    judged: bool = False  # counted as evidence already


class BaseVersionAssignment(abc.ABC):
    """Assigns each request a version and collects evidence."""

    @abc.abstractmethod
    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the version; the same for retries of a request."""

    @abc.abstractmethod
    def record(
        self,
        sample: EvidenceSample,
        running: RunningRequest | None = None,
    ) -> None:
        """Takes the outcome of a request as evidence.

        ``running`` is what ``begin`` returned for it, if that was called.
        """

    def begin(self, route: str, version: str) -> RunningRequest:
        """Notes a request before its dispatch.

        Set ``last_token_ms`` at each token: a request that stays silent for
        too long is evidence before it ends.
        """
        return RunningRequest(route=route, version=version, started_ms=0)


class InForceVersion(BaseVersionAssignment):
    """Always assigns the version that the route names."""

    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the route's version in force."""
        return route.version

    def record(
        self,
        sample: EvidenceSample,
        running: RunningRequest | None = None,
    ) -> None:
        """Ignores evidence: nothing is moved."""
