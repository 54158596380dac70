"""Confirmation of an account's grants after the store lost recent writes."""

from collections.abc import Iterable

import attrs

from teaseldale.budgets._account_rows import AccountRow, HolderKey
from teaseldale.budgets._confirmation_rows import ConfirmationRow

# Holder of the tokens that are withheld. Its name is not that of any VM, and
# builds that do not know it count its tokens as granted.
_WITHHELD_VM = '#withheld'


@attrs.frozen(kw_only=True)
class AccountState:
    """The account row with the confirmation row that it belongs to."""

    row: AccountRow
    confirmation: ConfirmationRow


@attrs.frozen(kw_only=True)
class EarlierKnowledge:
    """What a holder knew of an account when an era ended."""

    charged_tokens: int  # to earlier incarnations of its VM
    vm_names: frozenset[str]  # VMs that may hold grants


@attrs.frozen(kw_only=True)
class JoiningHolder:
    """A holder that writes its grant again in a new era."""

    holder: HolderKey
    granted_tokens: int  # upper bound of what it has spent or may spend
    # Whether all earlier incarnations of its VM are in the row or in
    # ``earlier``, with at least the tokens that they have spent.
    is_complete: bool
    earlier: EarlierKnowledge | None = None
    prepaid_tokens: int = 0


def open_account(
    row: AccountRow,
    *,
    era: int,
    awaited_vms: Iterable[str],
) -> AccountState:
    """Returns the state of an account before anyone has joined the era."""
    return AccountState(
        row=_without_withheld(row),
        confirmation=ConfirmationRow(
            era=era,
            awaited_vms=tuple(sorted(awaited_vms)),
        ),
    )


def join_account(state: AccountState, joining: JoiningHolder) -> AccountState:
    """Returns the state with the grant of one holder confirmed."""
    return AccountState(
        row=_with_grant(state.row, joining),
        confirmation=_with_holder(state.confirmation, joining),
    )


def with_withheld(state: AccountState) -> AccountState:
    """Returns the state with the free tokens withheld while VMs are awaited."""
    row = _without_withheld(state.row)
    confirmation = state.confirmation
    if confirmation.awaited_vms:
        key = HolderKey(vm_name=_WITHHELD_VM, incarnation=str(confirmation.era))
        withheld = max(0, confirmation.prepaid_tokens - row.taken_tokens)
        row = row.with_granted(key, withheld)
    return attrs.evolve(state, row=row)


def holding_vms(row: AccountRow) -> frozenset[str]:
    """Returns the names of the VMs whose holders have grants."""
    names = {HolderKey.of(key).vm_name for key in row.granted_tokens}
    return frozenset(names - {_WITHHELD_VM})


def _without_withheld(row: AccountRow) -> AccountRow:
    kept = {
        key: granted
        for key, granted in row.granted_tokens.items()
        if HolderKey.of(key).vm_name != _WITHHELD_VM
    }
    return attrs.evolve(row, granted_tokens=kept)


def _with_grant(row: AccountRow, joining: JoiningHolder) -> AccountRow:
    holder = joining.holder
    if joining.earlier is not None:
        row = _with_charged(row, holder, joining.earlier.charged_tokens)
    if not joining.granted_tokens:
        return row
    return row.with_granted(holder, joining.granted_tokens)


def _with_charged(
    row: AccountRow,
    holder: HolderKey,
    charged_tokens: int,
) -> AccountRow:
    """Returns a row in which the VM's incarnations have used what it knew."""
    vm_name = holder.vm_name
    kept = {
        key: granted
        for key, granted in row.granted_tokens.items()
        if HolderKey.of(key).vm_name != vm_name
    }
    added = charged_tokens - row.closed_by_vm.get(vm_name, 0)
    return AccountRow(
        granted_tokens=kept,
        closed_tokens=row.closed_tokens + added,
        closed_by_vm={**row.closed_by_vm, vm_name: charged_tokens},
    )


def _with_holder(
    row: ConfirmationRow,
    joining: JoiningHolder,
) -> ConfirmationRow:
    vm_name = joining.holder.vm_name
    confirmed = set(row.confirmed_vms)
    awaited = set(row.awaited_vms)
    if joining.is_complete:
        confirmed.add(vm_name)
    # Once nobody is awaited, tokens have been granted again.
    if awaited and not joining.is_complete:
        awaited.add(vm_name)
    if awaited and joining.earlier is not None:
        awaited |= joining.earlier.vm_names
    return attrs.evolve(
        row,
        joined=(*row.joined, joining.holder.text),
        confirmed_vms=tuple(sorted(confirmed)),
        awaited_vms=tuple(sorted(awaited - confirmed)),
        prepaid_tokens=max(row.prepaid_tokens, joining.prepaid_tokens),
    )
