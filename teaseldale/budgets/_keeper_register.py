"""Keepers of an account as their rows in the store tell of them."""

from collections.abc import Iterable

from teaseldale.budgets._account_rows import (
    HolderKey,
    ReadKeeperRow,
    decode_keeper_row,
    keeper_of,
)
from teaseldale.clock import BaseClock
from teaseldale.tables import Row

# Marks that are older than this do not count their VM as running. An idle
# keeper marks and reads every five seconds.
_RUNNING_MS = 15_000
# The store's time as known here is behind it by less than this: answers that
# take longer are given up.
_AHEAD_MS = 1000


class KeeperRegister:
    """Rows of the keepers, and the store's clock by which they are dated."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Knows no VM and no time of the store yet."""
        self._clock = clock
        self._rows: dict[str, ReadKeeperRow] = {}
        # Monotonic time minus the store's, at the least.
        self._behind_ms: int | None = None

    @property
    def store_ms(self) -> int:
        """The store's time, never ahead of it; 0 while it is not known."""
        if self._behind_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._behind_ms

    @property
    def running_count(self) -> int:
        """VMs that have marked their spending of late."""
        now_ms = self.store_ms
        return sum(
            now_ms - read.row.mark.made_store_ms < _RUNNING_MS
            for read in self._rows.values()
        )

    def bound_tokens(self, start: HolderKey) -> int | None:
        """Returns the most that a start that has ended spent; None if unknown.

        It may have ended just now, by a clock that is ahead of this one by as
        long as an answer of the store takes.
        """
        read = self._rows.get(start.vm_name)
        if read is None or read.row.incarnation != start.incarnation:
            return None
        mark = read.row.mark
        age_ms = self.store_ms - mark.made_store_ms + _AHEAD_MS
        return mark.bound_tokens(age_ms)

    def find(self, vm_name: str) -> ReadKeeperRow | None:
        """Returns a VM's row as last seen."""
        return self._rows.get(vm_name)

    def put(self, vm_name: str, read: ReadKeeperRow) -> None:
        """Replaces a VM's row."""
        self._rows[vm_name] = read

    def take(self, rows: Iterable[Row]) -> None:
        """Takes rows as they were read."""
        for row in rows:
            read = decode_keeper_row(row)
            vm_name = keeper_of(row.key)
            if read is not None and vm_name is not None:
                self._rows[vm_name] = read

    def learn_time(self, store_ms: int) -> None:
        """Takes the store's time from an answer that has just arrived."""
        behind_ms = self._clock.monotonic_ms() - store_ms
        if self._behind_ms is None or behind_ms < self._behind_ms:
            self._behind_ms = behind_ms

    def spent_by_others(self, vm_name: str) -> int:
        """Returns what VMs other than ``vm_name`` say they have spent."""
        return sum(
            read.row.spent_tokens
            for name, read in self._rows.items()
            if name != vm_name
        )
