"""Placement of requests on upstreams within their slots."""

import abc
from collections import Counter

import attrs

from teaseldale.notes import BaseConfigurationSource, Upstream
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.routing._choice import BaseUpstreamChoice, RoutingRequest

_RETRY_AFTER_MS = 500


@attrs.frozen(kw_only=True)
class Placement:
    """A slot of an upstream, held until it is released."""

    upstream: Upstream
    request: RoutingRequest


class BaseRouter(abc.ABC):
    """Lends slots of upstreams to requests."""

    @abc.abstractmethod
    async def place(self, request: RoutingRequest) -> Placement | Refusal:
        """Takes a slot, waiting in the queue if that can help."""

    @abc.abstractmethod
    def release(self, placement: Placement, *, failed: bool) -> None:
        """Gives the slot back and tells whether the upstream failed."""


class LocalRouter(BaseRouter):
    """Counts only this VM's requests; full upstreams are skipped."""

    def __init__(
        self,
        *,
        configuration: BaseConfigurationSource,
        choice: BaseUpstreamChoice,
    ) -> None:
        """Chooses among the configured upstreams by ``choice``."""
        self._configuration = configuration
        self._choice = choice
        self._in_flight: Counter[str] = Counter()

    async def place(self, request: RoutingRequest) -> Placement | Refusal:
        """Takes a slot at once or refuses."""
        members = self._configuration.current().upstreams_by_route
        usable = [
            upstream
            for upstream in members.get(request.route, ())
            if upstream.version == request.version
            and upstream.name not in request.excluded
        ]
        if not usable:
            return _no_upstream(request)
        free = [
            upstream
            for upstream in usable
            if self._in_flight[upstream.name] < upstream.slot_count
        ]
        if not free:
            return _overloaded(request)
        chosen = self._choice.choose(request, free, self._in_flight)
        self._in_flight[chosen.name] += 1
        return Placement(upstream=chosen, request=request)

    def release(self, placement: Placement, *, failed: bool) -> None:
        """Gives the slot back."""
        self._in_flight[placement.upstream.name] -= 1


def _no_upstream(request: RoutingRequest) -> Refusal:
    return Refusal(
        code=RefusalCode.NO_UPSTREAM,
        message=f'No upstream of route {request.route!r} is usable now.',
        not_run=True,
        step=Step.CHOOSE_UPSTREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _overloaded(request: RoutingRequest) -> Refusal:
    return Refusal(
        code=RefusalCode.OVERLOADED,
        message=f'All upstreams of route {request.route!r} are full.',
        not_run=True,
        step=Step.CHOOSE_UPSTREAM,
        retry_after_ms=_RETRY_AFTER_MS,
    )
