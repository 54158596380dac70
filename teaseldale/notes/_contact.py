"""Age of this VM's view of the table, and the majority rule for serving.

All times are read from the VM's monotonic clock before a request is sent, so
that a pause, a slow reply or a delayed message only makes the view look older.
"""

from teaseldale.clock import BaseClock

VIEW_VALIDITY_MS = 3000  # maximum age of a view that is safe to serve from


class ContactLog:
    """Times of the last contact with the table and with each peer."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a log in which no contact is recorded."""
        self._clock = clock
        self._view_ms: int | None = None
        self._peer_ms: dict[str, int] = {}

    @property
    def view_age_ms(self) -> int | None:
        """Age of the newest known table state in milliseconds, or None."""
        if self._view_ms is None:
            return None
        return self._clock.monotonic_ms() - self._view_ms

    @property
    def fresh(self) -> bool:
        """Whether the view is at most ``VIEW_VALIDITY_MS`` old."""
        age = self.view_age_ms
        return age is not None and age <= VIEW_VALIDITY_MS

    def saw_table(self, asked_ms: int) -> None:
        """Records the time as of which the table is known, if it is newer."""
        if self._view_ms is None or asked_ms > self._view_ms:
            self._view_ms = asked_ms

    def saw_peer(self, key: str, asked_ms: int) -> None:
        """Records the send time of a request that a peer answered."""
        self._peer_ms[key] = asked_ms

    def peer_fresh(self, key: str) -> bool:
        """Whether a peer answered a request sent in the validity period."""
        asked_ms = self._peer_ms.get(key)
        if asked_ms is None:
            return False
        return self._clock.monotonic_ms() - asked_ms <= VIEW_VALIDITY_MS

    def forget_others(self, keys: frozenset[str]) -> None:
        """Removes the contacts with all peers that are not in ``keys``."""
        for gone in self._peer_ms.keys() - keys:
            self._peer_ms.pop(gone)


def is_majority(present: set[str], everyone: set[str]) -> bool:
    """Whether ``present`` is a strict majority; the rest may not serve then."""
    return 2 * len(present & everyone) > len(everyone)
