"""Interface between requests and version moves."""

import abc

import attrs

from teaseldale.notes import Route
from teaseldale.requests import RequestIdentity


@attrs.frozen(kw_only=True)
class EvidenceSample:
    """How one request went at a version."""

    route: str
    version: str
    failed: bool
    first_token_ms: int | None  # None if no token came
    largest_gap_ms: int | None  # longest time between tokens


class BaseVersionAssignment(abc.ABC):
    """Assigns each request a version and collects evidence."""

    @abc.abstractmethod
    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the version; the same for retries of a request."""

    @abc.abstractmethod
    def record(self, sample: EvidenceSample) -> None:
        """Takes the outcome of a request as evidence."""


class InForceVersion(BaseVersionAssignment):
    """Always assigns the version that the route names."""

    def version_for(self, route: Route, request: RequestIdentity) -> str:
        """Returns the route's version in force."""
        return route.version

    def record(self, sample: EvidenceSample) -> None:
        """Ignores evidence: nothing is moved."""
