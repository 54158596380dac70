"""Row that records whose grants of an account are known in an era."""

import attrs
import msgspec

from teaseldale.budgets._account_rows import MarkedAccount, SpendingMark
from teaseldale.tables import Row

# Key in the partition of each account, if the store has eras.
CONFIRMATION_KEY = 'confirmation'
_NO_SPENDING = SpendingMark(
    made_store_ms=0,
    allowed=MarkedAccount(limit_tokens=0, step_tokens=0, spare_tokens=0),
)


@attrs.frozen(kw_only=True)
class ConfirmationRow:
    """Holders that have confirmed their grants in one era of the store.

    After a return from an older copy, the account row lacks what was granted
    in the lost time. Free tokens are withheld until each VM that may have been
    granted tokens then has written its grant again.
    """

    era: int
    joined: tuple[str, ...] = ()  # holders whose grants are of this era
    confirmed_vms: tuple[str, ...] = ()  # all their incarnations are known
    awaited_vms: tuple[str, ...] = ()
    # Prepaid tokens that holders of the lost time may have known.
    prepaid_tokens: int = 0
    # Builds without eras decode each row but the grants as that of a keeper,
    # and end if one of its fields is missing.
    incarnation: str = ''
    address: str = ''
    mark: SpendingMark = _NO_SPENDING


@attrs.frozen(kw_only=True)
class ReadConfirmationRow:
    """A confirmation row with the revision to check when changing it."""

    row: ConfirmationRow
    revision: int


def decode_confirmation_row(row: Row) -> ReadConfirmationRow | None:
    """Decodes a confirmation row; None if it was deleted."""
    if row.value is None:
        return None
    return ReadConfirmationRow(
        row=msgspec.msgpack.decode(row.value, type=ConfirmationRow),
        revision=row.revision,
    )
