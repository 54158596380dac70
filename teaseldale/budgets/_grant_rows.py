"""Rows of grants and their holders in the table service."""

import enum

import attrs
import msgspec

from teaseldale.requests import Settlement
from teaseldale.tables import Row, RowCheck, RowWrite

HOLDERS_TABLE = 'holders'
GRANTS_TABLE = 'grants'


@enum.unique
class HolderState(enum.StrEnum):
    """Life-cycle state of a holder; only an open one may write."""

    OPEN = 'open'
    CLOSING = 'closing'  # its grants are being recovered
    BILLING = 'billing'  # its spending is known
    CLOSED = 'closed'  # nothing is open; kept until its validity has expired


@attrs.frozen(kw_only=True)
class HolderRow:
    """Row of a VM incarnation that holds grants."""

    vm: str  # key of the VM
    address: str  # "ip:port" at which it serves as a witness
    state: HolderState = HolderState.OPEN
    settled_through: int = 0  # all settlements up to this sequence are billed
    write_count: int = 0  # incremented by each renewal
    recovered: tuple[Settlement, ...] = ()  # billed by the recovery


@attrs.frozen(kw_only=True)
class GrantRow:
    """Tokens of one budget granted to one holder.

    ``open_tokens + billed_tokens`` is part of the ledger's open tokens.
    """

    open_tokens: int = 0  # not yet spent
    billed_tokens: int = 0  # spent but not yet moved to the ledger


@attrs.frozen(kw_only=True)
class ReadHolder:
    """A holder's row and its revision."""

    key: str
    row: HolderRow
    revision: int

    def check(self) -> RowCheck:
        """Returns a check that the row is unchanged since it was read."""
        return RowCheck(
            table=HOLDERS_TABLE,
            key=self.key,
            revision=self.revision,
        )

    def write(self, row: HolderRow | None) -> RowWrite:
        """Returns the write that replaces or deletes the row."""
        return RowWrite(
            table=HOLDERS_TABLE,
            key=self.key,
            value=None if row is None else msgspec.msgpack.encode(row),
        )


@attrs.frozen(kw_only=True)
class ReadGrant:
    """A grant's row and its revision."""

    holder: str
    budget: str
    row: GrantRow
    revision: int

    @property
    def key(self) -> str:
        """Key of the row in the grants table."""
        return grant_key(self.holder, self.budget)

    def check(self) -> RowCheck:
        """Returns a check that the row is unchanged since it was read."""
        return RowCheck(
            table=GRANTS_TABLE,
            key=self.key,
            revision=self.revision,
        )

    def write(self, row: GrantRow) -> RowWrite:
        """Returns the write that replaces or, if empty, deletes the row."""
        empty = not (row.open_tokens or row.billed_tokens)
        return RowWrite(
            table=GRANTS_TABLE,
            key=self.key,
            value=None if empty else msgspec.msgpack.encode(row),
        )


def grant_key(holder: str, budget: str) -> str:
    """Returns the key of a grant's row."""
    return f'{holder}/{budget}'


def decode_holder(row: Row) -> ReadHolder:
    """Decodes a row of the holders table that is not deleted."""
    return ReadHolder(
        key=row.key,
        row=msgspec.msgpack.decode(row.value or b'', type=HolderRow),
        revision=row.revision,
    )


def decode_grant(row: Row) -> ReadGrant:
    """Decodes a row of the grants table that is not deleted."""
    holder, _, budget = row.key.partition('/')
    return ReadGrant(
        holder=holder,
        budget=budget,
        row=msgspec.msgpack.decode(row.value or b'', type=GrantRow),
        revision=row.revision,
    )
