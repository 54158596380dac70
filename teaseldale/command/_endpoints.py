"""Registration of the operators' endpoints."""

from teaseldale.budgets import TableLedger
from teaseldale.moves import MoveEndpoints, MovesService
from teaseldale.notes import FleetConfiguration, ReleaseNoteEndpoints
from teaseldale.operations import (
    BudgetEndpoints,
    OperatorsInterface,
    QuarantineEndpoints,
    StatusEndpoint,
)
from teaseldale.peers import BasePeerNetwork
from teaseldale.upstreams import CrashQuarantine


def add_endpoints(
    operators: OperatorsInterface,
    *,
    configuration: FleetConfiguration,
    moves: MovesService,
    ledger: TableLedger,
    peers: BasePeerNetwork,
    quarantine: CrashQuarantine,
) -> None:
    """Registers the endpoints of all services with ``operators``."""
    status_endpoint = StatusEndpoint(configuration=configuration, peers=peers)
    operators.add_endpoint('GET', '/status', status_endpoint.show)
    note_endpoints = ReleaseNoteEndpoints(configuration=configuration)
    operators.add_endpoint('POST', '/notes', note_endpoints.apply)
    quarantine_endpoints = QuarantineEndpoints(quarantine=quarantine)
    operators.add_endpoint('GET', '/quarantine', quarantine_endpoints.show)
    operators.add_endpoint(
        'POST', '/quarantine/release', quarantine_endpoints.release
    )
    operators.add_endpoint('GET', '/notes', note_endpoints.list)
    operators.add_endpoint('GET', '/notes/{name}', note_endpoints.show)
    operators.add_endpoint(
        'POST', '/notes/{name}/cancel', note_endpoints.cancel
    )
    move_endpoints = MoveEndpoints(moves=moves, configuration=configuration)
    operators.add_endpoint('GET', '/moves', move_endpoints.list)
    operators.add_endpoint(
        'POST',
        '/moves/{name}/takeback',
        move_endpoints.take_back,
    )
    budget_endpoints = BudgetEndpoints(ledger=ledger)
    operators.add_endpoint('GET', '/budget', budget_endpoints.show)
    operators.add_endpoint('POST', '/budget/topup', budget_endpoints.top_up)
