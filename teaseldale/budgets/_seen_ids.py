"""Deduplication of received datagrams by their ids."""


class SeenIds:
    """The most recent ids, in order of arrival."""

    def __init__(self, *, limit: int) -> None:
        """Keeps the most recent ``limit`` ids."""
        self._limit = limit
        self._ids: dict[str, None] = {}

    def add(self, seen_id: str) -> bool:
        """Adds an id; returns whether it was not yet known."""
        if seen_id in self._ids:
            return False
        self._ids[seen_id] = None
        while len(self._ids) > self._limit:
            self._ids.pop(next(iter(self._ids)))
        return True
