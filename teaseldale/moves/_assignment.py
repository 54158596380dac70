"""Interface between requests and version moves."""

import abc

import attrs

from teaseldale.moves._evidence import EvidenceSample
from teaseldale.notes import Route
from teaseldale.requests import RequestIdentity


@attrs.frozen(kw_only=True, eq=False)
class RunningRequest:
    """A request at a version, from its dispatch to its end."""

    route: str
    version: str


class BaseVersionAssignment(abc.ABC):
    """Assigns each request a version and collects evidence."""

    @abc.abstractmethod
    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the version; the same for retries of a request."""

    def allows(self, route: str, version: str) -> bool:
        """Whether a request that has waited may still go to a version."""
        return True

    @abc.abstractmethod
    def record(self, sample: EvidenceSample) -> None:
        """Takes the outcome of a request, or its silence, as evidence."""

    def begin(self, route: str, version: str) -> RunningRequest:
        """Counts a request as running; call ``finish`` at its end."""
        return RunningRequest(route=route, version=version)

    def finish(self, running: RunningRequest) -> None:  # noqa: B027
        """Counts a request as running no more."""


class InForceVersion(BaseVersionAssignment):
    """Always assigns the version that the route names."""

    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the route's version in force."""
        return route.version

    def record(self, sample: EvidenceSample) -> None:
        """Ignores evidence: nothing is moved."""
