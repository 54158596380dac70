"""Rows through which VMs coordinate version moves."""

from collections.abc import Mapping

import attrs
import msgspec

from teaseldale.forwarding._reference_times import AverageTime
from teaseldale.moves import OrderPhase, VersionPair
from teaseldale.tables import RowWrite

MOVES_TABLE = 'version_moves'
EVIDENCE_TABLE = 'version_evidence'
_SEPARATOR = '/'
# Rows of earlier orders removed with one step. Store transactions are limited
# to a hundred entries.
_MAX_REMOVED_ROWS = 50


@attrs.frozen(kw_only=True)
class MoveRow:
    """Shared state of the latest order of a service."""

    order_revision: int  # of the order's row
    phase: OrderPhase
    started_store_ms: int  # store's clock, when a VM first read the order


@attrs.frozen(kw_only=True)
class EvidenceRow:
    """Outcome counts of one VM since an order began."""

    order_revision: int
    pair: VersionPair
    # Average times of the old version at this VM, by route.
    output_times: Mapping[str, AverageTime] = attrs.field(factory=dict)
    event_times: Mapping[str, AverageTime] = attrs.field(factory=dict)


def evidence_key(service: str, holder: str) -> str:
    """Returns a VM's evidence key; the common prefix for an empty holder."""
    return f'{service}{_SEPARATOR}{holder}'


def removal_writes(keys: set[str]) -> tuple[RowWrite, ...]:
    """Returns writes that delete evidence rows of earlier orders."""
    return tuple(
        RowWrite(table=EVIDENCE_TABLE, key=key, value=None)
        for key in sorted(keys)[:_MAX_REMOVED_ROWS]
    )


def record_write(
    table: str,
    key: str,
    record: MoveRow | EvidenceRow,
) -> RowWrite:
    """Returns a write of ``record``, encoded as MessagePack."""
    return RowWrite(
        table=table,
        key=key,
        value=msgspec.msgpack.encode(record),
    )
