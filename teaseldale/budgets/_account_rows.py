"""Rows that record how much of each account its keepers may spend.

Each account has its own partition of the table, so that writers of different
accounts do not contend. The account row counts granted tokens, not remaining
ones: a VM that is lost takes its unspent tokens with it and no account is
overspent. A keeper's row bounds what that VM has spent of the account, so that
its next incarnation can reclaim the rest.
"""

from collections.abc import Mapping

import attrs
import msgspec

from teaseldale.tables import Row, RowCheck, RowWrite

ACCOUNTS_TABLE = 'account_grants'
# Keys in the partition of each account.
GRANTS_KEY = 'grants'
_KEEPER_PREFIX = 'keeper/'

# A VM that cannot reach the store may spend more at each stage of its last
# mark, and its whole grant after the last stage. A restart loses the tokens
# that the current stage allowed and that were not used, so stages are short.
STAGE_MS = 1000
# Age from which marks of earlier builds allow more than their lead, and the
# share of the demand that they then allow, until they have allowed the demand
# of their whole age. These marks do not name either.
_EARLIER_RAMP_START_MS = 700
_EARLIER_RAMP_PERCENT = 150
_PERCENT = 100
# The stages together exceed the store outages of current deployments.
STAGE_COUNT = 15
_SEPARATOR = '/'


@attrs.frozen(kw_only=True)
class HolderKey:
    """Identifies one incarnation of a VM."""

    vm_name: str
    incarnation: str  # new at each process start

    @classmethod
    def of(cls, text: str) -> 'HolderKey':
        """Parses the textual form used in rows."""
        vm_name, _, incarnation = text.rpartition(_SEPARATOR)
        return cls(vm_name=vm_name, incarnation=incarnation)

    @property
    def text(self) -> str:
        """Textual form used in rows."""
        return f'{self.vm_name}{_SEPARATOR}{self.incarnation}'


@attrs.frozen(kw_only=True)
class AccountRow:
    """Tokens granted from one account."""

    granted_tokens: Mapping[str, int] = attrs.field(factory=dict)  # by holder
    closed_tokens: int = 0  # spent or lost by ended holders
    # Part of ``closed_tokens``, by the VM of the ended holders.
    closed_by_vm: Mapping[str, int] = attrs.field(factory=dict)

    @property
    def taken_tokens(self) -> int:
        """Tokens that are not available for further grants."""
        return self.closed_tokens + sum(self.granted_tokens.values())

    def granted_to(self, holder: HolderKey) -> int:
        """Returns the tokens granted to ``holder``."""
        return self.granted_tokens.get(holder.text, 0)

    def with_granted(self, holder: HolderKey, tokens: int) -> 'AccountRow':
        """Returns a row with the grant of ``holder`` replaced."""
        return attrs.evolve(
            self,
            granted_tokens={**self.granted_tokens, holder.text: tokens},
        )

    def with_closed(
        self,
        holder: HolderKey,
        bound: 'EarlierBound | None',
    ) -> 'AccountRow':
        """Returns a row with previous incarnations of the VM closed.

        Their whole grants count as spent, except for the incarnation that
        ``bound`` limits.
        """
        bounds: dict[str, int | None] = {}
        for key in self.granted_tokens:
            start = HolderKey.of(key)
            if start.vm_name != holder.vm_name or key == holder.text:
                continue
            bounds[key] = None
            if bound is not None and start.incarnation == bound.incarnation:
                bounds[key] = bound.spent_limit_tokens
        return self.with_ended(bounds)

    def with_ended(self, bounds: Mapping[str, int | None]) -> 'AccountRow':
        """Returns a row with incarnations closed; ``bounds`` maps key to spend.

        An incarnation without a bound counts as having spent its whole grant.
        """
        kept = dict(self.granted_tokens)
        closed_tokens = self.closed_tokens
        closed_by_vm = dict(self.closed_by_vm)
        for key, bound_tokens in bounds.items():
            granted = kept.pop(key)
            if bound_tokens is not None:
                granted = min(granted, bound_tokens)
            closed_tokens += granted
            vm_name = HolderKey.of(key).vm_name
            closed_by_vm[vm_name] = closed_by_vm.get(vm_name, 0) + granted
        return AccountRow(
            granted_tokens=kept,
            closed_tokens=closed_tokens,
            closed_by_vm=closed_by_vm,
        )

    def charged_to_earlier(self, holder: HolderKey) -> int:
        """Returns the tokens of the VM's incarnations before ``holder``."""
        open_tokens = sum(
            granted
            for key, granted in self.granted_tokens.items()
            if key != holder.text
            and HolderKey.of(key).vm_name == holder.vm_name
        )
        return open_tokens + self.closed_by_vm.get(holder.vm_name, 0)


