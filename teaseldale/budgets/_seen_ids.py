"""Ids of datagrams that were taken, so that none is taken twice."""


class SeenIds:
    """The newest ids, in order of their arrival."""

    def __init__(self, *, limit: int) -> None:
        """Remembers the newest ``limit`` ids."""
        self._limit = limit
        self._ids: dict[str, None] = {}

    def add(self, seen_id: str) -> bool:
        """Returns whether the id is new."""
        if seen_id in self._ids:
            return False
        self._ids[seen_id] = None
        while len(self._ids) > self._limit:
            self._ids.pop(next(iter(self._ids)))
        return True
