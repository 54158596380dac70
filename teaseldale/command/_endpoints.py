"""Endpoints of the operators' interface, by the service that answers."""

from teaseldale.budgets import TableLedger
from teaseldale.notes import TableConfiguration
from teaseldale.operations import (
    BudgetEndpoints,
    NoteEndpoints,
    OperatorsInterface,
    QuarantineEndpoints,
    StatusEndpoint,
)
from teaseldale.peers import BasePeerNetwork
from teaseldale.upstreams import CrashQuarantine


def add_endpoints(
    operators: OperatorsInterface,
    *,
    configuration: TableConfiguration,
    ledger: TableLedger,
    peers: BasePeerNetwork,
    quarantine: CrashQuarantine,
) -> None:
    """Registers every endpoint that operators can call."""
    status = StatusEndpoint(configuration=configuration, peers=peers)
    operators.add_endpoint('GET', '/status', status.show)
    notes = NoteEndpoints(configuration=configuration, ledger=ledger)
    operators.add_endpoint('POST', '/notes', notes.apply)
    suspects = QuarantineEndpoints(quarantine=quarantine)
    operators.add_endpoint('GET', '/quarantine', suspects.show)
    operators.add_endpoint('POST', '/quarantine/release', suspects.release)
    budgets = BudgetEndpoints(ledger=ledger)
    operators.add_endpoint('GET', '/budget', budgets.show)
    operators.add_endpoint('POST', '/budget/topup', budgets.top_up)
