"""Choice of the upstream that runs a request."""

from teaseldale.routing._choice import (
    BaseUpstreamChoice,
    LeastInFlightChoice,
    RandomChoice,
    RoutingRequest,
)
from teaseldale.routing._router import BaseRouter, LocalRouter, Placement

__all__ = (
    'BaseRouter',
    'BaseUpstreamChoice',
    'LeastInFlightChoice',
    'LocalRouter',
    'Placement',
    'RandomChoice',
    'RoutingRequest',
)
