"""Changes of an account row that this VM needs."""

import sys

import attrs

from teaseldale.budgets._account_book import HeldAccount
from teaseldale.budgets._account_demand import GrantNeed, grant_change
from teaseldale.budgets._account_era import AccountEra, FoundAccount
from teaseldale.budgets._account_joining import AccountState
from teaseldale.budgets._account_rows import (
    AccountRow,
    EarlierBound,
    HolderKey,
    ReadAccountRow,
    ReadKeeperRow,
)
from teaseldale.budgets._keeper_register import KeeperRegister
from teaseldale.logs import StateLog
from teaseldale.members import AccountKeepers

EMPTY_ROW = ReadAccountRow(row=AccountRow(), revision=0)


@attrs.define(kw_only=True)
class OwnKeeperRow:
    """This VM's keeper row as read, perhaps of an earlier incarnation."""

    holder: HolderKey
    read: ReadKeeperRow | None = None
    # Process start on the store's clock; an upper bound.
    started_store_ms: int = sys.maxsize

    def bound_of(self, read: ReadKeeperRow) -> int | None:
        """Returns the most that the incarnation spent before this start."""
        mark = read.row.mark
        return mark.bound_tokens(self.started_store_ms - mark.made_store_ms)

    def earlier_bound(self) -> EarlierBound | None:
        """Returns the spending bound of this VM's previous incarnation."""
        own = self.read
        if own is None or own.row.incarnation == self.holder.incarnation:
            return None
        bound_tokens = self.bound_of(own)
        if bound_tokens is None:
            return None
        return EarlierBound(
            incarnation=own.row.incarnation,
            spent_limit_tokens=bound_tokens,
        )

    def log_earlier(self, held: HeldAccount, log: StateLog, era: int) -> None:
        """Logs the bound of this VM's previous incarnation, if any."""
        own = self.read
        if own is None or own.row.incarnation == self.holder.incarnation:
            return
        mark = own.row.mark
        log.changed(
            'earlier_start_found',
            account=held.account,
            incarnation=own.row.incarnation,
            era=era,
            mark_age_ms=self.started_store_ms - mark.made_store_ms,
            bound_tokens=self.bound_of(own),
            spent_tokens=own.row.spent_tokens,
            granted_tokens=(held.row or EMPTY_ROW).row.granted_to(
                attrs.evolve(self.holder, incarnation=own.row.incarnation),
            ),
        )


@attrs.define(kw_only=True)
class AccountPlan:
    """Computes the account row that this VM should write next."""

    held: HeldAccount
    own: OwnKeeperRow
    assigned: AccountKeepers
    register: KeeperRegister
    era: AccountEra

    @property
    def is_assigned(self) -> bool:
        """Whether this VM is a keeper of the account."""
        return self.assigned.is_keeper_of(self.held.account)

    @property
    def keeper_count(self) -> int:
        """Number of keepers, including those whose rows are not yet read."""
        assigned_count = self.assigned.count(self.held.account)
        return max(assigned_count, self.register.running_count)

    @property
    def spent_by_all(self) -> int:
        """Lower bound of the tokens that all keepers have spent."""
        held = self.held
        if held.row is None:
            return held.spent_tokens
        others = self.register.spent_by_others(self.own.holder.vm_name)
        return held.row.row.closed_tokens + others + held.spent_tokens

    def target(self, *, return_all: bool) -> AccountState | None:
        """Returns the target account row; None if it is up to date."""
        read = self.held.row or EMPTY_ROW
        if not self.era.is_joined:
            return self.era.joined_state(self._found(read.row))
        change = self._grant_change(return_all=return_all)
        tokens = read.row.granted_to(self.own.holder) + change
        closed = self._with_closed(read.row)
        if not change and closed == read.row:
            return None
        return self.era.changed_state(
            closed.with_granted(self.own.holder, tokens)
        )

    def _found(self, row: AccountRow) -> FoundAccount:
        assigned = self.assigned.keepers_of(self.held.account)
        return FoundAccount(
            row=row,
            active_vms=self.register.active_vms(row),
            assigned_vms=frozenset(assigned),
        )

    def _grant_change(self, *, return_all: bool) -> int:
        held = self.held
        change = grant_change(self._grant_need())
        if change > 0 and not held.waiting and not self.assigned.is_settled:
            # Assignments from an incomplete member list would grant tokens to
            # VMs that are not keepers.
            change = 0
        if self.era.awaited_vms:
            # Returned tokens would be withheld as well.
            change = 0
        is_retiring = held.is_retiring and not held.waiting
        if return_all or is_retiring or not self.is_assigned:
            change = -max(0, min(held.available_tokens, held.granted_tokens))
        return change

    def _with_closed(self, row: AccountRow) -> AccountRow:
        """Returns the row with ended incarnations closed."""
        awaited = self.era.awaited_vms
        if self.own.holder.vm_name not in awaited:
            row = row.with_closed(self.own.holder, self.own.earlier_bound())
        if not self.is_assigned:
            return row
        return row.with_ended(
            {
                start.text: self.register.bound_tokens(start)
                for start in self._ended_incarnations(row)
                if start.vm_name not in awaited
            },
        )

    def _ended_incarnations(self, row: AccountRow) -> list[HolderKey]:
        """Returns ended incarnations that no later incarnation will close.

        A restarted keeper closes its own, as it knows the time of its restart.
        """
        keepers = self.assigned
        assigned = keepers.keepers_of(self.held.account)
        starts = map(HolderKey.of, row.granted_tokens)
        return [
            start
            for start in starts
            if start.vm_name not in assigned
            and keepers.has_ended(start.vm_name, start.incarnation)
        ]

    def _grant_need(self) -> GrantNeed:
        held = self.held
        free_tokens = 0 if self.era.awaited_vms else held.free_tokens
        unspent = held.prepaid_tokens - self.spent_by_all
        own_unspent = held.granted_tokens - held.spent_tokens
        return GrantNeed(
            available_tokens=held.available_tokens,
            waiting_tokens=held.waiting_tokens + held.lending_tokens,
            first_waiting_tokens=(
                held.waiting[0].most_tokens
                if held.waiting
                else held.lending_tokens
            ),
            outage_tokens=held.demand.outage_tokens(),
            free_tokens=free_tokens,
            vm_count=self.keeper_count,
            lendable_tokens=max(0, unspent - own_unspent - held.free_tokens),
        )
