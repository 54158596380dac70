"""Where the prepaid tokens of the accounts of a fleet are.

The tokens of an account are spent, free, held by running VMs, or lost by VMs
that have ended.
"""

import attrs

from teaseldale.budgets._account_rows import (
    ACCOUNTS_TABLE,
    GRANTS_KEY,
    AccountRow,
    HolderKey,
    decode_account_row,
)


@attrs.define(kw_only=True)
class Locations:
    """Tokens of one account, by location."""

    prepaid: int
    spent: int
    free: int
    payable: int = 0  # held by running keepers, and allowed by their marks
    withheld: int = 0  # held by running keepers, beyond their marks
    drawn: int = 0  # held by other running VMs, or returned by them just now
    unclosed: int = 0  # granted to ended incarnations, not yet closed
    closed: int = 0  # closed in excess of what ended incarnations have used
    drawn_lost: int = 0  # drawn by VMs that have ended

    @property
    def unexplained(self):
        """Tokens that none of the locations has, such as lost datagrams."""
        located = (
            self.spent
            + self.free
            + self.payable
            + self.withheld
            + self.drawn
            + self.unclosed
            + self.closed
            + self.drawn_lost
        )
        return self.prepaid - located


class TokenLocations:
    """Finds the tokens of a fleet, also of VMs that have ended."""

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._used_at_end = {}  # by account and holder
        self._drawn_lost = dict.fromkeys(fleet.accounts, 0)

    def record_end(self, vm):
        """Records what a VM holds right before it is killed."""
        if vm.grants is None:
            return
        for account, shard in vm.grants._shards.items():
            held = shard.held
            key = HolderKey(
                vm_name=vm.name, incarnation=f'start-{vm.starts}'
            ).text
            if held.granted_tokens:
                self._used_at_end[account, key] = held.used_tokens
            else:
                self._drawn_lost[account] += held.available_tokens
            self._drawn_lost[account] += _returning_tokens(vm, account)

    def find_all(self):
        """Returns the locations of the tokens of each account."""
        return {account: self.find(account) for account in self._fleet.accounts}

    def find(self, account):
        """Returns the locations of the tokens of one account."""
        fleet = self._fleet
        rows = fleet.state.scan(
            table=ACCOUNTS_TABLE,
            prefix=GRANTS_KEY,
            after_revision=0,
            part=account,
        )
        row = decode_account_row(rows[0]).row if rows else AccountRow()
        prepaid = fleet.prepaid_by_account[account]
        ended = {
            key: used
            for (name, key), used in self._used_at_end.items()
            if name == account
        }
        closed_used = sum(
            used for key, used in ended.items() if key not in row.granted_tokens
        )
        found = Locations(
            prepaid=prepaid,
            spent=fleet.used_by_account[account],
            free=prepaid - row.taken_tokens,
            closed=row.closed_tokens - closed_used,
            unclosed=sum(
                row.granted_tokens[key] - used
                for key, used in ended.items()
                if key in row.granted_tokens
            ),
            drawn_lost=self._drawn_lost[account],
        )
        for vm in fleet.vms:
            self._add_running(found, vm, account)
        return found

    def _add_running(self, found, vm, account):
        shard = vm.grants and vm.grants._shards.get(account)
        if not shard:
            return
        held = shard.held
        found.drawn += _returning_tokens(vm, account)
        if not held.granted_tokens:
            found.drawn += held.available_tokens
            return
        payable = max(0, shard.waiting.payable_tokens)
        found.payable += payable
        found.withheld += held.available_tokens - payable


def _returning_tokens(vm, account):
    return sum(
        open_return.tokens
        for open_return in vm.grants._returns._open_returns.values()
        if open_return.account == account
    )
