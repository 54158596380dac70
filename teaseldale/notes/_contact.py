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

    def record_table_view(self, sent_ms: int) -> None:
        """Records the time as of which the table is known, if it is newer."""
        if self._view_ms is None or sent_ms > self._view_ms:
            self._view_ms = sent_ms

    def record_peer_reply(self, key: str, sent_ms: int) -> None:
        """Records the send time of a request that a peer answered."""
        self._peer_ms[key] = sent_ms

    def peer_fresh(self, key: str) -> bool:
        """Whether a peer answered a request sent in the validity period."""
        sent_ms = self._peer_ms.get(key)
        if sent_ms is None:
            return False
        return self._clock.monotonic_ms() - sent_ms <= VIEW_VALIDITY_MS

    def retain_only(self, keys: frozenset[str]) -> None:
        """Removes the contacts with all peers that are not in ``keys``."""
        for departed in self._peer_ms.keys() - keys:
            self._peer_ms.pop(departed)


def is_majority(present: set[str], members: set[str]) -> bool:
    """Whether ``present`` is a strict majority; the rest may not serve then."""
    return 2 * len(present & members) > len(members)
