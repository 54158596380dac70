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
    status = StatusEndpoint(configuration=configuration, peers=peers)
    operators.add_endpoint('GET', '/status', status.show)
    notes = ReleaseNoteEndpoints(configuration=configuration)
    operators.add_endpoint('POST', '/notes', notes.apply)
    suspects = QuarantineEndpoints(quarantine=quarantine)
    operators.add_endpoint('GET', '/quarantine', suspects.show)
    operators.add_endpoint('POST', '/quarantine/release', suspects.release)
    operators.add_endpoint('GET', '/notes', notes.list)
    operators.add_endpoint('GET', '/notes/{name}', notes.show)
    operators.add_endpoint('POST', '/notes/{name}/cancel', notes.cancel)
    shown_moves = MoveEndpoints(moves=moves, configuration=configuration)
    operators.add_endpoint('GET', '/moves', shown_moves.list)
    operators.add_endpoint(
        'POST',
        '/moves/{name}/takeback',
        shown_moves.take_back,
    )
    budgets = BudgetEndpoints(ledger=ledger)
    operators.add_endpoint('GET', '/budget', budgets.show)
    operators.add_endpoint('POST', '/budget/topup', budgets.top_up)
