"""Services that the execution of a request depends on."""

import attrs

from teaseldale.answers import AnswerMemory
from teaseldale.budgets import BaseSpending
from teaseldale.clock import BaseClock
from teaseldale.metrics import Metrics
from teaseldale.moves import BaseVersionAssignment
from teaseldale.notes import BaseConfigurationSource
from teaseldale.requests import BaseRequestRegistry
from teaseldale.routing import BaseRouter
from teaseldale.upstreams import (
    BaseEngineClient,
    BaseQuarantine,
    BaseServiceClient,
    NoQuarantine,
)


@attrs.frozen(kw_only=True)
class RequestDependencies:
    """Dependencies of request handling, in the order of their use."""

    configuration: BaseConfigurationSource
    registry: BaseRequestRegistry
    spending: BaseSpending
    versions: BaseVersionAssignment
    router: BaseRouter
    engines: BaseEngineClient
    services: BaseServiceClient
    clock: BaseClock
    metrics: Metrics
    quarantine: BaseQuarantine = attrs.field(factory=NoQuarantine)
    answer_memory: AnswerMemory = attrs.field(factory=AnswerMemory)
