"""Admission checks before a request is dispatched to a runner."""

import attrs

from teaseldale.budgets import AccountReservation
from teaseldale.clock import BaseClock
from teaseldale.forwarding._configuration import (
    ForwardingConfiguration,
    ForwardingRoute,
    PrepaidAccount,
    WeightedService,
)
from teaseldale.forwarding._dependencies import ForwardingDependencies
from teaseldale.forwarding._refusals import (
    not_ready,
    unknown_key,
    unknown_route,
)
from teaseldale.forwarding._wire import ClientRequest
from teaseldale.outcomes import Refusal


@attrs.frozen(kw_only=True)
class AdmittedRequest:
    """A request that passed the checks against the configuration."""

    request: ClientRequest
    route: ForwardingRoute
    service: str  # one of the route's services
    account: PrepaidAccount | None
    tokens_per_event: int  # tokens billed per stream event
    configuration_version: int
    arrival_ms: int  # monotonic
    deadline_at_ms: float  # monotonic deadline of the final answer

    @property
    def priority(self) -> int:
        """Returns the account's priority, or the route's if it has none."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def left_ms(self, clock: BaseClock) -> int:
        """Returns the time until the deadline, at least 0."""
        return max(0, int(self.deadline_at_ms - clock.monotonic_ms()))


class RequestAdmission:
    """Checks requests against the configuration in force."""

    def __init__(self, *, parts: ForwardingDependencies) -> None:
        """Uses the configuration, directory and grants of ``parts``."""
        self._parts = parts

    def admit(
        self,
        request: ClientRequest,
        arrival_ms: int,
    ) -> AdmittedRequest | Refusal:
        """Resolves route, account and service, or returns a refusal."""
        configuration = self._parts.configuration.current
        if configuration is None or not self._parts.directory.is_known:
            return not_ready()
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return unknown_route()
        account = configuration.find_account(request.key)
        if _lacks_key(configuration, route, account):
            return unknown_key()
        service = self._choose_service(route.services)
        return AdmittedRequest(
            request=request,
            route=route,
            service=service,
            account=account,
            tokens_per_event=_tokens_per_event(configuration, service),
            configuration_version=configuration.version,
            arrival_ms=arrival_ms,
            deadline_at_ms=arrival_ms + _time_limit_ms(request, route),
        )

    async def reserve(
        self,
        admitted: AdmittedRequest,
    ) -> AccountReservation | Refusal | None:
        """Reserves the request's tokens; None if it is not billed."""
        account = admitted.account
        usage = admitted.request.usage
        if account is None or account.prepaid_tokens is None or usage is None:
            return None
        return await self._parts.grants.reserve(
            account=account.name,
            most_tokens=usage.most_tokens,
        )

    def _choose_service(self, services: tuple[WeightedService, ...]) -> str:
        if len(services) == 1:
            return services[0].service
        chosen = self._parts.random_source.choices(
            services,
            weights=[part.weight for part in services],
        )
        return chosen[0].service


def _lacks_key(
    configuration: ForwardingConfiguration,
    route: ForwardingRoute,
    account: PrepaidAccount | None,
) -> bool:
    return (
        configuration.needs_keys and not route.is_anonymous and account is None
    )


def _tokens_per_event(
    configuration: ForwardingConfiguration,
    service: str,
) -> int:
    service_settings = configuration.services.get(service)
    if service_settings is None or service_settings.engine is None:
        return 1
    return service_settings.engine.tokens_per_event


def _time_limit_ms(request: ClientRequest, route: ForwardingRoute) -> float:
    if request.deadline_ms is None:
        return route.timeout_ms
    return min(request.deadline_ms, route.timeout_ms)
