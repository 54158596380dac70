"""Keepers of an account, from their rows in the store."""

from collections.abc import Iterable

from teaseldale.budgets._account_joining import holding_vms
from teaseldale.budgets._account_rows import (
    AccountRow,
    HolderKey,
    ReadKeeperRow,
    decode_keeper_row,
    keeper_of,
)
from teaseldale.clock import BaseClock
from teaseldale.tables import Row

# Age beyond which a mark no longer counts its VM as running. An idle keeper
# writes a mark and reads the rows every five seconds.
_RUNNING_TIMEOUT_MS = 15_000
# Age beyond which a mark no longer counts its VM as a possible spender of
# tokens that a returned store does not list. It exceeds the outages that VMs
# bridge, with the age of the copy.
_ACTIVE_TIMEOUT_MS = 30_000
# Upper bound on how far the local estimate lags behind the store's clock:
# slower answers time out.
_MAX_CLOCK_LAG_MS = 1000


class KeeperRegister:
    """Cached rows of the keepers, and an estimate of the store's clock."""

    def __init__(self, *, clock: BaseClock) -> None:
        """Creates a register without rows or store time."""
        self._clock = clock
        self._rows: dict[str, ReadKeeperRow] = {}
        # Smallest monotonic time minus store time observed so far.
        self._store_offset_ms: int | None = None

    @property
    def store_ms(self) -> int:
        """Estimated store time, never ahead of it; 0 if unknown."""
        if self._store_offset_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._store_offset_ms

    @property
    def running_count(self) -> int:
        """Number of VMs that have recently written a mark."""
        now_ms = self.store_ms
        return sum(
            now_ms - read.row.mark.made_store_ms < _RUNNING_TIMEOUT_MS
            for read in self._rows.values()
        )

    def bound_tokens(self, start: HolderKey) -> int | None:
        """Returns the spending bound of an ended incarnation; None if unknown.

        The age of the mark is increased by the possible lag of this VM's
        estimate of the store's clock, as the incarnation may just have ended.
        """
        read = self._rows.get(start.vm_name)
        if read is None or read.row.incarnation != start.incarnation:
            return None
        mark = read.row.mark
        age_ms = self.store_ms - mark.made_store_ms + _MAX_CLOCK_LAG_MS
        return mark.bound_tokens(age_ms)

    def find(self, vm_name: str) -> ReadKeeperRow | None:
        """Returns a VM's row as last read; None if unknown."""
        return self._rows.get(vm_name)

    def active_vms(self, row: AccountRow) -> frozenset[str]:
        """Returns the VMs that have recently written a mark.

        VMs that hold grants in ``row`` without a known mark are included.
        """
        oldest_ms = self.store_ms - _ACTIVE_TIMEOUT_MS
        recent = {
            name
            for name, read in self._rows.items()
            if read.row.mark.made_store_ms >= oldest_ms
        }
        return holding_vms(row) - self._rows.keys() | recent

    def clear(self) -> None:
        """Removes all rows, as they may not exist any more."""
        self._rows.clear()

    def put(self, vm_name: str, read: ReadKeeperRow) -> None:
        """Replaces the cached row of a VM."""
        self._rows[vm_name] = read

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Updates the cache with rows that were read."""
        for row in rows:
            read = decode_keeper_row(row)
            vm_name = keeper_of(row.key)
            if read is not None and vm_name is not None:
                self._rows[vm_name] = read

    def update_store_time(self, store_ms: int) -> None:
        """Updates the clock estimate from an answer that has just arrived."""
        offset_ms = self._clock.monotonic_ms() - store_ms
        if self._store_offset_ms is None or offset_ms < self._store_offset_ms:
            self._store_offset_ms = offset_ms

    def spent_by_others(self, vm_name: str) -> int:
        """Returns the published spending of all VMs except ``vm_name``."""
        return sum(
            read.row.spent_tokens
            for name, read in self._rows.items()
            if name != vm_name
        )
