"""Operators' HTTP interface: health, metrics, status and budgets."""

from teaseldale.operations._budget_endpoints import BudgetEndpoints
from teaseldale.operations._operators import (
    OperatorsDependencies,
    OperatorsInterface,
)
from teaseldale.operations._quarantine_endpoints import QuarantineEndpoints
from teaseldale.operations._status_endpoint import StatusEndpoint

__all__ = (
    'BudgetEndpoints',
    'OperatorsInterface',
    'OperatorsDependencies',
    'QuarantineEndpoints',
    'StatusEndpoint',
)
