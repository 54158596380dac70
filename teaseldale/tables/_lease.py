"""Lease with a fencing number, stored in the table service.

The holder measures the lease on its own monotonic clock, starting before it
sends the renewal. Another VM takes over only after it has observed the row
unchanged, on its own clock, for longer than the lease duration. Wall clocks
are never compared between VMs.
"""

import attrs
import msgspec

from teaseldale.clock import BaseClock
from teaseldale.tables._table import (
    BaseTableService,
    Committed,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

LEASE_TABLE = 'leases'
DEFAULT_DURATION_MS = 6000
_CLOCK_DRIFT_MS = 500


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Stored holder of a lease."""

    holder: str  # key of a VM incarnation
    fencing_number: int  # incremented on each change of holder


class TableLease:
    """One VM's handle on a lease; passes on the table service's errors."""

    def __init__(
        self,
        *,
        table: BaseTableService,
        clock: BaseClock,
        name: str,
        holder: str,
        duration_ms: int = DEFAULT_DURATION_MS,
    ) -> None:
        """Creates a handle; ``renew`` acquires the lease."""
        self._table = table
        self._clock = clock
        self._name = name
        self._holder = holder
        self._duration_ms = duration_ms
        self._valid_until_ms: int | None = None
        self._revision = 0  # of this VM's last write
        self._observed_revision = -1
        self._observed_ms = 0
        self.fencing_number = 0

    @property
    def held(self) -> bool:
        """Whether the lease is valid now; check again after each await."""
        valid_until = self._valid_until_ms
        return (
            valid_until is not None and self._clock.monotonic_ms() < valid_until
        )

    @property
    def renewal_due(self) -> bool:
        """Whether less than half of the lease duration is left."""
        valid_until = self._valid_until_ms
        if valid_until is None:
            return True
        left_ms = valid_until - self._clock.monotonic_ms()
        return left_ms < self._duration_ms / 2

    def ownership_check(self) -> RowCheck:
        """Returns a check that fails once another VM has taken over."""
        return self._check(self._revision)

    async def renew(self) -> bool:
        """Acquires or renews the lease; returns whether it is held.

        Raises ``PlatformError`` if the table service does not answer.
        """
        sent_ms = self._clock.monotonic_ms()
        row = await self._table.read(table=LEASE_TABLE, key=self._name)
        record = _decode_record(row)
        if not self._may_write(row, record, sent_ms):
            self._valid_until_ms = None
            return False
        return await self._write(row, record, sent_ms)

    def _may_write(
        self,
        row: Row | None,
        record: LeaseRecord,
        now_ms: int,
    ) -> bool:
        if row is None or record.holder == self._holder:
            return True
        if row.revision != self._observed_revision:
            self._observed_revision = row.revision
            self._observed_ms = now_ms
            return False
        return now_ms - self._observed_ms > self._duration_ms + _CLOCK_DRIFT_MS

    async def _write(
        self,
        row: Row | None,
        record: LeaseRecord,
        sent_ms: int,
    ) -> bool:
        fencing_number = record.fencing_number
        if record.holder != self._holder:
            fencing_number += 1
        new_record = LeaseRecord(
            holder=self._holder, fencing_number=fencing_number
        )
        outcome = await self._table.commit(
            make_transaction(
                checks=(self._check(0 if row is None else row.revision),),
                writes=(
                    RowWrite(
                        table=LEASE_TABLE,
                        key=self._name,
                        value=msgspec.msgpack.encode(new_record),
                    ),
                ),
            ),
        )
        if not isinstance(outcome, Committed):
            self._valid_until_ms = None
            return False
        self._revision = outcome.revision
        self._valid_until_ms = sent_ms + self._duration_ms
        self.fencing_number = fencing_number
        return self.held

    def _check(self, revision: int) -> RowCheck:
        return RowCheck(table=LEASE_TABLE, key=self._name, revision=revision)


def _decode_record(row: Row | None) -> LeaseRecord:
    if row is None or row.value is None:
        return LeaseRecord(holder='', fencing_number=0)
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)