@attrs.frozen(kw_only=True)
class EarlierBound:
    """Upper bound of the spending of a previous incarnation."""

    incarnation: str
    spent_limit_tokens: int


@attrs.frozen(kw_only=True)
class MarkedAccount:
    """Spending that a mark allows for one account.

    A mark without a lead, written by an earlier build, allows ``limit_tokens``
    at once and more at each stage. No mark allows more than that, so that
    earlier builds may close the grants of this one.
    """

    limit_tokens: int  # maximum use in the first stage
    step_tokens: int  # added at each later stage, from the measured demand
    # Granted beyond the demand. It is released slowly at first, for callers
    # that start sending during a store outage.
    spare_tokens: int
    # Maximum use at first; the demand is added continuously later.
    lead_tokens: int | None = None
    # Age from which the demand is added, and the added share of it. Earlier
    # builds assume the defaults, so a mark may not exceed them.
    ramp_start_ms: int = _EARLIER_RAMP_START_MS
    ramp_percent: int = _EARLIER_RAMP_PERCENT

    def bound_tokens(self, age_ms: int) -> int:
        """Returns the maximum use up to an age of the mark."""
        stage_bound = self._staged_bound_tokens(age_ms // STAGE_MS)
        if self.lead_tokens is None:
            return stage_bound
        stage = age_ms / STAGE_MS
        late_stages = max(0, stage - self.ramp_start_ms / STAGE_MS)
        ramp_stages = late_stages * (self.ramp_percent / _PERCENT)
        demand_stages = min(stage, ramp_stages)
        ramp = demand_stages * self.step_tokens + self._released_spare(stage)
        return min(stage_bound, self.lead_tokens + int(ramp))

    def _staged_bound_tokens(self, stage: int) -> int:
        allowed = stage * self.step_tokens + self._released_spare(stage)
        return self.limit_tokens + int(allowed)

    def _released_spare(self, stage: float) -> float:
        return self.spare_tokens * (stage / STAGE_COUNT) ** 2


@attrs.frozen(kw_only=True)
class SpendingMark:
    """Published upper bound of a VM's spending, which grows with its age.

    The bound expires after the last stage.
    """

    made_store_ms: int  # store clock; not later than the mark was written
    allowed: MarkedAccount

    def bound_tokens(self, age_ms: int) -> int | None:
        """Returns the maximum use at an age; None after expiry."""
        if age_ms >= STAGE_COUNT * STAGE_MS:
            return None
        return self.allowed.bound_tokens(max(0, age_ms))


@attrs.frozen(kw_only=True)
class KeeperRow:
    """State that a keeper publishes to the other VMs of an account."""

    incarnation: str
    address: str  # receives datagrams from other VMs
    mark: SpendingMark
    spent_tokens: int = 0


@attrs.frozen(kw_only=True)
class ReadAccountRow:
    """An account row with the revision to check when changing it."""

    row: AccountRow
    revision: int  # 0 if the row does not exist yet


@attrs.frozen(kw_only=True)
class ReadKeeperRow:
    """A keeper row with the revision to check when changing it."""

    row: KeeperRow
    revision: int


def keeper_key(vm_name: str) -> str:
    """Returns the key of a keeper's row."""
    return f'{_KEEPER_PREFIX}{vm_name}'


def keeper_of(key: str) -> str | None:
    """Returns the VM name in a keeper's key; None for other keys."""
    if not key.startswith(_KEEPER_PREFIX):
        return None
    return key.removeprefix(_KEEPER_PREFIX)


def check_of(key: str, revision: int) -> RowCheck:
    """Returns a check that a row of the account is unchanged."""
    return RowCheck(table=ACCOUNTS_TABLE, key=key, revision=revision)


def row_write(key: str, row: object) -> RowWrite:
    """Returns the write that replaces a row of the account's partition."""
    return RowWrite(
        table=ACCOUNTS_TABLE,
        key=key,
        value=msgspec.msgpack.encode(row),
    )


def decode_account_row(row: Row) -> ReadAccountRow:
    """Decodes an account row; a deleted row is an unused account."""
    decoded = AccountRow()
    if row.value is not None:
        decoded = msgspec.msgpack.decode(row.value, type=AccountRow)
    return ReadAccountRow(row=decoded, revision=row.revision)


def decode_keeper_row(row: Row) -> ReadKeeperRow | None:
    """Decodes a keeper's row; None if it was deleted."""
    if row.value is None:
        return None
    return ReadKeeperRow(
        row=msgspec.msgpack.decode(row.value, type=KeeperRow),
        revision=row.revision,
    )
