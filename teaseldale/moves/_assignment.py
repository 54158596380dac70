"""Interface between request handling and version moves."""

import abc

import attrs

from teaseldale.moves._evidence import EvidenceSample
from teaseldale.notes import Route
from teaseldale.requests import RequestIdentity


@attrs.frozen(kw_only=True, eq=False)
class RunningRequest:
    """Handle of a request in flight at a version."""

    route: str
    version: str


class BaseVersionAssignment(abc.ABC):
    """Assigns a version to each request and collects evidence."""

    @abc.abstractmethod
    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the version for a request; stable across its retries."""

    def allows(self, route: str, version: str) -> bool:
        """Returns whether a queued request may still use its version."""
        return True

    @abc.abstractmethod
    def record(self, sample: EvidenceSample) -> None:
        """Records the outcome, or the stall, of a request as evidence."""

    def begin(self, route: str, version: str) -> RunningRequest:
        """Counts a request as in flight until ``finish`` is called."""
        return RunningRequest(route=route, version=version)

    def finish(self, running: RunningRequest) -> None:  # noqa: B027
        """Removes a request from the in-flight count."""


class ConfiguredVersion(BaseVersionAssignment):
    """Always assigns the configured version of the route."""

    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the configured version of the route."""
        return route.version

    def record(self, sample: EvidenceSample) -> None:
        """Discards the sample, as there are no version moves."""
