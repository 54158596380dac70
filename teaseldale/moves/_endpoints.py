"""Operator endpoints for version moves."""

from teaseldale.moves._steering import MovesService
from teaseldale.notes import BaseConfigurationSource
from teaseldale.web import EndpointCall


class MoveEndpoints:
    """Request handlers for ``/moves``."""

    def __init__(
        self,
        *,
        moves: MovesService,
        configuration: BaseConfigurationSource,
    ) -> None:
        """Serves ``moves``; ``configuration`` tells which of them run."""
        self._moves = moves
        self._configuration = configuration

    async def list(self, _call: EndpointCall) -> object:
        """Returns all moves with their states and reasons."""
        running = frozenset(self._configuration.current().moves)
        return await self._moves.records.list(running)

    async def take_back(self, call: EndpointCall) -> object:
        """Rolls a running move back for the whole fleet."""
        reason = call.query('reason', 'taken back by an operator')
        return await self._moves.take_back.run(call.name, reason)
