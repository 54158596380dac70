"""Rows that say how much of each account its keepers may spend.

Each account has a part of the table for itself, so that the writers of one
account wait for no others. Its row counts what was handed out, never what is
left, so that a VM that is lost takes its unspent tokens with it and no account
is overspent. The row of a keeper bounds what that VM has spent of the account,
so that its next start can take back the rest.
"""

from collections.abc import Mapping

import attrs
import msgspec

from teaseldale.tables import Row, RowCheck, RowWrite

ACCOUNTS_TABLE = 'account_grants'
# Keys in the part of each account.
GRANTS_KEY = 'grants'
_KEEPER_PREFIX = 'keeper/'

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

    @classmethod
    def of(cls, text: str) -> 'HolderKey':
        """Decodes a key within a row."""
        vm_name, _, incarnation = text.rpartition(_SEPARATOR)
        return cls(vm_name=vm_name, incarnation=incarnation)

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

    def with_ended(self, bounds: Mapping[str, int | None]) -> 'AccountRow':
        """Closes starts by their keys; ``bounds`` has what each spent.

        A start without a bound has spent all that it was granted.
        """
        kept = dict(self.granted_tokens)
        closed_tokens = self.closed_tokens
        for key, bound_tokens in bounds.items():
            granted = kept.pop(key)
            if bound_tokens is not None:
                granted = min(granted, bound_tokens)
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
    allowed: MarkedAccount

    def bound_tokens(self, age_ms: int) -> int | None:
        """Returns the most that is used at an age; None if not bound."""
        stage = max(0, age_ms) // STAGE_MS
        if stage >= STAGE_COUNT:
            return None
        return self.allowed.bound_tokens(stage)


@attrs.frozen(kw_only=True)
class KeeperRow:
    """What a keeper of an account tells the others through the store."""

    incarnation: str
    address: str  # where datagrams of other VMs are taken
    mark: SpendingMark
    spent_tokens: int = 0


@attrs.frozen(kw_only=True)
class ReadAccountRow:
    """A row and the revision that a change of it must check."""

    row: AccountRow
    revision: int  # 0 means that there is no row yet


@attrs.frozen(kw_only=True)
class ReadKeeperRow:
    """A row and the revision that a change of it must check."""

    row: KeeperRow
    revision: int


def keeper_key(vm_name: str) -> str:
    """Returns the key of a keeper's row."""
    return f'{_KEEPER_PREFIX}{vm_name}'


def keeper_of(key: str) -> str | None:
    """Returns the VM's name in the key of a keeper's row."""
    if not key.startswith(_KEEPER_PREFIX):
        return None
    return key.removeprefix(_KEEPER_PREFIX)


def check_of(key: str, revision: int) -> RowCheck:
    """Condition that a row of an account's part still has a revision."""
    return RowCheck(table=ACCOUNTS_TABLE, key=key, revision=revision)


def row_write(key: str, row: AccountRow | KeeperRow) -> RowWrite:
    """Returns the write that replaces a row of an account's part."""
    return RowWrite(
        table=ACCOUNTS_TABLE,
        key=key,
        value=msgspec.msgpack.encode(row),
    )


def decode_account_row(row: Row) -> ReadAccountRow:
    """Decodes a row; a removed one is an account that nobody drew on."""
    decoded = AccountRow()
    if row.value is not None:
        decoded = msgspec.msgpack.decode(row.value, type=AccountRow)
    return ReadAccountRow(row=decoded, revision=row.revision)


def decode_keeper_row(row: Row) -> ReadKeeperRow | None:
    """Decodes a row; None if it was removed."""
    if row.value is None:
        return None
    return ReadKeeperRow(
        row=msgspec.msgpack.decode(row.value, type=KeeperRow),
        revision=row.revision,
    )
