"""Rows that say how much of each account the VMs may spend.

The row of an account counts what was handed out, never what is left, so that
a VM that is lost takes its unspent tokens with it and no account is
overspent. The row of a VM bounds what the VM has spent, so that its next
start can take back the rest.
"""

from collections.abc import Mapping

import attrs
import msgspec

from teaseldale.tables import Row, RowCheck, RowWrite

ACCOUNTS_TABLE = 'account_grants'
VMS_TABLE = 'vms'

# A VM that the store does not answer may spend more at each stage of its last
# mark, and after the last stage all that it holds. What a VM loses by starting
# again is what its stage allowed and it did not use, so stages are short.
STAGE_MS = 1000
# Together longer than the store is away on the deployments of today.
STAGE_COUNT = 15
_SEPARATOR = '/'


@attrs.frozen(kw_only=True)
class HolderKey:
    """One start of a VM."""

    vm_name: str
    incarnation: str  # new at each start

    @property
    def text(self) -> str:
        """Key within a row."""
        return f'{self.vm_name}{_SEPARATOR}{self.incarnation}'


@attrs.frozen(kw_only=True)
class AccountRow:
    """All that was handed out of one account."""

    granted_tokens: Mapping[str, int] = attrs.field(factory=dict)  # by holder
    closed_tokens: int = 0  # of holders that have ended

    @property
    def taken_tokens(self) -> int:
        """Tokens that nobody else may be granted."""
        return self.closed_tokens + sum(self.granted_tokens.values())

    def granted_to(self, holder: HolderKey) -> int:
        """Returns what ``holder`` has been handed out."""
        return self.granted_tokens.get(holder.text, 0)

    def with_granted(self, holder: HolderKey, tokens: int) -> 'AccountRow':
        """Replaces what ``holder`` has been handed out."""
        return attrs.evolve(
            self,
            granted_tokens={**self.granted_tokens, holder.text: tokens},
        )

    def with_closed(
        self,
        holder: HolderKey,
        bound: 'EarlierBound | None',
    ) -> 'AccountRow':
        """Closes earlier starts of the holder's VM.

        All that they were granted counts as spent, but for what ``bound``
        tells of one of them.
        """
        kept: dict[str, int] = {}
        closed_tokens = self.closed_tokens
        for key, granted in self.granted_tokens.items():
            vm_name, _, incarnation = key.rpartition(_SEPARATOR)
            if vm_name != holder.vm_name or key == holder.text:
                kept[key] = granted
            elif bound is not None and incarnation == bound.incarnation:
                closed_tokens += min(granted, bound.spent_limit_tokens)
            else:
                closed_tokens += granted
        return AccountRow(granted_tokens=kept, closed_tokens=closed_tokens)


@attrs.frozen(kw_only=True)
class EarlierBound:
    """The most that an earlier start of a VM has spent of an account."""

    incarnation: str
    spent_limit_tokens: int


@attrs.frozen(kw_only=True)
class MarkedAccount:
    """What a mark allows of one account."""

    limit_tokens: int  # most that is used in the first stage
    step_tokens: int  # added at each later stage, by the demand
    # Held beside the demand. It is allowed slowly at first, for callers who
    # begin to send while the store is away.
    spare_tokens: int

    def bound_tokens(self, stage: int) -> int:
        """Returns the most that is used up to a stage, counted from 0."""
        spare_share = (stage / STAGE_COUNT) ** 2
        allowed = stage * self.step_tokens + self.spare_tokens * spare_share
        return self.limit_tokens + int(allowed)


@attrs.frozen(kw_only=True)
class SpendingMark:
    """Promise of a VM about its spending, by stages of ``STAGE_MS``.

    After the last stage the VM is not bound.
    """

    made_store_ms: int  # store's clock; not later than the mark was written
    accounts: Mapping[str, MarkedAccount] = attrs.field(factory=dict)

    def bound_tokens(self, account: str, age_ms: int) -> int | None:
        """Returns the most that is used at an age; None if not bound."""
        stage = max(0, age_ms) // STAGE_MS
        if stage >= STAGE_COUNT:
            return None
        marked = self.accounts.get(account)
        return 0 if marked is None else marked.bound_tokens(stage)


@attrs.frozen(kw_only=True)
class VmRow:
    """What a VM tells the others through the store."""

    incarnation: str
    address: str  # where datagrams of other VMs are taken
    mark: SpendingMark
    spent_tokens: Mapping[str, int] = attrs.field(factory=dict)  # by account


@attrs.frozen(kw_only=True)
class ReadAccountRow:
    """A row and the revision that a change of it must check."""

    row: AccountRow
    revision: int  # 0 means that there is no row yet


@attrs.frozen(kw_only=True)
class ReadVmRow:
    """A row and the revision that a change of it must check."""

    row: VmRow
    revision: int


def check_of(table: str, key: str, revision: int) -> RowCheck:
    """Condition that a row still has a revision."""
    return RowCheck(table=table, key=key, revision=revision)


def account_write(account: str, row: AccountRow) -> RowWrite:
    """Returns the write that replaces an account's row."""
    return RowWrite(
        table=ACCOUNTS_TABLE,
        key=account,
        value=msgspec.msgpack.encode(row),
    )


def vm_write(vm_name: str, row: VmRow) -> RowWrite:
    """Returns the write that replaces a VM's row."""
    return RowWrite(
        table=VMS_TABLE,
        key=vm_name,
        value=msgspec.msgpack.encode(row),
    )


def decode_account_row(row: Row) -> ReadAccountRow:
    """Decodes a row; a removed one is an account that nobody drew on."""
    decoded = AccountRow()
    if row.value is not None:
        decoded = msgspec.msgpack.decode(row.value, type=AccountRow)
    return ReadAccountRow(row=decoded, revision=row.revision)


def decode_vm_row(row: Row) -> ReadVmRow | None:
    """Decodes a row; None if it was removed."""
    if row.value is None:
        return None
    return ReadVmRow(
        row=msgspec.msgpack.decode(row.value, type=VmRow),
        revision=row.revision,
    )
