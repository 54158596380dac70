"""Rows by which VMs move a service to an ordered version together."""

import attrs
import msgspec

from teaseldale.moves import OrderPhase, VersionPair
from teaseldale.tables import RowWrite

MOVES_TABLE = 'version_moves'
EVIDENCE_TABLE = 'version_evidence'
_SEPARATOR = '/'
# Rows of earlier orders that go with a step. Transactions of the store hold a
# hundred entries.
_REMOVED_ROWS = 50


@attrs.frozen(kw_only=True)
class MoveRow:
    """The state of a service's newest order, as all VMs see it."""

    order_revision: int  # of the order's row
    phase: OrderPhase
    started_store_ms: int  # store's clock; when a VM first saw the order


@attrs.frozen(kw_only=True)
class EvidenceRow:
    """What one VM has counted since an order."""

    order_revision: int
    pair: VersionPair


def evidence_key(service: str, holder: str) -> str:
    """Returns the key of a VM's evidence; of all for an empty holder."""
    return f'{service}{_SEPARATOR}{holder}'


def removals(keys: set[str]) -> tuple[RowWrite, ...]:
    """Returns writes that remove evidence of earlier orders."""
    return tuple(
        RowWrite(table=EVIDENCE_TABLE, key=key, value=None)
        for key in sorted(keys)[:_REMOVED_ROWS]
    )


def record_write(
    table: str,
    key: str,
    record: MoveRow | EvidenceRow,
) -> RowWrite:
    """Returns the write of a row."""
    return RowWrite(
        table=table,
        key=key,
        value=msgspec.msgpack.encode(record),
    )
