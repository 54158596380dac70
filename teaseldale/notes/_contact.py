"""How old this VM's knowledge is, and whether it may serve on it.

All times are the VM's own monotonic clock from before a question was sent, so
that a pause, a slow answer or a late message only makes knowledge older.
"""

from teaseldale.clock import BaseClock

VIEW_VALIDITY_MS = 3000  # longest age of a view to be relied on


class ContactLog:
    """Times of the last contact with the table and with each peer."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Starts without any contact."""
        self._clock = clock
        self._view_ms: int | None = None
        self._peer_ms: dict[str, int] = {}

    @property
    def view_age_ms(self) -> int | None:
        """Age of the newest state of the table known here."""
        if self._view_ms is None:
            return None
        return self._clock.monotonic_ms() - self._view_ms

    @property
    def fresh(self) -> bool:
        """Whether the view is young enough to be relied on."""
        age = self.view_age_ms
        return age is not None and age <= VIEW_VALIDITY_MS

    def saw_table(self, asked_ms: int) -> None:
        """Notes a view asked for at ``asked_ms`` or known to be so old."""
        if self._view_ms is None or asked_ms > self._view_ms:
            self._view_ms = asked_ms

    def saw_peer(self, key: str, asked_ms: int) -> None:
        """Notes that a peer answered a question sent at ``asked_ms``."""
        self._peer_ms[key] = asked_ms

    def peer_fresh(self, key: str) -> bool:
        """Whether a peer answered within the validity of a view."""
        asked_ms = self._peer_ms.get(key)
        if asked_ms is None:
            return False
        return self._clock.monotonic_ms() - asked_ms <= VIEW_VALIDITY_MS

    def forget_others(self, keys: frozenset[str]) -> None:
        """Drops contacts with peers that left the membership list."""
        for gone in self._peer_ms.keys() - keys:
            self._peer_ms.pop(gone)


def is_majority(present: set[str], everyone: set[str]) -> bool:
    """Whether ``present`` outnumbers the rest, which then may not serve."""
    return 2 * len(present & everyone) > len(everyone)
