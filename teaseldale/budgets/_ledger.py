"""Ledger rows of budgets in the table service."""

import attrs
import msgspec

from teaseldale.budgets._grant_rows import (
    GRANTS_TABLE,
    HOLDERS_TABLE,
    decode_grant,
    grant_key,
)
from teaseldale.budgets._spending import BudgetState
from teaseldale.outcomes import Refusal, RefusalCode, Step
from teaseldale.tables import (
    BaseTableService,
    Committed,
    Conflicted,
    Row,
    RowCheck,
    RowWrite,
    make_transaction,
)

LEDGER_TABLE = 'ledger'
TOP_UPS_TABLE = 'top_ups'


@attrs.frozen(kw_only=True)
class LedgerRow:
    """Totals of one budget, with ``billed + open <= topped up``."""

    topped_up_tokens: int
    billed_tokens: int = 0
    open_tokens: int = 0

    @property
    def free_tokens(self) -> int:
        """Tokens that are neither billed nor reserved."""
        return self.topped_up_tokens - self.billed_tokens - self.open_tokens


@attrs.frozen(kw_only=True)
class ReadLedgerRow:
    """A ledger row with the revision to check when changing it."""

    name: str
    row: LedgerRow
    revision: int

    def check(self) -> RowCheck:
        """Returns a check that the row is unchanged since it was read."""
        return RowCheck(
            table=LEDGER_TABLE,
            key=self.name,
            revision=self.revision,
        )

    def write(self, row: LedgerRow) -> RowWrite:
        """Returns the write that replaces the row."""
        return RowWrite(
            table=LEDGER_TABLE,
            key=self.name,
            value=msgspec.msgpack.encode(row),
        )


class TableLedger:
    """Reads, creates and tops up budgets."""

    def __init__(self, *, table: BaseTableService) -> None:
        """Creates a ledger over ``table``."""
        self._table = table

    async def read(self, name: str) -> ReadLedgerRow | None:
        """Reads a budget's row; None if it does not exist."""
        current = await self._table.read(table=LEDGER_TABLE, key=name)
        if current is None or current.value is None:
            return None
        return decode_ledger_row(current)

    async def state(self, name: str) -> BudgetState | None:
        """Reads a budget's totals; None if it does not exist."""
        current = await self.read(name)
        if current is None:
            return None
        billed = await self._billed_in_grants(name)
        return BudgetState(
            name=name,
            topped_up_tokens=current.row.topped_up_tokens,
            billed_tokens=current.row.billed_tokens + billed,
            open_tokens=current.row.open_tokens - billed,
        )

    async def _billed_in_grants(self, name: str) -> int:
        billed = 0
        for holder in await self._table.scan(table=HOLDERS_TABLE):
            key = grant_key(holder.key, name)
            row = await self._table.read(table=GRANTS_TABLE, key=key)
            if row is not None:
                billed += decode_grant(row).row.billed_tokens
        return billed

    async def create(self, name: str, initial_tokens: int) -> bool:
        """Inserts a budget's row; returns False if it already exists."""
        absent = ReadLedgerRow(
            name=name,
            row=LedgerRow(topped_up_tokens=0),
            revision=0,
        )
        outcome = await self._table.commit(
            make_transaction(
                checks=(absent.check(),),
                writes=(
                    absent.write(LedgerRow(topped_up_tokens=initial_tokens)),
                ),
            ),
        )
        return isinstance(outcome, Committed)

    async def top_up(
        self,
        name: str,
        tokens: int,
        *,
        top_up_id: str,
    ) -> BudgetState | Refusal:
        """Credits ``tokens`` idempotently by the budget's ``top_up_id``.

        Refused if the budget is unknown or the id was used with another number
        of tokens. Raises ``PlatformError``; retry with the same id.
        """
        receipt = _Receipt(name=name, top_up_id=top_up_id, tokens=tokens)
        while True:
            current = await self.read(name)
            if current is None:
                return _unknown_budget(name)
            row = attrs.evolve(
                current.row,
                topped_up_tokens=current.row.topped_up_tokens + tokens,
            )
            outcome = await self._table.commit(
                make_transaction(
                    checks=(current.check(), receipt.check()),
                    writes=(current.write(row), receipt.write()),
                ),
            )
            if isinstance(outcome, Committed):
                return _state_of(name, row)
            known = _receipt_row(outcome)
            if known is not None:
                return _credited_before(current, known, receipt)


@attrs.frozen(kw_only=True)
class _Receipt:
    """Row that records a credited top-up."""

    name: str
    top_up_id: str
    tokens: int

    @property
    def key(self) -> str:
        return f'{self.name}/{self.top_up_id}'

    def check(self) -> RowCheck:
        return RowCheck(table=TOP_UPS_TABLE, key=self.key, revision=0)

    def write(self) -> RowWrite:
        return RowWrite(
            table=TOP_UPS_TABLE,
            key=self.key,
            value=msgspec.msgpack.encode(self.tokens),
        )


def _receipt_row(outcome: Conflicted) -> Row | None:
    for row in outcome.rows:
        if row.table == TOP_UPS_TABLE:
            return row
    return None


def _credited_before(
    current: ReadLedgerRow,
    known: Row,
    receipt: _Receipt,
) -> BudgetState | Refusal:
    if known.value != receipt.write().value:
        return Refusal(
            code=RefusalCode.CONFLICT,
            message='The id was used for another top-up; choose a new id.',
            not_run=True,
            step=Step.RESERVE,
        )
    return _state_of(current.name, current.row)


def _state_of(name: str, row: LedgerRow) -> BudgetState:
    return BudgetState(
        name=name,
        topped_up_tokens=row.topped_up_tokens,
        billed_tokens=row.billed_tokens,
        open_tokens=row.open_tokens,
    )


def decode_ledger_row(row: Row) -> ReadLedgerRow:
    """Decodes a row; a deleted row is a budget without tokens."""
    decoded = LedgerRow(topped_up_tokens=0)
    if row.value is not None:
        decoded = msgspec.msgpack.decode(row.value, type=LedgerRow)
    return ReadLedgerRow(name=row.key, row=decoded, revision=row.revision)


def _unknown_budget(name: str) -> Refusal:
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f'There is no budget {name!r}; add it by a note first.',
        not_run=True,
        step=Step.RESERVE,
    )
