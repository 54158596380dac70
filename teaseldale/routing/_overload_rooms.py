"""Prompts at the runners of a VM's cell, computed once per decision."""

from collections.abc import Callable, Iterable

from teaseldale.routing._overload_estimate import BaseStartEstimate
from teaseldale.routing._overload_load import PoolLoad
from teaseldale.routing._overload_prompts import PromptRoom


class CellRooms:
    """Keeps the room of the load that was asked for last."""

    def __init__(
        self,
        *,
        estimate: BaseStartEstimate,
        cell: Callable[[Iterable[str]], frozenset[str]],
    ) -> None:
        """Uses the paces of ``estimate`` for the runners in ``cell``."""
        self._estimate = estimate
        self._cell = cell
        self._load: PoolLoad | None = None
        self._room: PromptRoom | None = None

    def room(self, load: PoolLoad) -> PromptRoom | None:
        """Returns the room for prompts, or None if slots decide."""
        if self._load is not load:
            names = self._cell(backlog.runner for backlog in load.runners)
            self._room = load.only(names).prompt_room(self._estimate)
            self._load = load
        return self._room
