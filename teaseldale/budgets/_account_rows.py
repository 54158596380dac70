"""Rows that say how much of an account's tokens each VM may spend.

A row counts what was handed out, never what is left, so that a VM that is
lost takes its unspent tokens with it and no account is overspent.
"""

from collections.abc import Mapping

import attrs
import msgspec

from teaseldale.tables import Row, RowCheck, RowWrite

ACCOUNT_GRANTS_TABLE = 'account_grants'


@attrs.frozen(kw_only=True)
class HolderKey:
    """One start of a VM."""

    vm_name: str
    incarnation: str  # new at each start

    @property
    def text(self) -> str:
        """Key within a row."""
        return f'{self.vm_name}/{self.incarnation}'


@attrs.frozen(kw_only=True)
class HeldGrant:
    """What one start of a VM has been handed out of an account."""

    granted_tokens: int  # in all, less what it gave back
    spent_tokens: int = 0  # as last written by the holder


@attrs.frozen(kw_only=True)
class AccountRow:
    """All that was handed out of one account."""

    holders: Mapping[str, HeldGrant] = attrs.field(factory=dict)
    closed_tokens: int = 0  # of holders that have ended

    @property
    def taken_tokens(self) -> int:
        """Tokens that nobody else may be granted."""
        return self.closed_tokens + sum(
            held.granted_tokens for held in self.holders.values()
        )

    @property
    def spent_tokens(self) -> int:
        """Tokens that are surely spent."""
        return self.closed_tokens + sum(
            held.spent_tokens for held in self.holders.values()
        )

    @property
    def holder_count(self) -> int:
        """Starts of VMs that hold a part."""
        return len(self.holders)

    def granted_to(self, holder: HolderKey) -> int:
        """Returns what ``holder`` has been handed out."""
        held = self.holders.get(holder.text)
        return 0 if held is None else held.granted_tokens

    def with_holder(self, holder: HolderKey, held: HeldGrant) -> 'AccountRow':
        """Replaces the holder's part; earlier starts of its VM are closed."""
        earlier = [
            key
            for key in self.holders
            if key.startswith(f'{holder.vm_name}/') and key != holder.text
        ]
        closed_tokens = self.closed_tokens + sum(
            self.holders[key].granted_tokens for key in earlier
        )
        kept = {
            key: held_by
            for key, held_by in self.holders.items()
            if key not in earlier
        }
        kept[holder.text] = held
        return AccountRow(holders=kept, closed_tokens=closed_tokens)


@attrs.frozen(kw_only=True)
class ReadAccountRow:
    """A row and the revision that a change of it must check."""

    account: str
    row: AccountRow
    revision: int  # 0 means that there is no row yet

    def check(self) -> RowCheck:
        """Condition that the row is as it was read."""
        return RowCheck(
            table=ACCOUNT_GRANTS_TABLE,
            key=self.account,
            revision=self.revision,
        )


def write_of(account: str, row: AccountRow) -> RowWrite:
    """Returns the write that replaces an account's row."""
    return RowWrite(
        table=ACCOUNT_GRANTS_TABLE,
        key=account,
        value=msgspec.msgpack.encode(row),
    )


def decode_account_row(row: Row) -> ReadAccountRow:
    """Decodes a row; an absent one is an account that nobody drew on."""
    decoded = AccountRow()
    if row.value is not None:
        decoded = msgspec.msgpack.decode(row.value, type=AccountRow)
    return ReadAccountRow(
        account=row.key,
        row=decoded,
        revision=row.revision,
    )
