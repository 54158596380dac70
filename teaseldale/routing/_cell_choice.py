"""Choice of a runner by a VM that belongs to a cell."""

import random

from teaseldale.clock import BaseClock
from teaseldale.routing._backlog_choice import BacklogChoice
from teaseldale.routing._cell_candidates import extend_cell
from teaseldale.routing._runner_backlog import PlannedWork, RunnerBacklog


class CellChoice:
    """Prefers the runners of the cell as long as they are not busy."""

    def __init__(
        self,
        *,
        choice: BacklogChoice,
        clock: BaseClock,
        random_source: random.Random,
    ) -> None:
        """Chooses by the costs of ``choice``."""
        self._choice = choice
        self._clock = clock
        self._random = random_source

    def choose(
        self,
        work: PlannedWork,
        cell: frozenset[str],
        candidates: tuple[RunnerBacklog, ...],
    ) -> RunnerBacklog | None:
        """Returns the runner with the lowest cost, preferably of the cell.

        Prompts of a VM that keeps its cell busy may go to other runners.
        Returns None if there are no candidates.
        """
        inside = self._choice.prefer_cell(cell, candidates)
        if not work.prompt_tokens or len(inside) == len(candidates):
            return self._choice.choose(work, inside)
        extended = extend_cell(
            inside,
            (backlog for backlog in candidates if backlog.runner not in cell),
            random_source=self._random,
            now_ms=self._clock.monotonic_ms(),
        )
        return self._choice.choose(
            work,
            extended.backlogs,
            other_cells=extended.other_cells,
        )
