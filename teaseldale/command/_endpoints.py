"""Endpoints of the operators' interface, by the service that answers."""

from teaseldale.budgets import TableLedger
from teaseldale.notes import FleetConfiguration, ReleaseNoteEndpoints
from teaseldale.operations import (
    BudgetEndpoints,
    OperatorsInterface,
    StatusEndpoint,
)
from teaseldale.peers import BasePeerNetwork


def add_endpoints(
    operators: OperatorsInterface,
    *,
    configuration: FleetConfiguration,
    ledger: TableLedger,
    peers: BasePeerNetwork,
) -> None:
    """Registers every endpoint that operators can call."""
    status = StatusEndpoint(configuration=configuration, peers=peers)
    operators.add_endpoint('GET', '/status', status.show)
    notes = ReleaseNoteEndpoints(configuration=configuration)
    operators.add_endpoint('POST', '/notes', notes.apply)
    operators.add_endpoint('GET', '/notes', notes.list)
    operators.add_endpoint('GET', '/notes/{name}', notes.show)
    operators.add_endpoint('POST', '/notes/{name}/cancel', notes.cancel)
    budgets = BudgetEndpoints(ledger=ledger)
    operators.add_endpoint('GET', '/budget', budgets.show)
    operators.add_endpoint('POST', '/budget/topup', budgets.top_up)
